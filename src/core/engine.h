// The life of a request. Engine leads each one through the stages below and owns the invariant: exactly one
// final answer for each request, by its deadline.
//
//   submit            the request has been read whole
//    | Intake              not valid: failed
//    | Admission           too many are open: rejected
//    | ResponseCacheStage  a fresh cached response: served
//    v                                                                 (Guard: received)
//   RoutingStage      the decision module is notified and returns actions:
//    | Send    Forwarding starts an attempt                            (Guard: connecting)
//    |         before its first byte, the Guard checks it once more    (Guard: sent)
//    |         its result goes through Accounting to the module        (Guard: between_attempts)
//    | Reject  a cached response as the last resort, else rejected
//    | Fail    failed
//    v
//   Completion        the sink gets the answer                         (Guard: answered)
//
// A client may close at any time (Guard: client_closed): its attempts are cancelled. A request is forgotten
// once it is answered, or its client has closed, and none of its attempts is in flight. The deadline's timer
// fails whatever the module has left open.
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

    // The sink gets exactly one answer, now or later, unless the client closes first. Absent: it has been
    // answered already.
    std::optional<RequestId> submit(ClientRequest request, std::shared_ptr<ResponseSink> sink);
    // The client has closed and gets no answer.
    void client_closed(RequestId id);
    // The process ends before they could: every open request is failed now.
    void fail_all();

    // ---- servers and purges ----------------------------------------------------------------------------

    // Discovery's events; see DiscoveryUpdates.
    void apply(ServerChange change, Span max_age = Span::max()) {
        updates_.apply(std::move(change), max_age);
    }
    void apply(const PurgeNotice& purge, Span max_age = Span::max()) {
        updates_.apply(purge, max_age);
    }
    // Excludes what `overrides` names, and readmits what it names no more.
    void set_overrides(const overrides::ServerOverrides& overrides) {
        updates_.set_overrides(overrides);
    }
    const overrides::ServerOverrides& overrides() const {
        return state_.servers.overrides();
    }
    // Excludes these as outliers on the reports of other routers, and readmits those of the earlier call.
    void set_reported_outliers(std::set<ServerId> ids) {
        updates_.set_reported_outliers(std::move(ids));
    }
    // From here on requests are spread over the zones that are named.
    void set_zone_factors(const ZoneFactors& factors) {
        updates_.set_zone_factors(factors);
    }
    // Calls `visit` for every known server; `outlier`: to this router's own decision module.
    void for_each_server(const std::function<void(const Server&, bool outlier)>& visit) const;
    bool is_cache_server(const Server& server) const {
        return state_.servers.is_cache_server(server);
    }
    bool is_listed(const ServerId& id) const;
    // Whether an available server of this zone has an IPv6 (`v6`) or an IPv4 address.
    bool has_address_family(bool v6) const;

    // ---- settings --------------------------------------------------------------------------------------

    // From here on cached responses answer requests, if the limits allow any. Only once purges are reliable.
    void enable_response_cache(cache::CacheLimits limits) {
        cache_.enable(limits);
    }
    // Whether every purge is certain to be received in time.
    void set_purges_reliable(bool reliable) {
        cache_.set_purges_reliable(reliable);
    }
    // From here on so many processes act as one router; this one's response cache gets `cache_bytes`.
    void set_process_share(std::size_t processes, std::size_t cache_bytes);
    // Notified of everything from here on; null: nobody. It must outlive the engine or be removed.
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
    // Whether a repeat by itself could have an effect: the class is not idempotent, or not known.
    bool is_unsafe_class(const std::string& name) const;

    // ---- figures ---------------------------------------------------------------------------------------

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

    std::optional<ClientResponse> answer_at_intake(const ClientRequest& request,
                                                   std::optional<std::size_t> class_index, Time now);
    void complete_at_intake(const ClientRequest& request, std::optional<std::size_t> class_index,
                            std::shared_ptr<ResponseSink> sink, ClientResponse answer);
    ActiveRequest& open_request(ClientRequest client_request, std::size_t class_index,
                                std::shared_ptr<ResponseSink> sink, Time now);
    void deadline_passed(RequestId id);
    void fail_unasked(ActiveRequest& request, bool timed_out);
    void complete(ActiveRequest& request, ClientResponse answer);
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
