// The response cache as a stage of the engine. Answers a request before it is routed if a fresh response is
// cached, and in place of a rejection by the decision module if any usable response is cached.
#pragma once

#include "cache/response_cache.h"
#include "core/active_request.h"
#include "core/counters.h"
#include "core/purge_coverage.h"
#include "core/purges.h"

namespace silverrail::core {

class ResponseCacheStage {
public:
    // All arguments must outlive the stage. The cache is disabled until `enable` is called.
    ResponseCacheStage(const routing::Settings& settings, const Purges& purges, Counters& counters)
        : settings_(settings),
          longest_request_(longest_client_timeout(settings)),
          purges_(purges),
          coverage_(purges.cleared_after()),
          counters_(counters) {}
    void enable(cache::CacheLimits limits);
    // Discovery's event stream was opened or interrupted; the events in between may be received at any later
    // time. Responses are used only while it is open.
    void set_discovery_connected(bool connected, Time now);
    // Purges issued until now may still be missing, or were lost.
    void purges_missed(Time now);
    void set_capacity(std::size_t bytes);

    // `unix_ms`: upper bound of the current Unix time in ms, so that no response's age is underestimated.
    std::optional<ClientResponse> fresh_response(const ClientRequest& request, std::size_t class_index,
                                                 Time now, std::int64_t unix_ms);
    std::optional<ClientResponse> last_resort_response(const ClientRequest& request, std::size_t class_index,
                                                       Time now, std::int64_t unix_ms);
    void store(const ActiveRequest& request, const AttemptResult& result, Time now, std::int64_t unix_ms);
    void purge(const PurgeNotice& purge);

private:
    void discard_responses();
    // Absent: the request must not be answered from the cache.
    std::optional<cache::Lookup> lookup_of(const ClientRequest& request, std::size_t class_index) const;
    std::optional<ClientResponse> response_from(std::optional<cache::Hit> hit);

    const routing::Settings& settings_;
    const Span longest_request_;
    const Purges& purges_;
    PurgeCoverage coverage_;
    Counters& counters_;
    std::optional<cache::ResponseCache> cache_;
};

}  // namespace silverrail::core
