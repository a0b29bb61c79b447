// The interface of the decision module: what a program passes to its Router (settings and events), and
// what the Router asks of it (actions).
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
// Which cache statuses servers report with their responses: none, hits only, all.
enum class OutcomeDetail { off, hit, all };
// The meaning of servers' weights. none: every server counts the same.
enum class ServerWeights { none, nominal, live };

struct ClassSettings {
    std::string name{};
    Span latency_objective{};  // an answer within this earns its full weight
    // Multiple of the time that sending the response takes at the top rate; it is added to the objective.
    double objective_transfer_factor = 0;
    Span client_timeout{};       // the longest that a client waits for its answer
    double priority_weight = 1;  // of an answer within the objective
    double late_weight = 0;      // of a later answer
    Idempotency idempotency = Idempotency::none;
    KeyScope key_scope = KeyScope::cell;
    Span retry_window{};      // keyed: servers recognise a retry for this long after the first attempt
    Span max_age{};           // 0: a copy is fresh until it is purged
    Span stale_grace{};       // how far past max_age a stale copy may be served
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
    double max_response_kb_per_s = 0;  // top rate of one response; 0: unknown
    double zone_link_kb_per_s = 0;     // of the link that this zone's fills use; 0: unknown
    OutcomeDetail outcome_detail = OutcomeDetail::off;
    bool cancellation_supported = false;
    bool retry_after_supported = false;   // a rejection may carry a delay before the client's next attempt
    bool cache_bypass_supported = false;  // requests may be sent straight to a parent or the origin
    bool coalescing_supported = false;    // servers coalesce a request with a fill that is under way
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

// ---- Events: what the program reports ----------------------------------------------------------

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
    std::vector<ListedServer> servers{};
};

struct Request {
    RequestId id{};
    std::size_t class_index = 0;
    ObjectId object{};
    GroupId group{};
    std::uint32_t segment = 0;  // of the object, counted from 0
    double size_kb = 0;         // 0: unknown
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
    error,           // an error response, or one that is malformed
    overloaded,      // rejected by the server, unprocessed
    timeout,         // the attempt's own timeout, before the request's deadline
    connect_failed,  // the connection was refused
    reset,           // the connection broke after the request was sent
    cancelled,
    not_sent,    // suppressed by the program before the first byte
    miss,        // the server has no copy and was asked not to fill one
    unobserved,  // the client was redirected: this router does not see how or whether it ended
};

// Where a response came from, or why there was none, as the server reports it.
enum class CacheStatus {
    none,  // not reported
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

// A server's load report; an absent value was not in it.
struct LoadReport {
    std::optional<double> in_flight;    // requests
    std::optional<double> utilisation;  // of its cores, 0 to 1
    std::optional<double> hit_ratio;    // lately
    // How full its zone's link is, 1: full; of a parent, the fetches that it has in flight.
    std::optional<double> link_utilisation;
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

// How long a server should retain the copy that it fills, compared to others.
enum class RetentionPriority { no_store = 0, lowest = 1, middle = 2, highest = 3 };

struct Fill {
    ServerId source{};  // the server to fetch from; the target itself: no fill
    RetentionPriority retention = RetentionPriority::no_store;
    Span max_age{};               // greatest acceptable age of a copy; 0: the class's max_age
    bool coalesce = false;        // may be coalesced with a fill under way
    bool revalidate = false;      // a stale copy is to be revalidated
    bool only_if_cached = false;  // the source answers from its cache or not at all
};

struct Send {
    RequestId request{};
    ServerId target{};
    Span timeout{};              // 0: none but the request's deadline
    std::optional<Fill> fill{};  // absent: the target's own copy, or a write
    // A retry of a keyed request: no byte of it may be sent at or after this time.
    std::optional<Time> retry_window_end{};
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

    // So many processes, this one among them, now act as one router; each uses its share of every budget.
    void set_process_count(int processes);

    // Is the server listed as usable, but ejected or slow, so that it gets trial requests at most?
    [[nodiscard]] bool is_outlier(const ServerId& id) const;

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
