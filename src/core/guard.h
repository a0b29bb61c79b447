// The guard: every call's life as named states, and the one place that says whether an attempt may start, its
// first byte go out, or an answer be given. It keeps its own account of what is out and what may have run,
// apart from the module's, so that a decision that would break a rule is held back here and counted. No
// clock, no I/O.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"

namespace silverrail::core {

enum class CallState : std::uint8_t {
    taken,     // read whole; nothing has been decided
    deciding,  // no attempt is out, one was
    ordered,   // an attempt waits for its connection
    sent,      // its first byte is out, or was
    answered,  // the client has its one answer
    left,      // the client has gone; nothing is owed
    count_
};
std::string_view name_of(CallState state);
bool may_follow(CallState from, CallState to);

// Why an attempt's first byte is held back. Waits make the first five right and usual.
enum class Held : std::uint8_t {
    client_left,
    answered,
    past_deadline,  // of the attempt or its client
    past_window,    // of a keyed request's repeats
    target_drained,
    source_drained,
    may_run_twice,  // of a class that may not be repeated, and an earlier one may have run
    another_out,    // two at once
    count_
};
constexpr std::size_t kHeldReasons = static_cast<std::size_t>(Held::count_);
std::string_view name_of(Held reason);

// What no state of the world makes right: decisions that would have broken a rule.
enum class Violation : std::uint8_t {
    start_after_end,   // an attempt ordered for a call that is answered or left
    start_beside,      // an attempt ordered while another is out
    start_past_limit,  // more attempts than the settings allow
    repeat,            // an attempt ordered that could run a second time
    transition,        // a state that may not follow
    unknown_call,      // an event of a call that is not open
    count_
};
constexpr std::size_t kViolations = static_cast<std::size_t>(Violation::count_);
std::string_view name_of(Violation violation);

class Guard {
public:
    explicit Guard(const routing::Settings& settings) : settings_(settings) {}

    void taken(RequestId id, std::size_t class_index);
    // May a further attempt start? It is on record from here on if so; else the violation is counted.
    [[nodiscard]] bool start(const AttemptKey& key);
    // Nothing, and it is on record as sent, or why its first byte has to stay.
    struct Facts {
        Time now{};
        Time give_up{};
        std::optional<Time> repeat_before{};
        bool client_left = false;
        bool target_usable = true;
        bool source_usable = true;
    };
    [[nodiscard]] std::optional<Held> send(const AttemptKey& key, const Facts& facts);
    void ended(const AttemptKey& key, AttemptStatus attempt_status);
    void answered(RequestId id) {
        move(id, CallState::answered);
    }
    void left(RequestId id) {
        move(id, CallState::left);
    }
    void closed(RequestId id) {
        calls_.erase(id);
    }
    // Absent: not open.
    std::optional<CallState> state(RequestId id) const;

    std::uint64_t held(Held reason) const {
        return held_[static_cast<std::size_t>(reason)];
    }
    std::uint64_t violations(Violation violation) const {
        return violations_[static_cast<std::size_t>(violation)];
    }
    std::uint64_t violations() const;
    // The last one, for the log: rule, state and attempt; empty: there was none.
    const std::string& last_violation() const {
        return last_violation_;
    }

private:
    struct Attempt {
        bool out = true;
        bool sent = false;
        bool may_have_run = false;
    };
    struct Call {
        CallState state = CallState::taken;
        std::size_t class_index = 0;
        std::map<std::uint32_t, Attempt> attempts;  // by number
    };
    Call* find(RequestId id);
    bool over(const Call& call) const;
    bool could_run_twice(const Call& call, std::uint32_t attempt) const;
    std::optional<Violation> against_start(const Call& call) const;
    std::optional<Held> against_send(const Call& call, std::uint32_t attempt, const Facts& facts) const;
    void move(RequestId id, CallState to);
    void move(RequestId id, Call& call, CallState to);
    void count(Violation violation, RequestId id, const Call* call);

    const routing::Settings& settings_;
    std::map<RequestId, Call> calls_;
    std::array<std::uint64_t, kHeldReasons> held_{};
    std::array<std::uint64_t, kViolations> violations_{};
    std::string last_violation_;
};

}  // namespace silverrail::core
