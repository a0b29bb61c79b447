// The request lifecycle. Engine takes each request through the stages below and upholds the invariant:
// exactly one final response to each request, by its deadline.
//
//   submit            the request has been read in full
//    | Intake              invalid: failed
//    | Admission           too many are open: rejected
//    | ResponseCacheStage  a fresh cached response: served
//    v                                                                 (Guard: received)
//   RoutingStage      the decision module is notified and returns actions:
//    | Send    Forwarding starts an attempt                            (Guard: connecting)
//    |         before its first byte, the Guard checks it again        (Guard: sent)
//    |         its result goes through Accounting to the module        (Guard: between_attempts)
//    | Reject  a cached response as the last resort, else rejected
//    | Fail    failed
//    v
//   Completion        the sink receives the response                   (Guard: answered)
//
// A client may close at any time (Guard: client_closed); its attempts are then cancelled. A request is erased
// once it is answered, or its client has closed, and none of its attempts is in flight. The deadline timer
// fails any request that the module has not answered by then.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "core/admission.h"
#include "core/completion.h"
#include "core/discovery_updates.h"
#include "core/engine_state.h"
#include "core/forwarding.h"
#include "core/intake.h"
#include "core/response_cache_stage.h"
#include "core/routing_stage.h"

namespace silverrail::core {

// Single-threaded. All references passed in must outlive the engine.
class Engine : private ActionHandler {
public:
    Engine(routing::Settings settings, std::uint64_t seed, std::size_t max_open_requests, const Clock& clock,
           Timers& timers, AttemptSender& sender, Log& log);

    // ---- requests --------------------------------------------------------------------------------------

    // The sink receives exactly one response, during this call or later, unless the client closes first.
    // Absent: the request has already been answered.
    std::optional<RequestId> submit(ClientRequest request, std::shared_ptr<ResponseSink> sink);
    // The client has closed; no response is sent.
    void client_closed(RequestId id);
    // Fails every open request, for use when the process is about to exit.
    void fail_all();

    // ---- servers and purges ----------------------------------------------------------------------------

    // Discovery's events; see DiscoveryUpdates.
    void apply(ServerChange change, Span max_age = Span::max()) {
        updates_.apply(std::move(change), max_age);
    }
    void apply(const PurgeNotice& purge, Span max_age = Span::max()) {
        updates_.apply(purge, max_age);
    }
    // Which cached responses may be used although purges may have been missed. Null: the cache is disabled.
    cache::PurgeCoverage* purge_coverage() {
        return cache_.coverage();
    }
    // Excludes the servers in `overrides` and readmits those that are no longer in it.
    void set_overrides(const overrides::ServerOverrides& overrides) {
        updates_.set_overrides(overrides);
    }
    const overrides::ServerOverrides& overrides() const {
        return state_.servers.overrides();
    }
    // Excludes these servers as outliers reported by other routers. Replaces the set of the previous call, so
    // servers that are no longer in it are readmitted.
    void set_reported_outliers(std::set<ServerId> ids) {
        updates_.set_reported_outliers(std::move(ids));
    }
    // Requests are distributed over the zones in `factors` from now on.
    void set_zone_factors(const ZoneFactors& factors) {
        updates_.set_zone_factors(factors);
    }
    // Calls `visit` for every known server. `outlier`: by this router's own outlier detection.
    void for_each_server(const std::function<void(const Server&, bool outlier)>& visit) const;
    bool is_cache_server(const Server& server) const {
        return state_.servers.is_cache_server(server);
    }
    bool is_listed(const ServerId& id) const;
    // Whether an available server in the router's zone has an IPv6 address (`v6`) or an IPv4 address.
    bool has_address_family(bool v6) const;

    // ---- settings --------------------------------------------------------------------------------------

    // Requests are answered from the response cache from now on, while discovery is live and if the limits
    // permit a cache.
    void enable_response_cache(cache::CacheLimits limits) {
        cache_.enable(limits);
    }
    // The number of processes that act as one router, and the capacity of this process's response cache.
    void set_process_share(std::size_t processes, std::size_t cache_bytes);
    void set_cache_capacity(std::size_t bytes) {
        cache_.set_capacity(bytes);
    }
    std::size_t cache_bytes() const {
        return cache_.bytes();
    }
    // New requests are rejected while `has_memory` returns false.
    void set_memory_check(std::function<bool()> has_memory) {
        admission_.set_memory_check(std::move(has_memory));
    }
    // From now on, a request that is not idempotent and whose id is in `executed_requests` fails. Must
    // outlive the engine.
    void set_executed_requests(ExecutedRequests& executed_requests) {
        state_.executed_requests = &executed_requests;
    }
    // Null: no observer. The observer must outlive the engine or be removed.
    void set_observer(Observer* observer) {
        state_.observer = observer;
    }
    const routing::Settings& settings() const {
        return state_.settings;
    }
    const std::string& zone() const {
        return state_.servers.zone();
    }
    bool knows_class(const std::string& name) const;
    // Whether repeating a request could have a second effect: the class is not idempotent, or unknown.
    bool is_unsafe_class(const std::string& name) const;

    // ---- counters --------------------------------------------------------------------------------------

    std::size_t open() const {
        return state_.requests.size();
    }
    const Counters& counters();
    const std::map<std::string, std::uint64_t>& attempts_by_remote_zone() const {
        return forwarding_.attempts_by_remote_zone();
    }
    routing::Router::Sizes sizes() const {
        return routing_.sizes();
    }

private:
    void carry_out(const routing::Action& action) override;
    void event_done(const routing::Event& event) override;
    void act(const routing::Send& send);
    void act(const routing::Cancel& cancel);
    void act(const routing::Reject& reject);
    void act(const routing::Fail& fail);
    void act(const routing::SetTimer& timer);

    std::optional<ClientResponse> response_at_intake(const ClientRequest& request,
                                                     std::optional<std::size_t> class_index, Time now);
    void complete_at_intake(const ClientRequest& request, std::optional<std::size_t> class_index,
                            std::shared_ptr<ResponseSink> sink, ClientResponse response);
    ActiveRequest& open_request(ClientRequest client_request, std::size_t class_index,
                                std::shared_ptr<ResponseSink> sink, Time now);
    bool has_run(const ClientRequest& request, std::size_t class_index) const;
    void deadline_passed(RequestId id);
    void fail_without_decision(ActiveRequest& request, bool timed_out);
    void complete(ActiveRequest& request, ClientResponse response);
    void release(RequestId id);
    void forget_if_done(RequestId id);

    EngineState state_;
    Intake intake_;
    Admission admission_;
    ResponseCacheStage cache_;
    RoutingStage routing_;
    Completion completion_;
    Forwarding forwarding_;
    DiscoveryUpdates updates_;
};

}  // namespace silverrail::core
