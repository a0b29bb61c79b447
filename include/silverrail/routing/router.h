// The public interface of the decision module. A program gives its Router the settings and then events;
// the Router returns the actions that the program is to carry out.
//
// A Router is a deterministic state machine: it reads no clock, starts no threads and does no I/O. The
// current time is passed in with each event and the random seed at construction, so the same events always
// give the same actions. The implementation is in src/routing/; docs/design.md describes the algorithms.
//
// Units: durations are `Span`, points in time are `Time`, sizes are in kilobytes, rates in kilobytes per
// second.
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

// Never read: makes `Time` a type distinct from the time points of other clocks.
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
enum class GroupId : std::uint64_t {};  // objects that are purged together
enum class CellId : std::int64_t {};    // servers that share idempotency keys
enum class TimerId : std::uint64_t {};

struct ServerId {
    std::string address{};
    auto operator<=>(const ServerId&) const = default;
};

// ---- Settings: passed to the constructor -------------------------------------------------------

// Whether a request may run more than once. keyed: servers recognise a repeat by its idempotency key.
enum class Idempotency { idempotent, keyed, none };
// Which servers recognise each other's idempotency keys.
enum class KeyScope { all, zone, cell };
// Which cache statuses servers report in their responses: none, hits only or all.
enum class OutcomeDetail { off, hit, all };
// How server weights are interpreted. none: all servers have the same weight.
enum class ServerWeights { none, nominal, live };

struct ClassSettings {
    std::string name{};
    Span latency_objective{};  // a response within this time earns the full priority weight
    // The objective is extended by this multiple of the response's transfer time at the maximum rate.
    double objective_transfer_factor = 0;
    Span client_timeout{};       // how long a client waits for its response
    double priority_weight = 1;  // of a response within the objective
    double late_weight = 0;      // of a later response
    Idempotency idempotency = Idempotency::none;
    KeyScope key_scope = KeyScope::cell;
    Span retry_window{};      // keyed: servers recognise a retry for this long after the first attempt
    Span max_age{};           // 0: a copy stays fresh until it is purged
    Span stale_grace{};       // how long after max_age a stale copy may be served
    double stale_weight = 0;  // of a response from a stale copy
    bool segmented = false;   // objects are requested segment by segment
    bool uncached = false;    // responses are not cached; requests run at the origin
};

struct Settings {
    std::vector<ClassSettings> classes;
    std::string zone{};  // of this router
    int routers = 1;     // in all zones
    int routers_in_zone = 1;
    std::string parent_kind;  // empty: there are no parents
    std::string origin_kind;
    ServerWeights server_weights = ServerWeights::none;
    double max_response_kb_per_s = 0;  // maximum rate of one response; 0: unknown
    double zone_link_kb_per_s = 0;     // capacity of the link that carries this zone's fills; 0: unknown
    OutcomeDetail outcome_detail = OutcomeDetail::off;
    bool cancellation_supported = false;
    bool retry_after_supported = false;   // a rejection may tell the client when to try again
    bool cache_bypass_supported = false;  // requests may be sent directly to a parent or the origin
    bool coalescing_supported = false;    // servers can coalesce a request with a fill in progress
    Span max_retry_after{};
    int max_attempts = 1;
    Span purge_effective_within{};  // no purged copy is served after this delay from the purge
    Span purge_complete_within{};   // and no server holds one after this further delay
    // Slow start: the share of its capacity that a server has when it starts, the time it takes to reach full
    // capacity, and the multiple of its current capacity that overloads it if sustained for the window.
    double slow_start_share = 0;
    Span slow_start_duration{};
    double overload_multiple = 1;
    Span overload_window{};
    double parent_slow_start_share = 0;
    Span parent_slow_start_duration{};
    double parent_overload_multiple = 1;
};

// ---- Events: reported by the program -----------------------------------------------------------

enum class Condition { ready, draining, gone };

struct ListedServer {
    ServerId id{};
    Condition condition = Condition::ready;
    double weight = 1;  // capacity of its link, in concurrent responses at the maximum rate
    CellId cell{};
    std::string zone{};
    std::string kind{};
    std::optional<Time> started_at{};  // absent: not recently
};

struct ServerList {
    bool complete = false;  // a server absent from a complete list is gone
    std::vector<ListedServer> servers{};
};

struct Request {
    RequestId id{};
    std::size_t class_index = 0;
    ObjectId object{};
    GroupId group{};
    std::uint32_t segment = 0;  // zero-based index within the object
    double size_kb = 0;         // 0: unknown
    Time deadline{};
    bool is_retry = false;    // the client marked it as a retry
    bool redirected = false;  // the client is sent to the server and may reuse it for later requests
};

// The response is being streamed to the client, so the attempt can no longer be retried elsewhere.
struct ResponseStarted {
    RequestId request{};
    std::uint32_t attempt = 0;
};

enum class AttemptStatus {
    success,
    error,           // an error response or a malformed one
    overloaded,      // rejected by the server without processing
    timeout,         // the attempt's own timeout expired before the request's deadline
    connect_failed,  // the connection was refused
    reset,           // the connection was lost after the request was sent
    cancelled,
    not_sent,    // suppressed by the program before the first byte was sent
    miss,        // the server has no copy and was told not to fill
    unobserved,  // the client was redirected, so this router does not see the result
};

// Where a response came from, or why there was none, as reported by the server.
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

// A server's load report. Values that the server did not report are absent.
struct LoadReport {
    std::optional<double> in_flight;    // requests
    std::optional<double> utilisation;  // of its CPU cores, 0 to 1
    std::optional<double> hit_ratio;    // recent
    // Edge cache: utilisation of its zone's link, where 1 is full. Parent: its number of fetches in flight.
    std::optional<double> link_utilisation;
};

struct Outcome {
    RequestId request{};
    std::uint32_t attempt = 0;
    AttemptStatus attempt_status = AttemptStatus::error;
    Span duration{};
    bool request_completed = false;  // the client has received its final response
    CacheStatus cache_status = CacheStatus::none;
    Span source_wait{};  // time the server spent waiting for the source
    LoadReport load{};
};

struct ClientClosed {
    RequestId request{};
};

struct Purge {
    std::optional<ObjectId> object{};  // absent: all objects of the group
    GroupId group{};
    Span age{};  // time since the purge was issued
};

// A timer set with SetTimer has expired.
struct Timer {
    TimerId id{};
};

using Event = std::variant<ServerList, Request, ResponseStarted, Outcome, ClientClosed, Purge, Timer>;

// ---- Actions: requested by the Router ----------------------------------------------------------

// Priority with which a server should retain the copy that it fills.
enum class RetentionPriority { no_store = 0, lowest = 1, middle = 2, highest = 3 };

struct Fill {
    ServerId source{};  // server to fetch from; the target itself if it must not fill
    RetentionPriority retention = RetentionPriority::no_store;
    Span max_age{};               // maximum acceptable age of a copy; 0: the class's max_age
    bool coalesce = false;        // may be coalesced with a fill in progress
    bool revalidate = false;      // revalidate a stale copy
    bool only_if_cached = false;  // the source must respond from its cache or report a miss
};

struct Send {
    RequestId request{};
    ServerId target{};
    Span timeout{};              // 0: only the request's deadline applies
    std::optional<Fill> fill{};  // absent: the target serves its own copy or runs a write
    // Set on retries of keyed requests: nothing may be sent at or after this time.
    std::optional<Time> retry_window_end{};
};

struct Cancel {
    RequestId request{};
    std::uint32_t attempt = 0;
};

// A final response which guarantees that retrying is safe: the request had no effect, or a repeat has none.
struct Reject {
    RequestId request{};
    Span retry_after{};
};

// A final response without such a guarantee: the request may have had an effect.
struct Fail {
    RequestId request{};
};

struct SetTimer {
    TimerId id{};
    Span after{};
};

using Action = std::variant<Send, Cancel, Reject, Fail, SetTimer>;

// Makes the routing decisions of one router.
class Router {
public:
    Router(Settings settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    // Handles an event and returns the resulting actions in order. `now` must never decrease. Events for
    // unknown requests or attempts are ignored.
    [[nodiscard]] std::vector<Action> on(const Event& event, Time now);

    // Sets how many processes, including this one, act as one router. Each uses its share of the limits.
    void set_process_count(int processes);

    // True if discovery lists the server as usable but it is ejected or slow and gets only trial requests.
    [[nodiscard]] bool is_outlier(const ServerId& id) const;

    // Sizes of the router's internal state, for metrics and tests.
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
