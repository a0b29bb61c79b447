// The guard: every request's life as named states, and the one place that allows an attempt to start, its
// first byte to be written, and an answer to be given. It keeps its own record of which attempts are in
// flight and which may have run, apart from the decision module's, so that a decision that would break a rule
// is suppressed and counted here. No clock, no I/O.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"

namespace silverrail::core {

enum class RequestState : std::uint8_t {
    received,          // nothing has been decided
    between_attempts,  // no attempt is in flight, one was
    connecting,        // an attempt waits for its connection
    sent,              // an attempt's first byte is written
    answered,          // the client has its one answer
    client_closed,     // no answer is due any more
    count_
};
std::string_view name_of(RequestState state);
bool may_follow(RequestState from, RequestState to);

// Why an attempt's first byte is suppressed. All but the last two occur in normal operation, as a connection
// may take long to establish.
enum class SuppressionReason : std::uint8_t {
    client_closed,
    answered,
    past_deadline,    // the attempt's or the client's
    past_key_window,  // servers no longer recognise a retry by its idempotency key
    target_drained,
    source_drained,
    may_run_twice,  // the class is not idempotent, and an earlier attempt may have run
    another_in_flight,
    count_
};
constexpr std::size_t kSuppressionReasons = static_cast<std::size_t>(SuppressionReason::count_);
std::string_view name_of(SuppressionReason reason);

// Decisions that would have broken a rule; none is ever right.
enum class Violation : std::uint8_t {
    start_after_end,     // an attempt for a request that is answered or whose client has closed
    concurrent_start,    // an attempt while another is in flight
    start_past_limit,    // more attempts than the settings allow
    unsafe_repeat,       // an attempt that could run a second time
    invalid_transition,  // a state that may not follow
    unknown_request,     // an event of a request that is not open
    count_
};
constexpr std::size_t kViolations = static_cast<std::size_t>(Violation::count_);
std::string_view name_of(Violation violation);

class Guard {
public:
    // `settings` must outlive the guard.
    explicit Guard(const routing::Settings& settings) : settings_(settings) {}

    void received(RequestId id, std::size_t class_index);
    // Whether a further attempt may start. If so it is recorded, else the violation is counted.
    [[nodiscard]] bool start_attempt(const AttemptKey& key);
    struct FirstByteFacts {
        Time now{};
        Time deadline{};  // the attempt's
        std::optional<Time> retry_window_end{};
        bool client_closed = false;
        bool target_usable = true;
        bool source_usable = true;
    };
    // Why the attempt's first byte must not be written. Absent: it may, and the attempt is recorded as sent.
    [[nodiscard]] std::optional<SuppressionReason> check_first_byte(const AttemptKey& key,
                                                                    const FirstByteFacts& facts);
    void attempt_ended(const AttemptKey& key, AttemptStatus attempt_status);
    void answered(RequestId id) {
        move(id, RequestState::answered);
    }
    void client_closed(RequestId id) {
        move(id, RequestState::client_closed);
    }
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
    // The last one as text for the log: rule, request, state and attempts. Empty: there was none.
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
    static bool is_over(const Request& request);
    bool could_run_twice(const Request& request, std::optional<std::uint32_t> attempt) const;
    std::optional<Violation> violation_of_start(const Request& request) const;
    std::optional<SuppressionReason> reason_to_suppress(const Request& request, std::uint32_t attempt,
                                                        const FirstByteFacts& facts) const;
    void move(RequestId id, RequestState to);
    void move(RequestId id, Request& request, RequestState to);
    void count(Violation violation, RequestId id, const Request* request);

    const routing::Settings& settings_;
    std::map<RequestId, Request> requests_;
    std::array<std::uint64_t, kSuppressionReasons> suppressed_{};
    std::array<std::uint64_t, kViolations> violations_{};
    std::string last_violation_;
};

}  // namespace silverrail::core
