// The response cache as a stage before routing: a request that a cached response answers goes no further, and
// one that the decision module rejects gets a cached response first, if there is one.
#pragma once

#include "cache/response_cache.h"
#include "core/active_request.h"
#include "core/counters.h"
#include "core/purges.h"

namespace silverrail::core {

class ResponseCacheStage {
public:
    // All three must outlive the stage. Off until `enable`.
    ResponseCacheStage(const routing::Settings& settings, const Purges& purges, Counters& counters)
        : settings_(settings),
          longest_request_(longest_client_timeout(settings)),
          purges_(purges),
          counters_(counters) {}
    void enable(cache::CacheLimits limits) {
        cache_.emplace(settings_.classes, limits);
    }
    // Whether every purge is certain to be received in time.
    void set_purges_reliable(bool reliable);
    void set_capacity(std::size_t bytes);

    // `unix_ms`: the latest Unix time in ms that it may be, so that no response counts as younger than it is.
    std::optional<ClientResponse> fresh_answer(const ClientRequest& request, std::size_t class_index,
                                               Time now, std::int64_t unix_ms);
    std::optional<ClientResponse> last_resort_answer(const ClientRequest& request, std::size_t class_index,
                                                     Time now, std::int64_t unix_ms);
    void store(const ActiveRequest& request, const AttemptResult& result, Time now, std::int64_t unix_ms);
    void purge(const PurgeNotice& purge);

private:
    // Absent: no cached response may answer the request.
    std::optional<cache::Lookup> lookup_of(const ClientRequest& request, std::size_t class_index) const;
    std::optional<ClientResponse> answer_from(std::optional<cache::Hit> response);

    const routing::Settings& settings_;
    const Span longest_request_;
    const Purges& purges_;
    Counters& counters_;
    std::optional<cache::ResponseCache> cache_;
};

}  // namespace silverrail::core
