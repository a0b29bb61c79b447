// The response cache as a stage of the engine. Answers a request before it is routed if a fresh response is
// cached, and in place of a rejection by the decision module if any usable response is cached.
#pragma once

#include "cache/response_cache.h"
#include "core/active_request.h"
#include "core/counters.h"
#include "core/purges.h"

namespace silverrail::core {

class ResponseCacheStage {
public:
    // All arguments must outlive the stage. The cache is disabled until `enable` is called.
    ResponseCacheStage(const routing::Settings& settings, const Purges& purges, Counters& counters)
        : settings_(settings),
          longest_request_(longest_client_timeout(settings)),
          purges_(purges),
          counters_(counters) {}
    void enable(cache::CacheLimits limits) {
        cache_.emplace(
            settings_.classes, limits,
            cache::PurgeCoverage{settings_.purge_effective_within, settings_.purge_complete_within});
    }
    // Null: the cache is disabled.
    cache::PurgeCoverage* coverage() {
        return cache_ ? &cache_->coverage() : nullptr;
    }
    std::size_t bytes() const {
        return cache_ ? cache_->bytes() : 0;
    }
    std::uint64_t withheld() const {
        return cache_ ? cache_->withheld() : 0;
    }
    // How long ago the time was until which all purges are proved to have been received, in ms. Counted from
    // the clock's start if there was no proof, and 0 if the cache is disabled.
    std::uint64_t purges_unconfirmed_ms(Time now) const;
    void set_capacity(std::size_t bytes);

    // `unix_ms`: upper bound of the current Unix time in ms, so that no response's age is underestimated.
    std::optional<ClientResponse> fresh_response(const ClientRequest& request, std::size_t class_index,
                                                 Time now, std::int64_t unix_ms);
    std::optional<ClientResponse> last_resort_response(const ClientRequest& request, std::size_t class_index,
                                                       Time now, std::int64_t unix_ms);
    void store(const ActiveRequest& request, const AttemptResult& result, Time now, std::int64_t unix_ms);
    void purge(const PurgeNotice& purge);

private:
    // Absent: the request must not be answered from the cache.
    std::optional<cache::Lookup> lookup_of(const ClientRequest& request, std::size_t class_index) const;
    std::optional<ClientResponse> response_from(std::optional<cache::Hit> hit);

    const routing::Settings& settings_;
    const Span longest_request_;
    const Purges& purges_;
    Counters& counters_;
    std::optional<cache::ResponseCache> cache_;
};

}  // namespace silverrail::core
