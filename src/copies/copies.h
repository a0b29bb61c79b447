// Copies of the router's own: which answers are kept, and when one of them is the answer. Decisions and state
// only; the engine asks before it tells the module of a call, and once more when the module gives the call
// up.
#pragma once

#include <optional>

#include "copies/own_link.h"
#include "copies/store.h"

namespace silverrail::copies {

struct Limits {
    std::size_t bytes = 0;
    LinkRates link;
    bool on() const {
        return bytes > 0 && link.told();
    }
};

// What of a call matters here.
struct Wanted {
    Key key;
    GroupId group{};
    bool group_known = true;  // false: any group's purge may concern it, so nothing is kept of it
    std::string_view have;    // the tag of the client's copy
};

struct Served {
    std::shared_ptr<const std::string> body;  // absent: the client's copy is the one
    std::string tag;
    std::int64_t made_ms = 0;
    bool stale = false;
};

class Copies {
public:
    Copies(const std::vector<routing::ClassSettings>& classes, Limits limits)
        : classes_(classes), link_(limits.link), store_(limits.on() ? limits.bytes : 0), on_(limits.on()) {}

    // Guards rule 5 (no purged copy): caches drop what was purged by themselves, this store only what it is
    // told. While it can't be sure to be told, nothing is served from it.
    void told_of_purges(bool surely) {
        sure_ = surely;
    }

    // Keeps what came from a server. `purged_ms`: when its object or group was last purged, 0 for never.
    void keep(const Wanted& call, std::string_view body, std::string_view tag, std::int64_t made_ms,
              std::int64_t purged_ms);
    // A fresh copy that is through within the call's aim.
    std::optional<Served> answer(const Wanted& call, Time now, std::int64_t unix_ms);
    // For a call that is given up: any copy that will do and is through by `deadline`.
    std::optional<Served> last_resort(const Wanted& call, Time now, std::int64_t unix_ms, Time deadline);

    void limit(std::size_t bytes) {
        if (on_)
            store_.limit(bytes);
    }
    void purge_object(ObjectId object, std::int64_t issued_ms) {
        store_.purge_object(object, issued_ms);
    }
    void purge_group(GroupId group, std::int64_t issued_ms) {
        store_.purge_group(group, issued_ms);
    }
    std::size_t bytes() const {
        return store_.bytes();
    }

private:
    const Copy* find(const Wanted& call);
    double bytes_to_send(const Wanted& call, const Copy& copy) const;
    Served serve(const Wanted& call, const Copy& copy, Time now, bool stale);

    const std::vector<routing::ClassSettings>& classes_;
    OwnLink link_;
    Store store_;
    bool on_;
    bool sure_ = false;
};

}  // namespace silverrail::copies
