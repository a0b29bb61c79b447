// The state in effect at a point of a trace: for each router its start, clock, servers, purges and open
// requests.
//
// Every chunk of a trace file, and every cut, begins with a snapshot of this state so that it can be read
// alone. The state is updated with each record in order, and enumerates the records that rebuild it from an
// empty one. Memory is bounded: beyond the `kMax…` limits the oldest entries are evicted and counted in
// `evicted()`.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "trace/model/owned_record.h"
#include "trace/model/records.h"

namespace silverrail::trace::model {

class EffectiveState {
public:
    static constexpr std::size_t kMaxRouters = 256;
    static constexpr std::size_t kMaxServers = 4096;  // this and the next two: per router
    static constexpr std::size_t kMaxPurges = 8192;
    static constexpr std::size_t kMaxOpenRequests = 8192;
    static constexpr std::size_t kMaxOpenAttempts = 64;  // per request
    // After this time no older copy is left in any cache.
    static constexpr std::int64_t kPurgeRetentionNs = 20'000'000'000;
    // A request that is open for longer has lost its end to a gap.
    static constexpr std::int64_t kRequestRetentionNs = 1'300'000'000'000;

    struct OpenRequest {
        OwnedRecord received;
        OwnedRecord closed;  // `ResponseSent` or `ClientClosed`; attempts may still be open
        std::vector<OwnedRecord> open_attempts;  // the `AttemptSent` of each attempt that has not ended
    };

    // O(log n) in the entries of the record's router.
    void update(const Record& record);
    // Calls `f` with the records that rebuild this state when passed to `update` in the same order.
    void for_each(const std::function<void(const Record&)>& f) const;

    bool knows_router(std::uint32_t router_index) const {
        return routers_.contains(router_index);
    }
    std::size_t router_count() const {
        return routers_.size();
    }
    // Converts a router's steady time to Unix ns by its newest clock; returns `at` unchanged if there is
    // none.
    std::int64_t unix_ns(std::uint32_t router_index, std::int64_t at) const;
    // Null if no record of that router was seen.
    const RouterStarted* start(std::uint32_t router_index) const;
    // Null if its arrival was not seen, or it has ended.
    const OpenRequest* open_request(std::uint32_t router_index, std::uint64_t request) const;
    std::size_t open_request_count() const;
    std::size_t server_count(std::uint32_t router_index) const;
    std::uint64_t evicted() const {
        return evicted_;
    }

private:
    struct RouterState {
        OwnedRecord start;
        OwnedRecord clock;
        std::int64_t clock_offset = 0;
        std::map<std::string, OwnedRecord, std::less<>> servers;
        std::deque<OwnedRecord> purges;
        std::map<std::uint64_t, OpenRequest> requests;
    };
    // Null, and counted as evicted, beyond `kMaxRouters`.
    RouterState* find_or_add_router(std::uint32_t router_index);
    void apply(RouterState& router, const Record& record, const RouterStarted& start);
    void apply(RouterState& router, const Record& record, const ClockSample& clock);
    void apply(RouterState& router, const Record& record, const ServerListChanged& list);
    void apply(RouterState& router, const Record& record, const ServerListEntry& entry);
    void apply(RouterState& router, const Record& record, const PurgeReceived& purge);
    void apply(RouterState& router, const Record& record, const RequestReceived& received);
    void apply(RouterState& router, const Record& record, const AttemptSent& sent);
    void apply(RouterState& router, const Record& record, const AttemptEnded& ended);
    void apply(RouterState& router, const Record& record, const ClientClosed& closed);
    void apply(RouterState& router, const Record& record, const ResponseSent& sent);
    void close_request(RouterState& router, std::uint64_t request, const Record& record);
    void evict_expired(RouterState& router, std::int64_t now);

    std::map<std::uint32_t, RouterState> routers_;
    std::uint64_t evicted_ = 0;
};

}  // namespace silverrail::trace::model
