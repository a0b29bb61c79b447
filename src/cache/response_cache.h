// The router's own response cache: which responses are stored, and when one of them answers a request.
// Decisions and state only. The engine asks it before it notifies the decision module of a request, and once
// more when the module rejects the request.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "cache/response_store.h"
#include "cache/uplink_budget.h"

namespace silverrail::cache {

struct CacheLimits {
    std::size_t bytes = 0;
    UplinkRates uplink;
    // Without known rates it cannot be foreseen whether a response would be in time.
    bool enabled() const {
        return bytes > 0 && uplink.known();
    }
};

// The part of a request that the cache looks at.
struct Lookup {
    ResponseKey key;
    GroupId group{};
    bool group_known = true;  // false: a purge of any group may concern it, so no response to it is stored
    std::string_view client_tag;  // of the client's copy; empty: none
};

// A cached response that answers a request.
struct Hit {
    std::shared_ptr<const std::string> body;  // absent: the client's copy is current
    std::string tag;
    std::int64_t generated_ms = 0;
    bool stale = false;  // past its max_age, within its grace
};

class ResponseCache {
public:
    // `classes` must outlive the cache.
    ResponseCache(const std::vector<routing::ClassSettings>& classes, CacheLimits limits);

    // Guards rule 5 (no purged copy): this cache drops only what it receives a purge of. It answers nothing
    // while it may miss one, which is so until the first call.
    void set_purges_reliable(bool reliable) {
        purges_reliable_ = reliable;
    }

    // Stores a server's response. `purged_ms`: when its object or group was last purged, as Unix time in ms;
    // 0: never.
    void store(const Lookup& request, std::string_view body, std::string_view tag, std::int64_t generated_ms,
               std::int64_t purged_ms);
    // A fresh response that is sent within the class's latency objective. A hit reserves its part of the
    // uplink.
    std::optional<Hit> find_fresh(const Lookup& request, Time now, std::int64_t unix_ms);
    // For a request that is rejected otherwise: a response, fresh or within its grace, that is sent by
    // `deadline`. A hit reserves its part of the uplink.
    std::optional<Hit> find_last_resort(const Lookup& request, Time now, std::int64_t unix_ms, Time deadline);

    void set_capacity(std::size_t bytes);
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
    const StoredResponse* find(const Lookup& request);
    Hit use(const Lookup& request, const StoredResponse& response, Time now, bool stale);

    const std::vector<routing::ClassSettings>& classes_;
    UplinkBudget uplink_;
    ResponseStore store_;
    bool enabled_;
    bool purges_reliable_ = false;
};

}  // namespace silverrail::cache
