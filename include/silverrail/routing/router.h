// The interface of the decision module: what the program tells its Router, and what the Router asks of it.
// The decisions are in src/routing/. Nothing here reads a clock, keeps a thread or does I/O.
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

// A clock that is never read: time comes in with each event.
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
enum class GroupId : std::uint64_t {};  // objects purged together
enum class CellId : std::int64_t {};    // caches that share which keys they have seen
enum class TimerId : std::uint64_t {};

struct ServerId {
    std::string address{};
    auto operator<=>(const ServerId&) const = default;
};

// ---- start-up settings -------------------------------------------------------------------------

enum class Idempotency { idempotent, keyed, none };
enum class KeyScope { all, zone, cell };           // which caches drop the repeats of a keyed request
enum class OutcomeDetail { off, hit, all };        // how much answers tell of how they came about
enum class ServerWeights { none, nominal, live };  // none: every cache counts the same

struct ClassSettings {
    std::string name{};
    Span latency_objective{};      // an answer within this earns its full worth
    double objective_stretch = 0;  // the aim grows by this multiple of the request's own work
    Span client_timeout{};         // a client waits for its answer at most so long
    double priority_weight = 1;
    double late_weight = 0;
    Idempotency idempotency = Idempotency::none;
    KeyScope key_scope = KeyScope::cell;
    Span window{};   // for keyed: how long repeats are remembered
    Span max_age{};  // 0: a copy is good until it is purged
    Span grace{};    // how far past max_age a copy may still be served
    double stale_weight = 0;
    bool segmented = false;
    bool uncached = false;
};

struct Settings {
    std::vector<ClassSettings> classes;
    std::string zone{};
    int routers = 1;  // in the whole tier
    int routers_in_zone = 1;
    std::string parent_kind;  // empty: no parents
    std::string origin_kind;
    ServerWeights server_weights = ServerWeights::none;
    double flow_kb_per_s = 0;       // top pace of one answer; 0: not told
    double zone_link_kb_per_s = 0;  // what the link for this zone's fills carries; 0: not told
    OutcomeDetail outcome_detail = OutcomeDetail::off;
    bool cancellation_supported = false;
    bool retry_after = false;
    bool direct = false;  // requests may go straight to a parent or the origin
    bool joins = false;   // caches let a request join a fill under way
    Span max_retry_after{};
    int max_attempts = 1;
    Span purge_effective_within{};  // a purge must be heeded by then
    Span purge_complete_within{};   // and all older copies are dropped by then
    double slow_start_share = 0;
    Span slow_start_duration{};
    double overload_multiple = 1;
    Span overload_window{};
    double parent_slow_start_share = 0;
    Span parent_slow_start_duration{};
    double parent_overload_multiple = 1;
};

// ---- events ------------------------------------------------------------------------------------

enum class Condition { ready, draining, gone };

struct ListedServer {
    ServerId id{};
    Condition condition = Condition::ready;
    double weight = 1;  // its link out, in answers at top pace
    CellId cell{};
    std::string zone{};
    std::string kind{};
    std::optional<Time> started_at{};  // absent: long ago
};
struct ServerList {
    bool complete = false;  // a cache that is absent from a complete list has left
    std::vector<ListedServer> caches{};
};
struct Request {
    RequestId id{};
    std::size_t class_index = 0;
    ObjectId object{};
    GroupId group{};
    std::uint32_t part = 0;
    double size_kb = 0;  // 0: not told
    Time deadline{};
    bool is_retry = false;
    bool redirected = false;  // the client goes to the cache itself, and may go on doing so for a while
};
struct ResponseStarted {  // a streamed answer has begun: the attempt now belongs to the client
    RequestId request{};
    std::uint32_t attempt = 0;
};
// unobserved: the client was sent to the cache itself, so nobody here saw how or whether it ended.
enum class AttemptStatus {
    success,
    error,
    overloaded,
    timeout,
    connect_failed,
    reset,
    cancelled,
    not_sent,
    miss,
    unobserved
};
enum class CacheStatus {
    none,
    hit,
    filled,
    filled_from_origin,
    coalesced,
    stale,
    source_rejected,
    source_unreachable,
    source_missing,
    no_fill_slot,
    origin_failed
};
struct LoadReport {  // what a report told; absent values were not in it
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
    Span source_wait{};
    LoadReport load{};
};
struct ClientClosed {
    RequestId request{};
};
struct Purge {
    std::optional<ObjectId> object{};  // absent: every object of the group
    GroupId group{};
    Span age{};
};
struct Timer {
    TimerId id{};
};
using Event = std::variant<ServerList, Request, ResponseStarted, Outcome, ClientClosed, Purge, Timer>;

// ---- actions -----------------------------------------------------------------------------------

enum class RetentionPriority { no_store = 0, lowest = 1, middle = 2, highest = 3 };

struct Fill {
    ServerId source{};  // the same cache as the target: nothing is filled
    RetentionPriority retention = RetentionPriority::no_store;
    Span oldest{};  // 0: the class's max_age
    bool join = false;
    bool revalidate = false;
    bool only_if_cached = false;  // the source gives only what it holds
};
struct Send {
    RequestId request{};
    ServerId target{};
    Span timeout{};              // 0: until the client gives up
    std::optional<Fill> fill{};  // absent: a plain look
    // A repeat of a keyed request: not a byte of it may go out at or after that, whatever it waited for.
    std::optional<Time> repeat_before{};
};
struct Cancel {
    RequestId request{};
    std::uint32_t attempt = 0;
};
struct Reject {  // tells the client that trying again is harmless
    RequestId request{};
    Span retry_after{};
};
struct Fail {  // promises nothing
    RequestId request{};
};
struct SetTimer {
    TimerId id{};
    Span after{};
};
using Action = std::variant<Send, Cancel, Reject, Fail, SetTimer>;

// One router's decisions: a deterministic state machine. `now` must not run backwards.
class Router {
public:
    Router(Settings settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    [[nodiscard]] std::vector<Action> on(const Event& event, Time now);

    // From now on so many processes count as this one router, and each keeps to its part of every budget.
    void share_with(int processes);

    // A listed cache that requests are kept away from now, or that gets trials only.
    [[nodiscard]] bool avoids(const ServerId& id) const;

    // What the design's tracker stands at, for a router's own metrics and for tests.
    struct Sizes {
        std::size_t hot_capacity;      // C
        std::size_t tracker_capacity;  // K
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
