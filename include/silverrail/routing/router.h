// The interface of the decision module: what a program tells its Router (settings and events), and what the
// Router asks of it (actions).
//
// A Router is a deterministic state machine: it reads no clock, keeps no thread and does no I/O. Time comes
// in with each event, randomness with the seed, so that the same events give the same actions. The
// implementation is in src/routing/; docs/design.md says what the decisions follow.
//
// Units: durations and times are those of `Span` and `Time`, sizes are kilobytes, rates kilobytes a second.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace silverrail::routing {

// A clock that is never read: it only gives `Time` a type of its own.
struct Clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true;
};
using Time = Clock::time_point;
using Span = Clock::duration;

enum class RequestId : std::uint64_t {};
enum class ObjectId : std::uint64_t {};
enum class GroupId : std::uint64_t {};  // of objects that are purged together
enum class CellId : std::int64_t {};    // of servers that share their idempotency keys
enum class TimerId : std::uint64_t {};

struct ServerId {
    std::string address{};
    auto operator<=>(const ServerId&) const = default;
};

// ---- Settings: given once, at the start --------------------------------------------------------

// May a request run more than once? keyed: repeats with the same idempotency key are recognised.
enum class Idempotency { idempotent, keyed, none };
// The servers that recognise each other's idempotency keys.
enum class KeyScope { all, zone, cell };
// How much answers tell of how they came about: nothing, hits, everything.
enum class OutcomeDetail { off, hit, all };
// The meaning of servers' weights. none: every server counts the same.
enum class ServerWeights { none, nominal, live };

struct ClassSettings {
    std::string name{};
    Span latency_objective{};  // an answer within this earns its full weight
    double objective_stretch =
        0;                       // multiple of the request's own sending time that is added to the objective
    Span client_timeout{};       // the longest that a client waits for its answer
    double priority_weight = 1;  // of an answer within the objective
    double late_weight = 0;      // of a later answer
    Idempotency idempotency = Idempotency::none;
    KeyScope key_scope = KeyScope::cell;
    Span window{};            // keyed: how long repeats are recognised
    Span max_age{};           // 0: a copy is fresh until it is purged
    Span grace{};             // how far past max_age a stale copy may be served
    double stale_weight = 0;  // of an answer with a stale copy
    bool segmented = false;   // objects are requested in segments
    bool uncached = false;    // requests run at the origin
};

struct Settings {
    std::vector<ClassSettings> classes;
    std::string zone{};  // of this router
    int routers = 1;     // in all zones together
    int routers_in_zone = 1;
    std::string parent_kind;  // empty: there are no parents
    std::string origin_kind;
    ServerWeights server_weights = ServerWeights::none;
    double flow_kb_per_s = 0;       // top rate of one answer; 0: not told
    double zone_link_kb_per_s = 0;  // of the link that this zone's fills use; 0: not told
    OutcomeDetail outcome_detail = OutcomeDetail::off;
    bool cancellation_supported = false;
    bool retry_after = false;  // rejected clients are told how long to wait
    bool direct = false;       // requests may be sent straight to a parent or the origin
    bool joins = false;        // servers coalesce a request with a fill that is under way
    Span max_retry_after{};
    int max_attempts = 1;
    Span purge_effective_within{};  // no purged copy is served later than this after the purge
    Span purge_complete_within{};   // and no server holds one later than this after that
    // Slow start: the share of its capacity that a server has at its start, how long it takes to reach all of
    // it, and the multiple of its capacity that overloads it when it is kept up for the window.
    double slow_start_share = 0;
    Span slow_start_duration{};
    double overload_multiple = 1;
    Span overload_window{};
    double parent_slow_start_share = 0;
    Span parent_slow_start_duration{};
    double parent_overload_multiple = 1;
};

// ---- Events: what the program tells ------------------------------------------------------------

enum class Condition { ready, draining, gone };

struct ListedServer {
    ServerId id{};
    Condition condition = Condition::ready;
    double weight = 1;  // capacity of its link, in answers at top rate
    CellId cell{};
    std::string zone{};
    std::string kind{};
    std::optional<Time> started_at{};  // absent: long ago
};

struct ServerList {
    bool complete = false;  // a server that is absent from a complete list has left
    std::vector<ListedServer> caches{};
};

struct Request {
    RequestId id{};
    std::size_t class_index = 0;
    ObjectId object{};
    GroupId group{};
    std::uint32_t part = 0;  // segment
    double size_kb = 0;      // 0: not told
    Time deadline{};
    bool is_retry = false;    // the client has sent it before
    bool redirected = false;  // the client goes to the server itself, and may do so again for a while
};

// The response has begun and is passed on as it comes: the attempt now belongs to the client.
struct ResponseStarted {
    RequestId request{};
    std::uint32_t attempt = 0;
};

enum class AttemptStatus {
    success,
    error,           // an answer that is no good
    overloaded,      // rejected by the server, unprocessed
    timeout,         // the attempt's own
    connect_failed,  // the connection was refused
    reset,           // the connection broke after the request was sent
    cancelled,
    not_sent,    // held back by the program
    miss,        // the server holds no copy and was not to fill it
    unobserved,  // the client was redirected: nobody here saw how or whether it ended
};

// How an answer came about, as the server tells.
enum class CacheStatus {
    none,  // not told
    hit,
    filled,
    filled_from_origin,
    coalesced,
    stale,
    source_rejected,
    source_unreachable,
    source_missing,
    no_fill_slot,
    origin_failed,
};

// A server's load report; absent values were not in it.
struct LoadReport {
    std::optional<double> in_flight;
    std::optional<double> utilisation;
    std::optional<double> hit_share;
    std::optional<double> link_fullness;
};

struct Outcome {
    RequestId request{};
    std::uint32_t attempt = 0;
    AttemptStatus attempt_status = AttemptStatus::error;
    Span duration{};
    bool request_completed = false;  // the client has its final answer
    CacheStatus cache_status = CacheStatus::none;
    Span source_wait{};  // time that the server waited for the source
    LoadReport load{};
};

struct ClientClosed {
    RequestId request{};
};

struct Purge {
    std::optional<ObjectId> object{};  // absent: every object of the group
    GroupId group{};
    Span age{};  // since it was issued
};

// A timer set with SetTimer is due.
struct Timer {
    TimerId id{};
};

using Event = std::variant<ServerList, Request, ResponseStarted, Outcome, ClientClosed, Purge, Timer>;

// ---- Actions: what the Router asks for ---------------------------------------------------------

// How long a server is to keep the copy that it fills.
enum class RetentionPriority { no_store = 0, lowest = 1, middle = 2, highest = 3 };

struct Fill {
    ServerId source{};  // the target itself: nothing is filled
    RetentionPriority retention = RetentionPriority::no_store;
    Span oldest{};                // greatest age of a copy that will do; 0: the class's max_age
    bool join = false;            // may be coalesced with a fill under way
    bool revalidate = false;      // a stale copy is to be revalidated
    bool only_if_cached = false;  // the source gives only what it holds
};

struct Send {
    RequestId request{};
    ServerId target{};
    Span timeout{};              // 0: none but the request's deadline
    std::optional<Fill> fill{};  // absent: the target's own copy, or a write
    // A retry of a keyed request: none of it may be sent at or after this.
    std::optional<Time> repeat_before{};
};

struct Cancel {
    RequestId request{};
    std::uint32_t attempt = 0;
};

// A final answer which promises that the request has had no effect: trying again is harmless.
struct Reject {
    RequestId request{};
    Span retry_after{};
};

// A final answer that promises nothing.
struct Fail {
    RequestId request{};
};

struct SetTimer {
    TimerId id{};
    Span after{};
};

using Action = std::variant<Send, Cancel, Reject, Fail, SetTimer>;

// The decisions of one router.
class Router {
public:
    Router(Settings settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    // Handles an event and returns the actions that it calls for, in order. `now` must not run backwards.
    // Events of unknown requests or attempts are ignored.
    [[nodiscard]] std::vector<Action> on(const Event& event, Time now);

    // From now on so many processes count as this one router, and each keeps to its share of every budget.
    void share_with(int processes);

    // Is the server listed as usable, but ejected or slow, so that it gets trial requests at most?
    [[nodiscard]] bool avoids(const ServerId& id) const;

    // Sizes of the router's state, for metrics and tests.
    struct Sizes {
        std::size_t hot_capacity;
        std::size_t tracker_capacity;
        std::size_t hot;
        std::size_t tracked;
        std::size_t open_requests;
        std::size_t remembered_purges;
    };
    [[nodiscard]] Sizes sizes() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace silverrail::routing
