// The values of one message by position. Position 0 is the message's name.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "silverrail/routing/router.h"
#include "wire_text.h"

namespace silverrail::routing::adapter {

// All members but text() throw WireError for a value that cannot be read; `what` names it in the error.
class MessageFields {
public:
    // `words` must outlive the fields. Throws WireError if there are fewer than `min_values` values.
    MessageFields(const Words& words, std::size_t min_values);

    // Empty if the value is absent.
    std::string_view text(std::size_t position) const;
    bool flag(std::size_t position) const;
    std::int64_t integer_or_zero(std::size_t position, const char* what) const;
    double number_or(std::size_t position, double fallback, const char* what) const;

    // Throw if the value is absent, too.
    std::string_view required_text(std::size_t position, const char* what) const;
    std::int64_t required_integer(std::size_t position, const char* what) const;
    ObjectId required_object(std::size_t position) const;
    // The instance that a message is for, at position 1, and the request that an event is of, at position 2.
    std::string required_instance() const;
    RequestId required_request() const;

private:
    [[noreturn]] void fail(const std::string& what) const;

    const Words& words_;
};

}  // namespace silverrail::routing::adapter
