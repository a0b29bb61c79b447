#include "core/engine.h"

#include <algorithm>
#include <utility>

namespace silverrail::core {

namespace {
// Lets an attempt's own timeout at the deadline be handled first; this timer fails requests still open then.
constexpr Span kDeadlineTimerDelay = std::chrono::milliseconds{2};
// Some of the open requests are expected to have completed by then.
constexpr Span kNotAdmittedRetryAfter = std::chrono::milliseconds{200};
}  // namespace

Engine::Engine(routing::Settings settings, std::uint64_t seed, std::size_t max_open_requests,
               const Clock& clock, Timers& timers, AttemptSender& sender, Log& log)
    : state_(std::move(settings), clock, timers, sender, log),
      intake_(state_.settings),
      admission_(max_open_requests),
      cache_(state_.settings, state_.purges, state_.counters),
      routing_(state_, seed, *this),
      completion_(state_),
      forwarding_(state_, cache_, completion_, routing_),
      updates_(state_, cache_, routing_) {}

// ---- intake, admission and response cache --------------------------------------------------------------

std::optional<RequestId> Engine::submit(ClientRequest request, std::shared_ptr<ResponseSink> sink) {
    ++state_.counters.taken;
    const Time now = state_.clock.now();
    const auto class_index = intake_.class_index(request.class_name);
    if (auto response = response_at_intake(request, class_index, now)) {
        complete_at_intake(request, class_index, std::move(sink), std::move(*response));
        return std::nullopt;
    }
    const ActiveRequest& opened = open_request(std::move(request), *class_index, std::move(sink), now);
    const RequestId id = opened.id;
    routing_.notify(intake_.routing_request(id, *class_index, *opened.client_request));
    return state_.find(id) ? std::optional{id} : std::nullopt;
}

// Absent: the request is passed to the decision module.
std::optional<ClientResponse> Engine::response_at_intake(const ClientRequest& request,
                                                         std::optional<std::size_t> class_index, Time now) {
    if (!class_index || request.deadline <= now)
        return failed(class_index.has_value());
    // Guards rule 1 (one final response): a second request with the trace id of an open one could receive the
    // first one's response.
    if (!intake_.is_valid(request, *class_index, now) || intake_.is_open(request.trace_id)) {
        ++state_.counters.unfit;
        return failed(false);
    }
    if (has_run(request, *class_index)) {
        ++state_.counters.unfit;
        state_.log.line("request-repeated", "%s %s: may have run before", request.trace_id.c_str(),
                        request.class_name.c_str());
        return failed(false);
    }
    if (request.body_discarded || !admission_.admits(state_.requests.size())) {
        ++state_.counters.not_admitted;
        state_.log.line("admission-rejected", "%zu requests are open%s", state_.requests.size(),
                        request.body_discarded ? ", no memory for the body" : "");
        return rejected(kNotAdmittedRetryAfter, false);
    }
    return cache_.fresh_response(request, *class_index, now, state_.read_unix_time(now).latest_ms(now));
}

// Guards rule 2 (no repeated effect): a rejection would promise that the request never ran.
bool Engine::has_run(const ClientRequest& request, std::size_t class_index) const {
    return state_.is_tracked(request.trace_id, class_index) &&
           state_.executed_requests->contains(request.trace_id);
}

void Engine::complete_at_intake(const ClientRequest& request, std::optional<std::size_t> class_index,
                                std::shared_ptr<ResponseSink> sink, ClientResponse response) {
    ActiveRequest unopened;
    unopened.sink = std::move(sink);
    unopened.class_index = class_index.value_or(ActiveRequest::kNoClass);
    if (state_.observer) {
        const std::size_t observed_class = class_index.value_or(state_.settings.classes.size());
        state_.observer->answered_at_intake(request, observed_class, state_.clock.now());
    }
    completion_.complete(unopened, std::move(response));
}

ActiveRequest& Engine::open_request(ClientRequest client_request, std::size_t class_index,
                                    std::shared_ptr<ResponseSink> sink, Time now) {
    const RequestId id = intake_.next_id();
    intake_.claim(client_request.trace_id);
    state_.guard.received(id, class_index);
    ActiveRequest request;
    request.id = id;
    request.client_request = std::make_shared<const ClientRequest>(std::move(client_request));
    request.class_index = class_index;
    request.received = now;
    request.sink = std::move(sink);
    request.deadline_timer = state_.timers.at(request.client_request->deadline + kDeadlineTimerDelay,
                                              [this, id] { deadline_passed(id); });
    return state_.requests.emplace(id, std::move(request)).first->second;
}

// ---- the decision module's actions ---------------------------------------------------------------------

void Engine::carry_out(const routing::Action& action) {
    std::visit([this](const auto& a) { act(a); }, action);
}

void Engine::event_done(const routing::Event& event) {
    if (const auto* outcome = std::get_if<routing::Outcome>(&event))
        forget_if_done(outcome->request);
}

void Engine::act(const routing::Send& send) {
    forwarding_.start(send);
}

void Engine::act(const routing::Cancel& cancel) {
    forwarding_.cancel({cancel.request, cancel.attempt});
}

void Engine::act(const routing::Reject& reject) {
    ActiveRequest* request = state_.find(reject.request);
    if (!request)
        return;
    const Time now = state_.clock.now();
    const ClientRequest& client_request = *request->client_request;
    if (request->has_run_before)
        return complete(*request, failed(now >= client_request.deadline));
    if (!request->answered()) {
        const std::int64_t unix_ms = state_.read_unix_time(now).latest_ms(now);
        if (auto cached = cache_.last_resort_response(client_request, request->class_index, now, unix_ms))
            return complete(*request, std::move(*cached));
    }
    complete(*request, rejected(reject.retry_after, now >= client_request.deadline));
}

void Engine::act(const routing::Fail& fail) {
    ActiveRequest* request = state_.find(fail.request);
    if (!request)
        return;
    complete(*request, failed(state_.clock.now() >= request->client_request->deadline));
}

void Engine::act(const routing::SetTimer& timer) {
    state_.timers.at(state_.clock.now() + timer.after,
                     [this, id = timer.id] { routing_.notify(routing::Timer{id}); });
}

// ---- completion of a request ---------------------------------------------------------------------------

void Engine::complete(ActiveRequest& request, ClientResponse response) {
    const RequestId id = request.id;
    if (!request.answered() && response.kind == ClientResponse::Kind::rejected)
        state_.log_request("request-rejected", request);
    if (!request.answered() && response.kind == ClientResponse::Kind::failed)
        state_.log_request("request-failed", request);
    completion_.complete(request, std::move(response));
    forget_if_done(id);
}

void Engine::client_closed(RequestId id) {
    ActiveRequest* request = state_.find(id);
    if (!request || request->answered())
        return;
    ++state_.counters.abandoned;
    request->sink = nullptr;
    state_.guard.client_closed(id);
    state_.log_request("client-closed", *request);
    release(id);
}

// Guards rule 1 (every request is answered): the decision module has not answered it by its deadline.
void Engine::deadline_passed(RequestId id) {
    ActiveRequest* request = state_.find(id);
    if (!request)
        return;
    request->deadline_timer = 0;
    if (request->answered())
        return;
    ++state_.counters.past_deadline;
    state_.log.line("deadline-exceeded", "a request of class %s was still open",
                    request->client_request->class_name.c_str());
    fail_without_decision(*request, true);
}

void Engine::fail_all() {
    std::vector<RequestId> unanswered;
    for (const auto& [id, request] : state_.requests) {
        if (!request.answered())
            unanswered.push_back(id);
    }
    if (!unanswered.empty())
        state_.log.line("requests-aborted", "failing %zu open requests: the process is exiting",
                        unanswered.size());
    for (const RequestId id : unanswered) {
        ActiveRequest* request = state_.find(id);
        if (request && !request->answered())
            fail_without_decision(*request, false);
    }
}

// Fails the request without waiting for a decision.
void Engine::fail_without_decision(ActiveRequest& request, bool timed_out) {
    const RequestId id = request.id;
    state_.log_request("request-failed", request);
    completion_.complete(request, failed(timed_out));
    release(id);
}

// Tells the decision module that no response is due any more, and cancels the remaining attempts.
void Engine::release(RequestId id) {
    routing_.notify(routing::ClientClosed{id});
    forwarding_.cancel_attempts(id);
    forget_if_done(id);
}

void Engine::forget_if_done(RequestId id) {
    const ActiveRequest* request = state_.find(id);
    if (!request || !request->answered() || request->has_attempt_in_flight())
        return;
    if (request->deadline_timer)
        state_.timers.cancel(request->deadline_timer);
    intake_.release(request->client_request->trace_id);
    if (request->run_recorded && !state_.guard.may_have_run(id))
        state_.executed_requests->remove(request->client_request->trace_id);
    state_.guard.forget(id);
    state_.requests.erase(id);
}

// ---- settings, servers and counters --------------------------------------------------------------------

void Engine::set_process_share(std::size_t processes, std::size_t cache_bytes) {
    routing_.set_process_count(processes);
    cache_.set_capacity(cache_bytes);
}

bool Engine::knows_class(const std::string& name) const {
    return intake_.class_index(name).has_value();
}

bool Engine::is_unsafe_class(const std::string& name) const {
    const auto index = intake_.class_index(name);
    return !index || state_.settings.classes[*index].idempotency != routing::Idempotency::idempotent;
}

void Engine::for_each_server(const std::function<void(const Server&, bool outlier)>& visit) const {
    for (const auto& [id, server] : state_.servers.servers())
        visit(server, routing_.is_outlier(id));
}

bool Engine::is_listed(const ServerId& id) const {
    const Server* server = state_.servers.find(id);
    return server && server->entry.condition != routing::Condition::gone;
}

bool Engine::has_address_family(bool v6) const {
    return state_.servers.any_available([&](const Server& server) {
        const bool is_v6 = server.address.find('[') != std::string::npos;
        return server.entry.zone == state_.settings.zone && is_v6 == v6;
    });
}

const Counters& Engine::counters() {
    Counters& counters = state_.counters;
    counters.open = state_.requests.size();
    counters.own_withheld = cache_.withheld();
    counters.purges_unconfirmed_ms = cache_.purges_unconfirmed_ms(state_.clock.now());
    counters.clock_steps = state_.unix_time.steps();
    for (std::size_t i = 0; i < kSuppressionReasons; ++i)
        counters.suppressed[i] = state_.guard.suppressed(static_cast<SuppressionReason>(i));
    for (std::size_t i = 0; i < kViolations; ++i)
        counters.violations[i] = state_.guard.violations(static_cast<Violation>(i));
    counters.inflight = static_cast<std::uint64_t>(
        std::ranges::count_if(state_.requests, [](const auto& e) { return !e.second.answered(); }));
    counters.hosts_listed = state_.servers.count_listed([](const Server&) { return true; });
    counters.hosts_down = state_.servers.count_listed([&](const Server& server) {
        return state_.servers.is_excluded(server) || routing_.is_outlier(server.entry.id);
    });
    return counters;
}

}  // namespace silverrail::core
