// What clients, servers and discovery saw of the routers in one run, on one steady clock, and which rules
// that breaks. Nothing of the routers' own word goes in but the violations that they counted themselves.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lab/stand_in_support.h"

namespace silverrail::lab::soak {

using Clock = std::chrono::steady_clock;
using Moment = Clock::time_point;
using Millis = std::chrono::milliseconds;
using namespace std::chrono_literals;

// The figures of the settings that the routers are given and that the rules go by.
namespace terms {
constexpr Millis kMaxAge = 3'000ms;      // of a copy of class pages
constexpr Millis kStaleGrace = 4'000ms;  // how far past that it may still be served
constexpr Millis kPurgeEffectiveWithin = 500ms;
constexpr Millis kPurgeCompleteWithin = 6'000ms;
constexpr Millis kDrainGrace = 500ms;
constexpr Millis kRetryWindow = 900ms;  // of a keyed request's repeats
constexpr Millis kLongestDeadline = 2'000ms;
constexpr Millis kSlowStartDuration = 6'000ms;
constexpr Millis kOverloadWindow = 1'500ms;
constexpr double kSlowStartShare = 0.26;
constexpr double kOverloadMultiple = 2;
constexpr double kWeight = 10;
constexpr double kRequestKb = 25;
constexpr double kMaxResponseKbPerS = 250;
}  // namespace terms

enum class Rule : std::uint8_t {
    answered,      // one final answer, whole, by its time and half a second more
    right_bytes,   // of the object that was asked for, and nothing behind them
    not_repeated,  // an unsafe request runs once, a keyed one again only within its window
    not_refused,   // what may not be repeated and has run is not refused
    left_alone,    // nothing begins more than 0.1 s after its client has left
    deadline,      // a server is told no more time than the client has left
    drained,       // nothing new to a server that was said to drain
    purged,        // no copy from before a purge that was delivered
    fresh,         // no copy older than its class allows
    cold_start,    // no more to a server that has just started than it bears
    alive,         // no process ends by itself, and each is ready in time
    own_guard,     // none that a router has counted itself
    count_
};
constexpr std::size_t kRules = static_cast<std::size_t>(Rule::count_);
std::string_view name_of(Rule rule);

enum class Idempotency : std::uint8_t { idempotent, none, keyed };

// One request as its client knows it.
struct Request {
    std::size_t router = 0;
    Idempotency effect = Idempotency::idempotent;
    std::string path;  // CLASS/OBJECT/PART
    std::size_t group = 0;
    Millis wait{};
    Moment written{};                     // its last byte
    std::optional<Moment> answer_from{};  // behind another on its connection: when that was answered
    std::optional<Moment> left{};         // its client has gone
    std::optional<Moment> first_run{};    // when the first byte of the first attempt that ran was received
    std::optional<int> status{};
    int runs = 0;

    Moment answer_due() const {
        return std::max(written + wait, answer_from.value_or(written));
    }
};

struct Violation {
    Rule rule{};
    Moment at{};
    std::string what;
};

class Oracle {
public:
    explicit Oracle(std::size_t routers, std::size_t servers);

    // This program itself was late by so much: times seen since are not exact. Called every few milliseconds.
    void late_by(Millis lag) {
        lag_ = std::max(lag, lag_ - 1ms);
        lag_measured_ = Clock::now();
    }
    // How far a time seen here may be off. After a pause of this program, what came meanwhile may be read
    // before the lag is measured again: the time since the last measurement bounds it.
    Millis slack() const {
        const auto unmeasured = std::chrono::duration_cast<Millis>(Clock::now() - lag_measured_);
        return 30ms + std::max(lag_, unmeasured);
    }

    // Clients.
    void written(const std::string& id, Request request);
    void left(const std::string& id);
    void answered(const std::string& id, int status, std::string_view body);
    void lost(const std::string& id, const std::string& why);
    // Nothing is owed for it: it never came whole, or its process was killed.
    void not_owed(const std::string&) {
        ++outcomes_["not owed"];
    }
    Request* find(const std::string& id);

    // Servers.
    void attempt(std::size_t router, std::size_t server, const std::string& id, Moment first_byte,
                 Millis call_ms);
    // It was named as the one that a miss is filled from.
    void named_source(std::size_t router, std::size_t source, const std::string& id, Moment first_byte);
    // A server executed the attempt whose first byte it had received then.
    void ran(const std::string& id, Moment first_byte);
    void server_started(std::size_t server) {
        cold_starts_[server] = ColdStart{Clock::now(), {}, {}};
    }

    // Discovery, to one router; it counts from when the router was awake to read it.
    void on_drain_delivered(std::size_t router, std::size_t server);
    void on_active_delivered(std::size_t router, std::size_t server);
    void on_start_delivered(std::size_t router, std::size_t server);
    struct Purge {
        std::size_t group = 0;
        std::int64_t issued_ms = 0;
        std::map<std::size_t, Moment> delivered{};  // by router
    };
    void purged(Purge purge) {
        purges_.push_back(std::move(purge));
    }
    std::vector<Purge>& purges() {
        return purges_;
    }
    // A new process of the router knows nothing but its configuration.
    void forget_router(std::size_t router);

    void violation(Rule rule, std::string what);
    const std::vector<Violation>& violations() const {
        return violations_;
    }
    std::size_t requests() const {
        return requests_.size();
    }
    std::map<std::string, std::size_t> outcomes() const {
        return outcomes_;
    }

private:
    struct ColdStart {
        Moment started{};
        std::deque<Moment> attempts{};  // of informed routers
        std::set<std::size_t> informed_routers{};
    };
    void check_drained(std::size_t router, std::size_t server, const std::string& id, Moment first_byte);
    void check_cold(std::size_t router, std::size_t server, Moment at);
    void check_copy(const std::string& id, const Request& request, std::string_view body);

    Millis lag_{};
    Moment lag_measured_ = Clock::now();
    std::unordered_map<std::string, Request> requests_;
    std::vector<std::map<std::size_t, Moment>> drains_;  // by router: server, when the drain was delivered
    std::vector<std::optional<ColdStart>> cold_starts_;
    std::vector<Purge> purges_;
    std::vector<Violation> violations_;
    std::map<std::string, std::size_t> outcomes_;
};

// The bytes that a server gives for a path: when the copy was made is written in them.
std::string body_of(const std::string& path, std::int64_t made_ms);

}  // namespace silverrail::lab::soak
