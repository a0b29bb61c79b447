// The servers that are out by hand, by id, and the text in which they are kept. No I/O.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "silverrail/routing/router.h"

namespace silverrail::members {

class Bans {
public:
    static constexpr std::size_t kMost = 1024;
    static constexpr std::size_t kLongestId = 128;

    // An id that can be kept: of visible ASCII, and not too long.
    static bool fits(std::string_view id);
    // False: it is full, or no such id can be.
    bool add(const routing::ServerId& id);
    void remove(const routing::ServerId& id) {
        ids_.erase(id);
    }
    bool contains(const routing::ServerId& id) const {
        return ids_.contains(id);
    }
    const std::set<routing::ServerId>& ids() const {
        return ids_;
    }
    bool operator==(const Bans&) const = default;

    std::string text() const;
    // A text that is cut short, damaged, or of a version that this one does not know is told apart.
    enum class Trouble { none, damaged, other_version };
    struct Read;
    static Read read(std::string_view text);

private:
    std::set<routing::ServerId> ids_;
};

struct Bans::Read {
    Bans bans{};
    Trouble trouble = Trouble::none;
};

}  // namespace silverrail::members
