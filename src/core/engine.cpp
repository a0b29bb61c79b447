#include "core/engine.h"

#include <algorithm>
#include <utility>

namespace silverrail::core {

namespace {
// A deadline's own time-out is told first; the guard after it answers whatever is still open.
constexpr Span kGuardAfter = std::chrono::milliseconds{2};
// A call that is not admitted is asked to come back when some of the open ones are through.
constexpr Span kNotAdmittedHoldOff = std::chrono::milliseconds{200};
// The usual reason is a purge, and its age bound falls away within seconds.
constexpr Span kNotCarriedHoldOff = std::chrono::milliseconds{1000};

// A server may be listed some time after its start: its list, and the server itself, may be slow.
constexpr Span kLongestStart = std::chrono::seconds{60};
// What is sent within this of the reading of its request goes out in the same turn of the loop.
constexpr Span kJustTaken = std::chrono::milliseconds{2};
constexpr std::size_t kMostZones = 64;  // that sends are counted for

using routing::Condition;

// The core gives each server the weight that counts, so that a share of a zone can be told as a part of it.
routing::Settings weighted(routing::Settings settings) {
    settings.server_weights = routing::ServerWeights::nominal;
    return settings;
}
}  // namespace

Engine::Engine(routing::Settings settings, std::uint64_t seed, std::size_t most_open, const Clock& clock,
               Timers& timers, AttemptSender& sender, Log& log)
    : settings_(std::move(settings)),
      clock_(clock),
      timers_(timers),
      sender_(sender),
      log_(log),
      fleet_(settings_),
      purges_(settings_.purge_complete_within + settings_.purge_effective_within + std::chrono::seconds{1},
              longest_deadline(settings_)),
      take_in_(settings_),
      admit_(most_open),
      hold_(settings_, purges_, counters_),
      route_(weighted(settings_), seed),
      send_(fleet_, purges_, unix_time_),
      relay_(counters_),
      book_(counters_),
      guard_(settings_) {
    for (const auto& c : settings_.classes)
        counters_.classes.push_back({.name = c.name});
}

bool Engine::knows_class(const std::string& name) const {
    Call call;
    call.class_name = name;
    return take_in_.class_of(call).has_value();
}

bool Engine::unsafe_class(const std::string& name) const {
    Call call;
    call.class_name = name;
    const auto index = take_in_.class_of(call);
    return !index || settings_.classes[*index].idempotency != routing::Idempotency::idempotent;
}

bool Engine::lists_address(bool v6) const {
    return fleet_.any([&](const Server& server) {
        return server.entry.zone == settings_.zone && (server.address.find('[') != std::string::npos) == v6;
    });
}

const Counters& Engine::counters() {
    counters_.open = open_.size();
    counters_.clock_steps = unix_time_.steps();
    for (std::size_t i = 0; i < kHeldReasons; ++i)
        counters_.held[i] = guard_.held(static_cast<Held>(i));
    for (std::size_t i = 0; i < kViolations; ++i)
        counters_.violations[i] = guard_.violations(static_cast<Violation>(i));
    counters_.inflight = static_cast<std::uint64_t>(
        std::count_if(open_.begin(), open_.end(), [](const auto& e) { return !e.second.answered(); }));
    counters_.hosts_listed = fleet_.count_listed([](const Server&) { return true; });
    counters_.hosts_down = fleet_.count_listed(
        [&](const Server& server) { return fleet_.kept_out(server) || route_.avoids(server.entry.id); });
    return counters_;
}

std::optional<RequestId> Engine::take(Call call, std::shared_ptr<ReplySink> sink) {
    ++counters_.taken;
    const Time now = clock_.now();
    OpenCall open;
    open.sink = std::move(sink);
    const auto class_index = take_in_.class_of(call);
    if (!class_index || call.deadline <= now) {
        turn_away(open, call, class_index, Relay::failed(class_index.has_value()));
        return std::nullopt;
    }
    // Guards rule 1 (one final answer): a second request under an open id could be given the first one's.
    if (!take_in_.fits(call, *class_index, now) || take_in_.is_open(call.trace)) {
        ++counters_.unfit;
        turn_away(open, call, class_index, Relay::failed(false));
        return std::nullopt;
    }
    if (!admit_.admits(open_.size())) {
        ++counters_.not_admitted;
        log_.line("not-admitted", "%zu calls are open", open_.size());
        turn_away(open, call, class_index, Relay::refused(kNotAdmittedHoldOff, false));
        return std::nullopt;
    }
    if (auto held = hold_.answer(call, *class_index, now, unix_time(now).latest_ms(now))) {
        turn_away(open, call, class_index, std::move(*held));
        return std::nullopt;
    }
    const RequestId id = take_in_.next_id();
    take_in_.claim(call.trace);
    guard_.taken(id, *class_index);
    open.call = std::make_shared<const Call>(std::move(call));
    open.id = id;
    open.class_index = *class_index;
    open.taken = now;
    open.guard = timers_.at(open.call->deadline + kGuardAfter, [this, id] { deadline(id); });
    const auto request = take_in_.request(id, *class_index, *open.call);
    open_.emplace(id, std::move(open));
    tell(request);
    return open_.contains(id) ? std::optional{id} : std::nullopt;
}

void Engine::turn_away(OpenCall& open, const Call& call, std::optional<std::size_t> class_index,
                       Answer answer) {
    open.class_index = class_index.value_or(OpenCall::kNoClass);
    if (observer_)
        observer_->turned_away(call, class_index.value_or(settings_.classes.size()), clock_.now());
    relay_.answer(open, std::move(answer));
}

void Engine::share_with(std::size_t processes, std::size_t copies_bytes) {
    route_.share_with(processes);
    hold_.limit(copies_bytes);
}

void Engine::watch(Observer* observer) {
    observer_ = observer;
    relay_.watch(observer, &clock_);
}

void Engine::abandon(RequestId id) {
    auto at = open_.find(id);
    if (at == open_.end() || at->second.answered())
        return;
    ++counters_.abandoned;
    at->second.sink = nullptr;
    guard_.left(id);
    tell_why("client-left", at->second);
    let_go(id);
}

// The module has nothing more to do for it, and what is still out serves nobody: given up at the server too.
void Engine::let_go(RequestId id) {
    tell(routing::ClientClosed{id});
    withdraw(id);
    drop_if_done(id);
}

void Engine::withdraw(RequestId id) {
    for (std::uint32_t i = 0;; ++i) {
        const auto at = open_.find(id);
        if (at == open_.end() || i >= at->second.attempts.size())
            return;
        act(routing::Cancel{id, i});
    }
}

const UnixTime& Engine::unix_time(Time now) {
    unix_time_.read(now, clock_.unix_ms());
    return unix_time_;
}

void Engine::apply(ServerChange change, Span oldest) {
    ++counters_.lists;
    const Time now = clock_.now();
    for (Server& server : change.servers)
        if (server.started_ms > 0)
            server.entry.started_at = started(server, now, oldest);
    for (const ServerId& id : fleet_.apply(change, now))
        sender_.forget(id);
    tell_list(change);
}

// Guards rule 4 (cold starts): a start counts from the same moment however often it is told, and from its
// telling where its age can't be right.
Time Engine::started(const Server& server, Time now, Span oldest) {
    const Server* known = fleet_.find(server.entry.id);
    if (known && known->started_ms == server.started_ms && known->entry.started_at)
        return *known->entry.started_at;
    const Span age = unix_time(now).least_age(now, server.started_ms);
    const bool plausible = oldest >= Span::max() - kLongestStart || age <= oldest + kLongestStart;
    if (!plausible)
        ++counters_.clock_doubts;
    return plausible ? now - age : now;
}

bool Engine::lists(const ServerId& id) const {
    const Server* server = fleet_.find(id);
    return server && server->entry.condition != routing::Condition::gone;
}

void Engine::set_bans(const members::Bans& bans) {
    restate([&] { fleet_.set_bans(bans); });
}

void Engine::hold_out(std::set<ServerId> ids) {
    restate([&] { fleet_.hold_out(std::move(ids)); });
}

void Engine::steer(const Steering& steering) {
    restate([&] { fleet_.steer(steering); });
}

// Tells the module of every server that it is to see otherwise than before, whatever the list says of it.
void Engine::restate(const std::function<void()>& change) {
    std::map<ServerId, routing::ListedServer> before;
    for (const auto& [id, server] : fleet_.servers())
        before.emplace(id, fleet_.entry(server));
    change();
    ServerChange told;
    for (const auto& [id, server] : fleet_.servers()) {
        const auto& was = before.at(id);
        const auto is = fleet_.entry(server);
        const bool out = is.condition != was.condition && is.condition != Condition::ready;
        const bool back = is.condition != was.condition && is.condition == Condition::ready;
        if (!out && !back && is.zone == was.zone && is.weight == was.weight)
            continue;
        if (out)
            sender_.forget(id);
        told.servers.push_back(server);
        // Guards rule 4: out, it may have been restarted, whatever the list says of its start.
        if (back)
            told.servers.back().entry.started_at = clock_.now();
    }
    if (!told.servers.empty())
        tell_list(told);
}

void Engine::each_server(const std::function<void(const Server&, bool avoided)>& see) const {
    for (const auto& [id, server] : fleet_.servers())
        see(server, route_.avoids(id));
}

void Engine::tell_list(const ServerChange& change) {
    routing::ServerList list{change.complete, {}};
    for (const Server& server : change.servers)
        list.caches.push_back(fleet_.entry(server));
    origin_.change = &change;
    tell(std::move(list));
    origin_ = {};
}

void Engine::apply(const PurgeNotice& purge, Span oldest) {
    ++counters_.purges;
    const Time now = clock_.now();
    (void)unix_time(now);
    unix_time_.passed(now, purge.issued_ms, UnixTime::Source::trusted);
    // Guards rule 5 (no purged copy): what is told as news is as old as can be proven. Of what was known at
    // the start most is long past, by this clock; the check at the first byte goes by what is proven there,
    // too.
    Span age = unix_time_.least_age(now, purge.issued_ms);
    if (age > oldest)
        ++counters_.clock_doubts;
    if (oldest < Span::max())
        age = unix_time_.proven_age(now, purge.issued_ms);
    purges_.add(purge, now);
    hold_.purge(purge);
    origin_.purge = &purge;
    tell(routing::Purge{purge.object, purge.group, age});
    origin_ = {};
}

// Events that arise while the module is being told of one wait for their turn.
void Engine::tell(routing::Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(telling_, true))
        return;
    while (!events_.empty()) {
        const routing::Event next = std::move(events_.front());
        events_.pop_front();
        const auto actions = route_.tell(next, clock_.now());
        if (observer_)
            observe(next, actions);
        for (const auto& action : actions)
            std::visit([this](const auto& a) { act(a); }, action);
        if (const auto* outcome = std::get_if<routing::Outcome>(&next))
            drop_if_done(outcome->request);
    }
    telling_ = false;
}

void Engine::observe(const routing::Event& event, const std::vector<routing::Action>& actions) {
    Origin origin = origin_;
    origin.calls = &open_;
    observer_->told(event, route_.last(), actions, origin);
}

void Engine::act(const routing::Send& send) {
    auto at = open_.find(send.request);
    if (at == open_.end())
        return;
    OpenCall& open = at->second;
    const Time now = clock_.now();
    const auto attempt = static_cast<std::uint32_t>(open.attempts.size());
    const AttemptKey key{send.request, attempt};
    open.attempts.push_back({.sent = now});
    auto order = send_.order(send, open, attempt, now);
    if (!order || open.answered() || now >= order->give_up) {
        ended(key, {.attempt_status = AttemptStatus::not_sent});
        return;
    }
    // Guards rule 2 (no repeated effect) and the limits of attempts, whatever was decided.
    if (!guard_.start(key)) {
        tell_of_violation();
        ended(key, {.attempt_status = AttemptStatus::not_sent});
        return;
    }
    if (attempt > 0)
        tell_why("retry", open);
    if (open.call->redirected)
        return refer(open, *order);
    ++counters_.sent;
    const Server* target = fleet_.find(order->target);
    if (target && fleet_.is_cache_server(*target) && target->entry.zone != fleet_.zone() &&
        (sent_away_.size() < kMostZones || sent_away_.contains(target->entry.zone)))
        ++sent_away_[target->entry.zone];
    open.attempts.back().timer = timers_.at(order->give_up, [this, key] { timed_out(key); });
    open.attempts.back().order = *order;
    sender_.start(std::move(*order), *this);
}

// The client goes to the server by itself: nobody here will see how that ends, and the module is told so.
void Engine::refer(OpenCall& open, const Order& order) {
    const auto address = send_.referral(order, settings_.parent_kind, clock_.now());
    const AttemptKey key = order.key;
    if (!address)
        ++counters_.not_carried;
    answer(open, address ? Relay::redirected(*address) : Relay::refused(kNotCarriedHoldOff, false));
    ended(key, {.attempt_status = AttemptStatus::unobserved});
}

void Engine::act(const routing::Cancel& cancel) {
    auto at = open_.find(cancel.request);
    if (at == open_.end() || cancel.attempt >= at->second.attempts.size())
        return;
    if (!at->second.attempts[cancel.attempt].out)
        return;
    ++counters_.cancelled;
    const AttemptKey key{cancel.request, cancel.attempt};
    sender_.cancel(key);
    ended(key, {.attempt_status = AttemptStatus::cancelled});
}

void Engine::act(const routing::Reject& refuse) {
    auto at = open_.find(refuse.request);
    if (at == open_.end())
        return;
    const OpenCall& open = at->second;
    const Time now = clock_.now();
    if (!open.answered())
        if (auto held = hold_.last_resort(*open.call, open.class_index, now, unix_time(now).latest_ms(now)))
            return finish(refuse.request, std::move(*held));
    finish(refuse.request, Relay::refused(refuse.retry_after, now >= open.call->deadline));
}

void Engine::act(const routing::Fail& fail) {
    auto at = open_.find(fail.request);
    if (at == open_.end())
        return;
    finish(fail.request, Relay::failed(clock_.now() >= at->second.call->deadline));
}

void Engine::act(const routing::SetTimer& timer) {
    timers_.at(clock_.now() + timer.after, [this, id = timer.id] { tell(routing::Timer{id}); });
}

std::optional<Span> Engine::before_first_byte(const AttemptKey& key) {
    auto at = open_.find(key.request);
    if (at == open_.end() || key.attempt >= at->second.attempts.size())
        return std::nullopt;
    const OpenAttempt& attempt = at->second.attempts[key.attempt];
    if (!attempt.out || !attempt.order || at->second.answered())
        return std::nullopt;
    const Time now = clock_.now();
    const auto held = guard_.send(key, facts_at_first_byte(at->second, attempt, now));
    bool tightened = false;
    std::optional<Span> oldest;
    if (!held)
        oldest = send_.oldest(*attempt.order, now, tightened);
    if (held) {
        ++counters_.held_at_first_byte;
        log_.line("held", "%s attempt %u to %s: %s", at->second.call->trace.c_str(), key.attempt,
                  attempt.order->target.address.c_str(), std::string{name_of(*held)}.c_str());
    }
    if (tightened)
        ++counters_.tightened;
    if (observer_)
        observer_->first_byte(key, oldest, tightened, now);
    return oldest;
}

Guard::Facts Engine::facts_at_first_byte(const OpenCall& call, const OpenAttempt& attempt, Time now) const {
    const Order& order = *attempt.order;
    Guard::Facts facts;
    facts.now = now;
    facts.give_up = order.give_up;
    // Guards rule 2 (no repeated effect): the wait for a connection may have outlasted the window of repeats.
    facts.repeat_before = order.repeat_before;
    // Told of with the next turn of the loop, perhaps; what goes out at once was looked at when it came.
    facts.client_left = now > call.taken + kJustTaken && call.sink->client_left();
    // Guards rule 3 (drains): one may have been told during the wait.
    facts.target_usable = send_.usable(order.target);
    facts.source_usable = !order.source || send_.usable(*order.source);
    return facts;
}

void Engine::answer(OpenCall& open, Answer answer) {
    if (relay_.answer(open, std::move(answer)))
        guard_.answered(open.id);
}

void Engine::tell_of_violation() {
    log_.line("violation", "%s", guard_.last_violation().c_str());
}

// One line: the call, how its last attempt ended and how many there were.
void Engine::tell_why(const char* event, const OpenCall& open) const {
    const auto state = guard_.state(open.id);
    log_.line(event, "%s %s: %zu attempts, %s, last ending %s", open.call->trace.c_str(),
              open.call->class_name.c_str(), open.attempts.size(),
              state ? std::string{name_of(*state)}.c_str() : "closed",
              open.last_ending ? Counters::name_of(*open.last_ending) : "none");
}

void Engine::ended(const AttemptKey& key, AttemptEnd end) {
    auto at = open_.find(key.request);
    if (at == open_.end() || key.attempt >= at->second.attempts.size())
        return;
    OpenCall& open = at->second;
    OpenAttempt& attempt = open.attempts[key.attempt];
    if (!attempt.out)
        return;
    attempt.out = false;
    attempt.order.reset();
    open.last_ending = end.attempt_status;
    guard_.ended(key, end.attempt_status);
    if (attempt.timer)
        timers_.cancel(std::exchange(attempt.timer, 0));
    const bool good = end.attempt_status == AttemptStatus::success;
    const Time now = clock_.now();
    (void)unix_time(now);
    if (end.made_ms > 0)
        unix_time_.passed(now, end.made_ms, UnixTime::Source::any);
    hold_.keep(open, end, now, unix_time_.latest_ms(now));
    const auto outcome = book_.outcome(key, end, attempt, good || open.answered(), now);
    if (good)
        answer(open, Relay::served(std::move(end)));
    tell(outcome);
}

void Engine::timed_out(const AttemptKey& key) {
    auto at = open_.find(key.request);
    if (at == open_.end() || key.attempt >= at->second.attempts.size())
        return;
    at->second.attempts[key.attempt].timer = 0;
    if (!at->second.attempts[key.attempt].out)
        return;
    sender_.cancel(key);
    ended(key, {.attempt_status = AttemptStatus::timeout});
}

// Guards rule 1 (every request answered): a call that the module still holds at its deadline.
void Engine::deadline(RequestId id) {
    auto at = open_.find(id);
    if (at == open_.end())
        return;
    at->second.guard = 0;
    if (at->second.answered())
        return;
    ++counters_.past_deadline;
    log_.line("past-deadline", "a %s call was still open", at->second.call->class_name.c_str());
    fail_now(id, true);
}

void Engine::fail_all() {
    std::vector<RequestId> open;
    for (const auto& [id, call] : open_)
        if (!call.answered())
            open.push_back(id);
    if (!open.empty())
        log_.line("cut-short", "%zu open calls failed: the process ends", open.size());
    for (const RequestId id : open)
        fail_now(id, false);
}

// Without asking the module.
void Engine::fail_now(RequestId id, bool timed_out) {
    const auto at = open_.find(id);
    if (at == open_.end() || at->second.answered())
        return;
    tell_why("failed", at->second);
    answer(at->second, Relay::failed(timed_out));
    let_go(id);
}

void Engine::finish(RequestId id, Answer reply) {
    auto at = open_.find(id);
    if (at == open_.end())
        return;
    if (!at->second.answered() && reply.kind == Answer::Kind::refused)
        tell_why("refused", at->second);
    if (!at->second.answered() && reply.kind == Answer::Kind::failed)
        tell_why("failed", at->second);
    answer(at->second, std::move(reply));
    drop_if_done(id);
}

void Engine::drop_if_done(RequestId id) {
    auto at = open_.find(id);
    if (at == open_.end() || !at->second.answered() || !at->second.idle())
        return;
    if (at->second.guard)
        timers_.cancel(at->second.guard);
    take_in_.release(at->second.call->trace);
    guard_.closed(id);
    open_.erase(at);
}

}  // namespace silverrail::core
