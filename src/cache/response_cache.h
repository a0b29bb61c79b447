// The router's own response cache: decides which responses are stored and when one may answer a request. Does
// no I/O. The engine queries it before it passes a request to the decision module, and again if the module
// rejects the request.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "cache/purge_coverage.h"
#include "cache/response_store.h"
#include "cache/uplink_budget.h"

namespace silverrail::cache {

// Normal difference between the synchronised clocks of two machines.
inline constexpr Span kClockTolerance = std::chrono::milliseconds{100};

struct CacheLimits {
    std::size_t bytes = 0;
    UplinkRates uplink;
    // Without uplink rates it cannot be predicted whether a response would be sent in time.
    bool enabled() const {
        return bytes > 0 && uplink.known();
    }
};

// The properties of a request that the cache uses.
struct Lookup {
    ResponseKey key;
    GroupId group{};
    bool group_known = true;  // false: a purge of any group may apply to it, so its response is not stored
    std::string_view client_tag;  // entity tag of the client's cached copy; empty: none
};

// A cached response that answers a request.
struct Hit {
    std::shared_ptr<const std::string> body;  // null: the client's cached copy is current
    std::string tag;
    std::int64_t generated_ms = 0;
    bool stale = false;  // past its max_age, within its stale grace
};

class ResponseCache {
public:
    // `classes` must outlive the cache.
    ResponseCache(const std::vector<routing::ClassSettings>& classes, CacheLimits limits,
                  PurgeCoverage coverage);

    // Guards rule 5 (no purged copy): a response is only used while this allows it.
    PurgeCoverage& coverage() {
        return coverage_;
    }
    const PurgeCoverage& coverage() const {
        return coverage_;
    }

    // Stores a server's response to a request that was sent at `requested` or later. `purged_ms`: Unix time
    // in ms of the last purge of its object or group; 0: none.
    void store(const Lookup& request, std::string_view body, std::string_view tag, std::int64_t generated_ms,
               std::int64_t purged_ms, Time requested);
    // A fresh response that can be sent within the class's latency objective. A hit reserves its uplink time.
    std::optional<Hit> find_fresh(const Lookup& request, Time now, std::int64_t unix_ms);
    // For a request that would be rejected otherwise: a response, fresh or within its stale grace, that can
    // be sent by `deadline`. A hit reserves its uplink time.
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
    // Lookups of a stored response that was not used, as it may predate a missed purge.
    std::uint64_t withheld() const {
        return withheld_;
    }

private:
    const StoredResponse* find(const Lookup& request, Time now, std::int64_t unix_ms);
    Hit use(const Lookup& request, const StoredResponse& response, Time now, bool stale);

    const std::vector<routing::ClassSettings>& classes_;
    UplinkBudget uplink_;
    ResponseStore store_;
    bool enabled_;
    PurgeCoverage coverage_;
    std::uint64_t withheld_ = 0;
};

}  // namespace silverrail::cache
