// The state machine of each request, and the only place that permits an attempt to start, its first byte to
// be written, and a response to be sent. Tracks which attempts are in flight and which may have run
// independently of the decision module, so that a decision that would break a rule is suppressed and counted.
// Reads no clock and does no I/O.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"

namespace silverrail::core {

enum class RequestState : std::uint8_t {
    received,          // no attempt yet
    between_attempts,  // no attempt is in flight, but there was one
    connecting,        // an attempt is waiting for its connection
    sent,              // an attempt's first byte has been written
    answered,          // the final response has been sent
    client_closed,     // no response is due any more
    count_
};
std::string_view name_of(RequestState state);
bool may_follow(RequestState from, RequestState to);

// Why an attempt's first byte is suppressed. All but the last two occur in normal operation, because
// conditions may change while a connection is being established.
enum class SuppressionReason : std::uint8_t {
    client_closed,
    answered,
    past_deadline,    // the attempt's or the client's
    past_key_window,  // retry window over: servers may no longer know the idempotency key
    target_drained,
    source_drained,
    may_run_twice,  // the class is not idempotent, and an earlier attempt may have run
    another_in_flight,
    count_
};
constexpr std::size_t kSuppressionReasons = static_cast<std::size_t>(SuppressionReason::count_);
std::string_view name_of(SuppressionReason reason);

// Decisions that would have broken a rule. Each one is a bug.
enum class Violation : std::uint8_t {
    start_after_end,     // an attempt for a request that is answered or whose client has closed
    concurrent_start,    // an attempt while another is in flight
    start_past_limit,    // more attempts than the settings allow
    unsafe_repeat,       // an attempt that could run a second time
    invalid_transition,  // a transition that the state machine does not permit
    unknown_request,     // an event for a request that is not open
    count_
};
constexpr std::size_t kViolations = static_cast<std::size_t>(Violation::count_);
std::string_view name_of(Violation violation);

class Guard {
public:
    // `settings` must outlive the guard.
    explicit Guard(const routing::Settings& settings) : settings_(settings) {}

    void received(RequestId id, std::size_t class_index);
    // Whether an attempt may start. If so it is registered, else the violation is counted.
    [[nodiscard]] bool start_attempt(const AttemptKey& key);
    struct FirstByteConditions {
        Time now{};
        Time deadline{};  // the attempt's
        std::optional<Time> retry_window_end{};
        bool client_closed = false;
        bool target_usable = true;
        bool source_usable = true;
        // Asked last: whether the request, as identified by its client, has not run before and is recorded
        // as run from now on. Null: need not be asked.
        std::function<bool()> record_run{};
    };
    // Why the attempt's first byte must not be written. Absent: it may be, and the attempt is marked as sent.
    [[nodiscard]] std::optional<SuppressionReason> check_first_byte(const AttemptKey& key,
                                                                    const FirstByteConditions& conditions);
    void attempt_ended(const AttemptKey& key, AttemptStatus attempt_status);
    void answered(RequestId id) {
        transition(id, RequestState::answered);
    }
    void client_closed(RequestId id) {
        transition(id, RequestState::client_closed);
    }
    // Whether any attempt may have run.
    bool may_have_run(RequestId id) const;
    void forget(RequestId id) {
        requests_.erase(id);
    }
    // Absent: not open.
    std::optional<RequestState> state(RequestId id) const;

    std::uint64_t suppressed(SuppressionReason reason) const {
        return suppressed_[static_cast<std::size_t>(reason)];
    }
    std::uint64_t violations(Violation violation) const {
        return violations_[static_cast<std::size_t>(violation)];
    }
    std::uint64_t violations() const;
    // The last violation, for the log: rule, request, state and number of attempts. Empty: none so far.
    const std::string& last_violation() const {
        return last_violation_;
    }

private:
    struct Attempt {
        bool in_flight = true;
        bool sent = false;
        bool may_have_run = false;
    };
    using Attempts = std::map<std::uint32_t, Attempt>;  // by number
    struct Request {
        RequestState state = RequestState::received;
        std::size_t class_index = 0;
        Attempts attempts;
    };
    Request* find(RequestId id);
    static bool is_finished(const Request& request);
    bool could_run_twice(const Request& request, std::optional<std::uint32_t> attempt) const;
    std::optional<Violation> start_violation(const Request& request) const;
    std::optional<SuppressionReason> suppression_reason(const Request& request, std::uint32_t attempt,
                                                        const FirstByteConditions& conditions) const;
    void transition(RequestId id, RequestState to);
    void transition(RequestId id, Request& request, RequestState to);
    void count(Violation violation, RequestId id, const Request* request);

    const routing::Settings& settings_;
    std::map<RequestId, Request> requests_;
    std::array<std::uint64_t, kSuppressionReasons> suppressed_{};
    std::array<std::uint64_t, kViolations> violations_{};
    std::string last_violation_;
};

}  // namespace silverrail::core
