// The interface of winchflow: what a gateway tells its Router, and what the Router asks of it.
// All decisions are in src/brain.cpp. Nothing here reads a clock, keeps a thread or does I/O.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace winchflow {

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

struct CacheId {
    std::string address{};
    auto operator<=>(const CacheId&) const = default;
};

// ---- start-up settings -------------------------------------------------------------------------

enum class Effect { pure, keyed, unsafe };
enum class Scope { all, zone, cell };        // which caches drop the repeats of a keyed request
enum class Detail { off, hit, all };         // how much answers tell of how they came about
enum class Weights { none, nominal, live };  // none: every cache counts the same

struct ClassSettings {
    std::string name{};
    Span aim{};              // an answer within this earns its full worth
    double aim_stretch = 0;  // the aim grows by this multiple of the request's own work
    Span give_up{};
    double worth = 1;
    double late_worth = 0;
    Effect effect = Effect::unsafe;
    Scope scope = Scope::cell;
    Span window{};   // for keyed: how long repeats are remembered
    Span max_age{};  // 0: a copy is good until it is purged
    Span grace{};    // how far past max_age a copy may still be served
    double stale_worth = 0;
    bool segmented = false;
    bool uncached = false;
};

struct Settings {
    std::vector<ClassSettings> classes;
    std::string zone{};
    int gateways = 1;  // in the whole tier
    int gateways_in_zone = 1;
    std::string parent_kind;  // empty: no parents
    std::string origin_kind;
    Weights weights = Weights::none;
    double flow_kb_per_s = 0;       // top pace of one answer; 0: not told
    double zone_link_kb_per_s = 0;  // what the link for this zone's fills carries; 0: not told
    Detail detail = Detail::off;
    bool may_cancel = false;
    bool retry_after = false;
    bool direct = false;  // requests may go straight to a parent or the origin
    bool joins = false;   // caches let a request join a fill under way
    Span max_retry_after{};
    int attempt_limit = 1;
    Span heed_within{};     // a purge must be heeded by then
    Span cleared_within{};  // and all older copies are dropped by then
    double cold_from = 0;
    Span cold_for{};
    double tip_multiple = 1;
    Span tip_window{};
    double parent_cold_from = 0;
    Span parent_cold_for{};
    double parent_tip_multiple = 1;
};

// ---- events ------------------------------------------------------------------------------------

enum class Condition { ready, draining, gone };

struct ListedCache {
    CacheId id{};
    Condition condition = Condition::ready;
    double weight = 1;  // its link out, in answers at top pace
    CellId cell{};
    std::string zone{};
    std::string kind{};
    std::optional<Time> up_since{};  // absent: long ago
};
struct CacheList {
    bool complete = false;  // a cache that is absent from a complete list has left
    std::vector<ListedCache> caches{};
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
    bool referred = false;  // the client goes to the cache itself, and may go on doing so for a while
};
struct Started {  // a streamed answer has begun: the attempt now belongs to the client
    RequestId request{};
    std::uint32_t attempt = 0;
};
// unseen: the client was sent to the cache itself, so nobody here saw how or whether it ended.
enum class Ending { good, error, full, late, no_connection, reset, cancelled, not_sent, miss, unseen };
enum class Note {
    none,
    hit,
    filled,
    filled_by_origin,
    joined,
    stale,
    source_refused,
    source_unreached,
    source_lacks,
    no_fill_place,
    origin_failed
};
struct Load {  // what a report told; absent values were not in it
    std::optional<double> in_flight;
    std::optional<double> utilisation;
    std::optional<double> hit_share;
    std::optional<double> link_fullness;
};
struct Outcome {
    RequestId request{};
    std::uint32_t attempt = 0;
    Ending ending = Ending::error;
    Span took{};
    bool over = false;  // the client has its final answer
    Note note = Note::none;
    Span source_wait{};
    Load load{};
};
struct Abandoned {
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
using Event = std::variant<CacheList, Request, Started, Outcome, Abandoned, Purge, Timer>;

// ---- actions -----------------------------------------------------------------------------------

enum class Rank { unkept = 0, lowest = 1, middle = 2, highest = 3 };

struct Fill {
    CacheId source{};  // the same cache as the target: nothing is filled
    Rank rank = Rank::unkept;
    Span oldest{};  // 0: the class's max_age
    bool join = false;
    bool renew = false;
    bool held_only = false;  // the source gives only what it holds
};
struct Send {
    RequestId request{};
    CacheId target{};
    Span timeout{};              // 0: until the client gives up
    std::optional<Fill> fill{};  // absent: a plain look
    // A repeat of a keyed request: not a byte of it may go out at or after that, whatever it waited for.
    std::optional<Time> repeat_before{};
};
struct Cancel {
    RequestId request{};
    std::uint32_t attempt = 0;
};
struct Refuse {  // tells the client that trying again is harmless
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
using Action = std::variant<Send, Cancel, Refuse, Fail, SetTimer>;

// One gateway's decisions: a deterministic state machine. `now` must not run backwards.
class Router {
public:
    Router(Settings settings, std::uint64_t seed);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    [[nodiscard]] std::vector<Action> on(const Event& event, Time now);

    // From now on so many processes count as this one gateway, and each keeps to its part of every budget.
    void share_with(int processes);

    // A listed cache that requests are kept away from now, or that gets trials only.
    [[nodiscard]] bool avoids(const CacheId& id) const;

    // What the design's tracker stands at, for a gateway's own metrics and for tests.
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
    class Brain;
    std::unique_ptr<Brain> brain_;
};

}  // namespace winchflow
