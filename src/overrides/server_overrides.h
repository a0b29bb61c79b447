// The servers excluded by operators, by id, and their serialisation. No I/O.
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

    // Whether the id can be stored: visible ASCII, at most kMaxIdLength bytes.
    static bool is_valid_id(std::string_view id);
    // False: the id is invalid, or kMaxServers are already excluded.
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

    // The stored format. `parse` detects input that is truncated, damaged or of an unknown version.
    std::string serialize() const;
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
