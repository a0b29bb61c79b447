// Accesses the values of a message by position. Position 0 is the message's name.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "silverrail/routing/router.h"
#include "wire_format.h"

namespace silverrail::routing::adapter {

// All members except string() and flag() throw ProtocolError for a malformed value; `what` describes the
// expected value in the error message.
class MessageFields {
public:
    // `tokens` must outlive the object. Throws ProtocolError if there are fewer than `min_values` values.
    MessageFields(const Tokens& tokens, std::size_t min_values);

    // Empty if the value is absent.
    std::string_view string(std::size_t position) const;
    bool flag(std::size_t position) const;
    std::int64_t integer_or_zero(std::size_t position, const char* what) const;
    double number_or(std::size_t position, double fallback, const char* what) const;

    // These also throw if the value is absent.
    std::string_view required_string(std::size_t position, const char* what) const;
    std::int64_t required_integer(std::size_t position, const char* what) const;
    ObjectId required_object(std::size_t position) const;
    // The instance that the message is for is at position 1, the request id of an event at position 2.
    std::string required_instance() const;
    RequestId required_request() const;

private:
    [[noreturn]] void fail(const std::string& what) const;

    const Tokens& tokens_;
};

}  // namespace silverrail::routing::adapter
