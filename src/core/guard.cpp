#include "core/guard.h"

#include <algorithm>
#include <numeric>

namespace silverrail::core {

namespace {

constexpr std::size_t kStates = static_cast<std::size_t>(CallState::count_);

constexpr std::array<std::string_view, kStates> kStateNames{"taken", "deciding", "ordered",
                                                            "sent",  "answered", "left"};
constexpr std::array<std::string_view, kHeldReasons> kHeldNames{
    "client_left",    "answered",       "past_deadline", "past_window",
    "target_drained", "source_drained", "may_run_twice", "another_out"};
constexpr std::array<std::string_view, kViolations> kViolationNames{
    "start_after_end", "start_beside", "start_past_limit", "repeat", "transition", "unknown_call"};

// Row: from; column: to, in the order of CallState. An attempt that ends after the answer changes nothing.
constexpr bool kMayFollow[kStates][kStates] = {
    //  taken  deciding ordered sent   answered left
    {false, false, true, false, true, true},    // taken
    {false, false, true, false, true, true},    // deciding
    {false, true, false, true, true, true},     // ordered
    {false, true, false, false, true, true},    // sent
    {false, false, false, false, false, true},  // answered: its client may go before it is written
    {false, false, false, false, false, false}  // left
};

}  // namespace

std::string_view name_of(CallState state) {
    return kStateNames[static_cast<std::size_t>(state)];
}
std::string_view name_of(Held reason) {
    return kHeldNames[static_cast<std::size_t>(reason)];
}
std::string_view name_of(Violation violation) {
    return kViolationNames[static_cast<std::size_t>(violation)];
}

bool may_follow(CallState from, CallState to) {
    return kMayFollow[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)];
}

void Guard::taken(RequestId id, std::size_t class_index) {
    calls_[id] = Call{.state = CallState::taken, .class_index = class_index, .attempts = {}};
}

Guard::Call* Guard::find(RequestId id) {
    const auto at = calls_.find(id);
    return at == calls_.end() ? nullptr : &at->second;
}

std::optional<CallState> Guard::state(RequestId id) const {
    const auto at = calls_.find(id);
    return at == calls_.end() ? std::nullopt : std::optional{at->second.state};
}

bool Guard::over(const Call& call) const {
    return call.state == CallState::answered || call.state == CallState::left;
}

// Has another attempt of it run, or may it have, where that is not to happen again?
bool Guard::could_run_twice(const Call& call, std::uint32_t attempt) const {
    if (settings_.classes[call.class_index].idempotency != routing::Idempotency::none)
        return false;
    return std::ranges::any_of(call.attempts, [attempt](const auto& entry) {
        return entry.first != attempt && entry.second.may_have_run;
    });
}

std::optional<Violation> Guard::against_start(const Call& call) const {
    if (over(call))
        return Violation::start_after_end;
    const bool beside =
        std::ranges::any_of(call.attempts, [](const auto& entry) { return entry.second.out; });
    if (beside)
        return Violation::start_beside;
    if (static_cast<int>(call.attempts.size()) >= settings_.max_attempts)
        return Violation::start_past_limit;
    if (could_run_twice(call, ~std::uint32_t{0}))
        return Violation::repeat;
    return std::nullopt;
}

bool Guard::start(const AttemptKey& key) {
    Call* call = find(key.request);
    const auto against = call ? against_start(*call) : std::optional{Violation::unknown_call};
    if (against) {
        count(*against, key.request, call);
        return false;
    }
    call->attempts.emplace(key.attempt, Attempt{});
    move(key.request, *call, CallState::ordered);
    return true;
}

std::optional<Held> Guard::against_send(const Call& call, std::uint32_t attempt, const Facts& facts) const {
    if (call.state == CallState::left || facts.client_left)
        return Held::client_left;
    if (call.state == CallState::answered)
        return Held::answered;
    if (facts.now >= facts.give_up)
        return Held::past_deadline;
    if (facts.repeat_before && facts.now >= *facts.repeat_before)
        return Held::past_window;
    if (!facts.target_usable)
        return Held::target_drained;
    if (!facts.source_usable)
        return Held::source_drained;
    if (could_run_twice(call, attempt))
        return Held::may_run_twice;
    const bool another_out = std::ranges::any_of(call.attempts, [attempt](const auto& entry) {
        return entry.first != attempt && entry.second.out && entry.second.sent;
    });
    if (another_out)
        return Held::another_out;
    return std::nullopt;
}

std::optional<Held> Guard::send(const AttemptKey& key, const Facts& facts) {
    Call* call = find(key.request);
    const auto at = call ? call->attempts.find(key.attempt) : std::map<std::uint32_t, Attempt>::iterator{};
    const bool on_record = call && at != call->attempts.end() && at->second.out;
    const auto against = on_record ? against_send(*call, key.attempt, facts) : std::optional{Held::answered};
    if (against) {
        ++held_[static_cast<std::size_t>(*against)];
        return against;
    }
    at->second.sent = at->second.may_have_run = true;
    move(key.request, *call, CallState::sent);
    return std::nullopt;
}

void Guard::ended(const AttemptKey& key, AttemptStatus attempt_status) {
    Call* call = find(key.request);
    if (!call)
        return count(Violation::unknown_call, key.request, nullptr);
    const auto at = call->attempts.find(key.attempt);
    if (at == call->attempts.end() || !at->second.out)
        return;
    at->second.out = false;
    // The server's own word that it never ran.
    if (attempt_status == AttemptStatus::overloaded || attempt_status == AttemptStatus::miss ||
        attempt_status == AttemptStatus::not_sent || attempt_status == AttemptStatus::connect_failed)
        at->second.may_have_run = false;
    if (!over(*call))
        move(key.request, *call, CallState::deciding);
}

void Guard::move(RequestId id, CallState to) {
    if (Call* call = find(id))
        move(id, *call, to);
}

void Guard::move(RequestId id, Call& call, CallState to) {
    if (!may_follow(call.state, to))
        count(Violation::transition, id, &call);
    call.state = to;
}

std::uint64_t Guard::violations() const {
    return std::accumulate(violations_.begin(), violations_.end(), std::uint64_t{0});
}

void Guard::count(Violation violation, RequestId id, const Call* call) {
    ++violations_[static_cast<std::size_t>(violation)];
    last_violation_ = std::string{name_of(violation)} + ", call " +
                      std::to_string(static_cast<std::uint64_t>(id)) + ", state " +
                      std::string{call ? name_of(call->state) : "none"} + ", attempts " +
                      std::to_string(call ? call->attempts.size() : 0);
}

}  // namespace silverrail::core
