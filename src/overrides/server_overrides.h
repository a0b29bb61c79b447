// The servers that operators have excluded, by id, and the text in which they are stored. No I/O.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "silverrail/routing/router.h"

namespace silverrail::overrides {

class ServerOverrides {
public:
    static constexpr std::size_t kMaxServers = 1024;
    static constexpr std::size_t kMaxIdLength = 128;

    // An id that can be stored: of visible ASCII, and not too long.
    static bool is_valid_id(std::string_view id);
    // False: the id is not valid, or there are too many.
    bool exclude(const routing::ServerId& id);
    void readmit(const routing::ServerId& id) {
        excluded_.erase(id);
    }
    bool excludes(const routing::ServerId& id) const {
        return excluded_.contains(id);
    }
    const std::set<routing::ServerId>& excluded() const {
        return excluded_;
    }
    bool operator==(const ServerOverrides&) const = default;

    // The stored form. `parse` recognises a text that is cut short, damaged, or of an unknown version.
    std::string to_text() const;
    enum class ParseError { none, damaged, unknown_version };
    struct ParseResult;
    static ParseResult parse(std::string_view text);

private:
    std::set<routing::ServerId> excluded_;
};

struct ServerOverrides::ParseResult {
    ServerOverrides overrides{};  // empty unless the error is `none`
    ParseError error = ParseError::none;
};

}  // namespace silverrail::overrides
