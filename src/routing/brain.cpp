// The decisions behind silverrail::routing::Router. Types, events and actions:
// include/silverrail/routing/router.h. In reading order: tuned values, tracker and resizing, fleet and
// health, rule guards, fill path, request life. The design followed is "Cache on Track" (CoT); docs/design.md
// says what was changed.

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include "silverrail/routing/router.h"

namespace silverrail::routing {
namespace {

using namespace std::chrono_literals;

// ---- tuned values ------------------------------------------------------------------------------

// Tracker: large against what a router sees between two requests for a warm object, so that a scan of
// one-off objects does not wash it; C starts small, as the design wants, and the cap bounds memory.
constexpr std::size_t kTrackerStart = 2048;
constexpr std::size_t kTrackerCap = 16384;
constexpr std::size_t kHotStart = 64;
// An epoch needs enough fills for I_c to mean something: at tens of requests a second ten seconds do.
constexpr Span kEpochBound = 10s;
// Some hundred fills over a few parents differ by half from chance alone; below that, growing is noise.
constexpr double kTargetImbalance = 1.5;
constexpr double kEpsilon = 0.2;  // the same chance, seen in the alphas

// A link shared by more than 1.5 answers per slot makes a neighbour's miss cheaper than the wait; past 2.5
// answers come after their aim (twice the own sending time), so one more only makes all late.
constexpr double kCrowded = 1.5;
constexpr double kFull = 2.5;
constexpr double kChance = 2;      // deviations: a share of few answers or fills is often passed by chance
constexpr double kCacheLeast = 1;  // late hits lower the room at caches down to one request at a time
constexpr double kLeastRoom = 2;   // at a parent: a tiny share must still let a request through
// Silence: a router with little traffic hears so seldom from each cache that a large or crowded answer looks
// like silence, and a fill cancelled leaves no copy; at three aims hardly any live one is still out.
constexpr double kFirstLook = 3.0;
constexpr double kNextLook = 0.25;
// Hung: a cache that goes on answering may leave single requests without one. Its answers and the source's
// say what is usual; three times that, past most of the aim, is not waited for. A fill may be slow by itself:
// it takes longer, and fills that come in time otherwise.
constexpr double kHungLook = 0.7;
constexpr double kHungFill = 1.2;
constexpr double kHungPace = 3;
constexpr double kHungTrust = 0.9;
constexpr int kSilentZone = 2;
// Outlier ejection: failures in a row with none served between; the span doubles up to the longest.
constexpr int kEjectAfter = 4;
// A refused connection or silence weighs double: two are enough. Answers spoilt or cut off come from all
// alike.
constexpr int kNoAnswer = 2;
constexpr Span kEjectFirst = 1s;
constexpr Span kEjectLongest = 8s;
constexpr double kEjectSpread = 0.25;
// Retry budget: a fifth of the load is what a fleet at its usual fill can bear on top; the burst covers
// the requests that one cache holds when it dies.
constexpr double kRetryShare = 0.2;
constexpr double kRetryBurst = 20;
// Cold budgets: 0.6 of the share as a rate and 0.25 of it as a burst leave 15% for chance in every window.
constexpr double kColdRate = 0.6;
constexpr double kColdBurst = 0.25;
// Reads at the origin while parents fail: all routers together three zone links' worth, since an
// origin behind parents is built for little more than what the parents lack; decreased on failures.
constexpr double kOriginShare = 3;
constexpr double kOriginZones = 0.75;  // and of so large a part of many zones
constexpr double kOriginLeast = 1;
// Fills: a link that carries N answers at top pace stays useful to all its fills up to about that many; past
// it every fill is late, is dropped with its client and leaves no copy, and the hit share falls for good.
// Where the link is not told it is taken as half of what the zone's caches can send, then learned.
constexpr double kFillRoom = 1.2;
// A small fill is over soon and its bytes are worth more: it may use the rest of what the aims allow for.
constexpr double kFillRoomSmall = 2;
constexpr double kFillShareUntold = 0.5;
constexpr double kTrustBackoff = 0.8;
constexpr double kTrustRegain = 0.05;  // against the step down, a fifth of all fills may be late
constexpr double kHitRegain = 0.01;    // a twentieth of hits: they are late only by the cache's own link
constexpr double kTrustLeast = 0.2;    // lower, and what was learned in a trouble outlives it
constexpr double kFillLeast = 1;
constexpr double kOverdue = 1.5;  // out for longer than this multiple of its sending time: taken as a fill
// Slow: hubs further off differ by less than twice; a mean over some three answers, one in five seconds.
constexpr double kSlow = 2;
constexpr double kBusy = 0.5;  // of the aim: a source that takes longer has no room for others' fills
constexpr double kLearnPace = 0.3;
constexpr double kPrior = 5;          // hits that the first guess of a sending time counts for
constexpr double kLearnSlow = 0.005;  // so a trouble of some hundred hits hardly moves what was learned
constexpr double kLearn = 0.05;       // weight of one new sample in running means
constexpr Span kPurgeMargin = 500ms;  // copies under way while their purge ran out
constexpr Span kWindowMargin = 20ms;  // travel time at the end of a keyed window
constexpr Span kLeastUseful = 20ms;   // less time than this is no chance for a further attempt

double seconds(Span s) {
    return std::chrono::duration<double>(s).count();
}
Span span_of(double s) {
    return std::chrono::duration_cast<Span>(std::chrono::duration<double>(s));
}

// ---- tracker and resizing ----------------------------------------------------------------------

// CoT's space-saving tracker of K objects. The C hottest of them are `hot_`; h_min is its coldest.
// Order is by hotness, then by the older entry, then by id: never by where a hash table puts it.
class Tracker {
public:
    enum class Standing { newcomer, tracked, hot };

    // A read: counts, enters the tracker if need be, and tells how the copy is to be kept.
    Standing read(ObjectId object) {
        ++epoch_requests_;
        auto found = entries_.find(object);
        if (found == entries_.end()) {
            enter(object);
            return Standing::newcomer;
        }
        const bool hot = is_hot(found->second);
        ++(hot ? hot_requests_ : tracked_requests_);
        change(found->second, +1);
        return is_hot(found->second) ? Standing::hot : Standing::tracked;
    }

    // An update (ours: a purge) takes hotness away.
    void update(ObjectId object) {
        if (auto found = entries_.find(object); found != entries_.end())
            change(found->second, -1);
    }

    // How an object stands, without counting: client retries and further attempts.
    Standing standing(ObjectId object) const {
        auto found = entries_.find(object);
        if (found == entries_.end())
            return Standing::newcomer;
        return is_hot(found->second) ? Standing::hot : Standing::tracked;
    }

    bool epoch_full() const {
        return epoch_requests_ >= tracker_capacity_;
    }

    // CoT's resizing (the paper's Algorithm 3), with K never below its start.
    void end_epoch(double imbalance) {
        const std::size_t rest = entries_.size() - hot_.size();
        const double alpha_hot = static_cast<double>(hot_requests_) / std::max<std::size_t>(1, hot_.size());
        const double alpha_rest = static_cast<double>(tracked_requests_) / std::max<std::size_t>(1, rest);
        const double low = (1 - kEpsilon) * alpha_target_;
        if (imbalance > kTargetImbalance && alpha_hot >= alpha_rest) {
            resize(hot_capacity_ * 2, tracker_capacity_ * 2);
            alpha_target_ = alpha_hot;
        } else if (alpha_hot < low && alpha_rest < low) {
            resize(hot_capacity_ / 2, tracker_capacity_ / 2);
        } else if (alpha_hot < low) {
            halve_hotness();
        }
        epoch_requests_ = hot_requests_ = tracked_requests_ = 0;
    }

    std::size_t hot_capacity() const {
        return hot_capacity_;
    }
    std::size_t tracker_capacity() const {
        return tracker_capacity_;
    }
    std::size_t hot_size() const {
        return hot_.size();
    }
    std::size_t size() const {
        return entries_.size();
    }

private:
    using Key = std::tuple<double, std::uint64_t, ObjectId>;  // hotness, age order, id

    bool is_hot(const Key& key) const {
        return hot_.contains(key);
    }

    void enter(ObjectId object) {
        double inherited = 0;
        if (entries_.size() >= tracker_capacity_)
            inherited = std::get<0>(drop_coldest());
        const Key key{inherited + 1, ++arrivals_, object};
        entries_.emplace(object, key);
        rest_.insert(key);
        settle();
    }
    void change(Key& key, double by) {
        (is_hot(key) ? hot_ : rest_).erase(key);
        std::get<0>(key) += by;
        rest_.insert(key);
        settle();
    }
    Key drop_coldest() {
        auto& from = rest_.empty() ? hot_ : rest_;
        const Key coldest = *from.begin();
        from.erase(from.begin());
        entries_.erase(std::get<2>(coldest));
        return coldest;
    }
    // Restores: `hot_` holds the C hottest.
    void settle() {
        while (hot_.size() > hot_capacity_)
            rest_.insert(hot_.extract(hot_.begin()));
        while (hot_.size() < hot_capacity_ && !rest_.empty())
            hot_.insert(rest_.extract(std::prev(rest_.end())));
        while (!hot_.empty() && !rest_.empty() && std::get<0>(*rest_.rbegin()) > std::get<0>(*hot_.begin())) {
            rest_.insert(hot_.extract(hot_.begin()));
            hot_.insert(rest_.extract(std::prev(rest_.end())));
        }
    }
    void resize(std::size_t hot, std::size_t tracked) {
        tracker_capacity_ = std::clamp(tracked, kTrackerStart, kTrackerCap);
        hot_capacity_ = std::clamp<std::size_t>(hot, 1, tracker_capacity_ / 2);
        while (entries_.size() > tracker_capacity_)
            drop_coldest();
        settle();
    }
    void halve_hotness() {
        hot_.clear();
        rest_.clear();
        for (auto& [object, key] : entries_) {
            std::get<0>(key) /= 2;
            rest_.insert(key);
        }
        settle();
    }

    std::size_t hot_capacity_ = kHotStart;
    std::size_t tracker_capacity_ = kTrackerStart;
    std::map<ObjectId, Key> entries_;
    std::set<Key> hot_;
    std::set<Key> rest_;
    std::uint64_t arrivals_ = 0;
    std::size_t epoch_requests_ = 0;
    std::size_t hot_requests_ = 0;
    std::size_t tracked_requests_ = 0;
    double alpha_target_ = 0;
};

// ---- fleet and health --------------------------------------------------------------------------

std::uint64_t mix(std::uint64_t x) {  // the finaliser of splitmix64
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9U;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebU;
    return x ^ (x >> 31);
}
std::uint64_t hash_of(std::string_view text) {
    std::uint64_t h = 0xcbf29ce484222325U;  // FNV-1a, then mixed
    for (unsigned char c : text)
        h = (h ^ c) * 0x100000001b3U;
    return mix(h);
}

double unit(std::uint64_t hash) {
    return (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
}

enum class Role { cache, parent, origin, foreign };

struct Member {
    ServerId id;
    std::uint64_t hash = 0;
    Role role = Role::foreign;
    double weight = 1;
    CellId cell{};
    std::string zone;
    bool listed = true;
    bool ready = true;
    std::optional<Time> started;  // for the cold guard; absent: long ago
    int outstanding = 0;          // own attempts at it
    int fills_out = 0;            // own attempts that name it as source
    // Health, as target or as source alike.
    Time alive{};  // when it last gave proof of life
    int failures = 0;
    bool ejected = false;
    Time ejected_until{};
    Span ejected_for{};
    std::optional<Time> down_since;  // refused connections: its process ended
    double pace = 0;                 // running mean of time taken over the aim; 0: not known
    double budget = 0;               // cold budget, in seconds of sending
    Time budget_at{};
    double fills = 0;  // fills reported this epoch
};

// Weighted rendezvous hashing: no per-instance input, so all routers agree on an object's order.
double rendezvous_score(const Member& m, std::uint64_t key) {
    return -m.weight / std::log(unit(mix(m.hash ^ mix(key))));
}

}  // namespace

class Router::Impl {
public:
    Impl(Settings settings, std::uint64_t seed)
        : set_(std::move(settings)),
          seed_(seed),
          work_(set_.classes.size()),
          hits_seen_(work_.size(), kPrior) {
        // Until sizes or hits tell more, a class's sending time is taken as what its aim allows for.
        for (std::size_t i = 0; i < work_.size(); ++i)
            work_[i] = seconds(set_.classes[i].latency_objective);
    }

    std::vector<Action> on(const Event& event, Time now) {
        now_ = now;
        if (!epoch_began_)
            epoch_began_ = now;
        forget_purges();
        std::visit([this](const auto& e) { take(e); }, event);
        return std::exchange(out_, {});
    }
    void share_with(int processes) {
        set_.routers = set_.routers / processes_ * processes;
        set_.routers_in_zone = set_.routers_in_zone / processes_ * processes;
        processes_ = processes;
    }
    bool avoids(const ServerId& id) const {
        const Member* m = find(id);
        return m && usable(*m) && on_trial(*m);
    }
    Sizes sizes() const {
        return {tracker_.hot_capacity(),
                tracker_.tracker_capacity(),
                tracker_.hot_size(),
                tracker_.size(),
                open_.size(),
                purged_objects_.size() + purged_groups_.size()};
    }

private:
    struct Attempt {
        ServerId target;
        std::optional<ServerId> source;  // absent: none, or the target itself
        Time sent{};
        double work = 0;
        bool out = true;
        bool may_have_run = true;
        bool charged_source = false;
        bool known_miss = false;      // a look has said so
        bool only_if_cached = false;  // the parent was asked for what it holds
        bool by_origin = false;       // the origin's work for certain
        bool found_none = false;      // it ended as a miss, which is no failure
        bool hung = false;            // left without an answer by one that answers others
        bool direct_read = false;     // past the caches: all its bytes use the zone's link
    };
    struct Open {
        Request request;
        std::vector<Attempt> attempts;
        Tracker::Standing standing = Tracker::Standing::newcomer;
        bool started = false;   // its stream belongs to the client
        bool answered = false;  // final answer given; kept only until its attempts end
        int silent_caches = 0;
        bool missed = false;  // a look found nothing: the next attempt is a fill for certain
        bool lacked = false;  // the parent holds none: the next one is the origin's work for certain
    };
    const ClassSettings& class_of(const Open& o) const {
        return set_.classes[o.request.class_index];
    }

    // ---- fleet and health, continued ----

    void take(const ServerList& list) {
        if (list.complete)
            for (auto& [id, m] : fleet_)
                m.listed = false;
        for (const ListedServer& c : list.caches)
            follow(c);
        // Whoever left and holds nothing of ours is forgotten, so that deploys do not pile up.
        std::erase_if(fleet_, [](const auto& e) {
            return !e.second.listed && e.second.outstanding == 0 && e.second.fills_out == 0;
        });
        by_role_ = {};  // requests find by index: a fleet may grow far beyond what one router sends to
        for (auto& [id, m] : fleet_)
            if (m.listed)
                by_role_[static_cast<std::size_t>(m.role)].push_back(&m);
    }
    void follow(const ListedServer& c) {
        auto [at, fresh] = fleet_.try_emplace(c.id);
        Member& m = at->second;
        const auto before = m.started;
        m.id = c.id;
        m.hash = hash_of(c.id.address);
        m.role = c.kind == set_.origin_kind                                ? Role::origin
                 : !set_.parent_kind.empty() && c.kind == set_.parent_kind ? Role::parent
                 : c.zone == set_.zone                                     ? Role::cache
                                                                           : Role::foreign;
        m.weight = set_.server_weights == ServerWeights::nominal ? std::max(c.weight, 0.01) : 1.0;
        m.cell = c.cell;
        m.zone = c.zone;
        m.listed = c.condition != Condition::gone;
        m.ready = c.condition == Condition::ready;
        if (c.started_at && (!before || *c.started_at > *before)) {
            // A new process: what was held against the old one is void, and it starts cold.
            m.started = c.started_at;
            m.failures = 0;
            m.ejected = false;
            m.down_since.reset();
            m.pace = 0;
            m.budget = 0;
            m.budget_at = now_;
        }
    }
    const std::vector<Member*>& listed(Role role) const {
        return by_role_[static_cast<std::size_t>(role)];
    }
    const Member* find(const ServerId& id) const {
        auto at = fleet_.find(id);
        return at == fleet_.end() ? nullptr : &at->second;
    }
    Member* find(const ServerId& id) {
        return const_cast<Member*>(std::as_const(*this).find(id));
    }
    bool usable(const Member& m) const {
        return m.listed && m.ready;
    }
    bool out_of_use(const ServerId& id) const {
        const Member* m = find(id);
        return !m || !usable(*m);
    }

    // Slow against the quickest of its peers: then it gets one attempt at a time, as a trial. Where all are
    // slow - an origin in trouble, a crowded link - none is slow against the others.
    bool outpaced(const Member& m) const {
        if (m.pace <= 1)
            return false;  // its answers still come within their aim
        return std::ranges::any_of(listed(m.role), [&](const Member* p) {
            return usable(*p) && !p->ejected && p->pace > 0 && m.pace > kSlow * p->pace;
        });
    }
    // Ejected and outpaced ones get one trial attempt at a time (half-open).
    bool on_trial(const Member& m) const {
        return m.ejected || outpaced(m);
    }
    bool open_to_use(const Member& m) const {
        if (m.ejected && now_ < m.ejected_until)
            return false;
        return m.outstanding + m.fills_out == 0 || !on_trial(m);
    }
    // Silence is held against one only if another answered meanwhile: when all are slow, none is to blame.
    // For a cache any other member will do, for a parent another parent.
    bool others_alive_since(const Member& m, Time since) const {
        return std::any_of(fleet_.begin(), fleet_.end(), [&](const auto& e) {
            const Member& p = e.second;
            return &p != &m && (m.role == Role::cache || p.role == m.role) && p.alive > since;
        });
    }
    void hold_against(Member& m, bool may_eject, int weight = kNoAnswer) {
        m.failures += weight;
        const bool trial_failed = m.ejected && now_ >= m.ejected_until;
        if (!may_eject || (m.ejected ? !trial_failed : m.failures < kEjectAfter))
            return;
        m.ejected = true;
        m.ejected_for = std::clamp(m.ejected_for * 2, kEjectFirst, kEjectLongest);
        // Drawn: all who lost it lost it at once, and would else try it again at once.
        m.ejected_until = now_ + span_of(seconds(m.ejected_for) * (1 - kEjectSpread * draw()));
    }
    void prove_alive(Member& m, Time sent = Time::max()) {
        // A process that ended and is back before the list says so is cold all the same. One that answers
        // what was out when it refused has not ended: its table was full.
        if (m.down_since && m.ejected && sent >= *m.down_since)
            m.started = std::max(m.started.value_or(now_), now_);
        m.alive = now_;
        m.failures = 0;
        m.ejected = false;
        m.down_since.reset();
        m.ejected_for = Span{};
    }

    // ---- rule guards ----

    // Cold budget: this router's share of what a just started machine bears, as a token bucket in seconds of
    // sending. Guards rule 4 for caches and parents; a charge that proves a hit is given back, and a
    // referral, which brings more requests than can be counted, is never covered.
    struct Ramp {
        double from;
        Span length;
        double multiple;
        int sharers;
    };
    Ramp ramp_of(const Member& m) const {
        if (m.role == Role::parent)
            return {set_.parent_slow_start_share, set_.parent_slow_start_duration,
                    set_.parent_overload_multiple, set_.routers};
        return {set_.slow_start_share, set_.slow_start_duration, set_.overload_multiple,
                set_.routers_in_zone};
    }
    bool cold(const Member& m) const {
        return m.role != Role::origin && m.started && now_ < *m.started + ramp_of(m).length;
    }
    double refill(Member& m) {
        const Ramp r = ramp_of(m);
        const double warm = std::clamp(seconds(now_ - *m.started) / seconds(r.length), 0.0, 1.0);
        const double share = r.multiple * m.weight * (r.from + (1 - r.from) * warm) / std::max(1, r.sharers);
        const double passed = std::max(0.0, seconds(now_ - m.budget_at));
        m.budget = std::min(m.budget + passed * share * kColdRate,
                            share * kColdBurst * seconds(set_.overload_window));
        m.budget_at = now_;
        return m.budget;
    }
    bool affords(Member& m, double work, bool once) {
        return !cold(m) || (once && refill(m) >= work);
    }
    void charge(Member& m, double work) {
        if (cold(m))
            m.budget -= work;
    }

    // Repeats: may this request be sent to `to` now?
    bool may_send(const Open& o, const Member& to) const {
        if (static_cast<int>(o.attempts.size()) >= set_.max_attempts)
            return false;
        const ClassSettings& c = class_of(o);
        for (const Attempt& a : o.attempts) {
            if (a.out)
                return false;  // never two at once: one cancelled must have ended first
            if (!a.may_have_run || c.idempotency == Idempotency::idempotent)
                continue;
            if (c.idempotency == Idempotency::none)
                return false;
            if (!same_scope(c.key_scope, a.target, to))
                return false;
        }
        const auto until = repeat_before(o);
        return !until || now_ < *until;
    }
    // The end of a keyed request's window, once something of it may have run.
    std::optional<Time> repeat_before(const Open& o) const {
        const auto ran = std::ranges::find_if(o.attempts, &Attempt::may_have_run);
        if (ran == o.attempts.end() || class_of(o).idempotency != Idempotency::keyed)
            return std::nullopt;
        return ran->sent + class_of(o).window - kWindowMargin;
    }
    bool same_scope(KeyScope scope, const ServerId& before, const Member& to) const {
        if (scope == KeyScope::all || before == to.id)
            return true;
        const Member* m = find(before);
        return m && (scope == KeyScope::zone ? m->zone == to.zone : m->cell == to.cell);
    }
    bool may_refuse(const Open& o) const {
        const ClassSettings& c = class_of(o);
        if (c.idempotency == Idempotency::idempotent ||
            (c.idempotency == Idempotency::keyed && c.key_scope == KeyScope::all))
            return true;
        return std::ranges::none_of(o.attempts, [](const Attempt& a) { return a.out || a.may_have_run; });
    }

    // Purges: the oldest copy that will do, until all older ones are gone by themselves.
    void take(const Purge& p) {
        const Time at = now_ - p.age;
        auto& known = p.object ? purged_objects_[*p.object] : purged_groups_[p.group];
        known = std::max(known, at);
        if (p.object)
            tracker_.update(*p.object);
    }
    void forget_purges() {
        if (now_ < purges_swept_ + kPurgeMargin)
            return;
        purges_swept_ = now_;
        const Time done = now_ - set_.purge_complete_within - set_.purge_effective_within - kPurgeMargin;
        std::erase_if(purged_objects_, [done](const auto& e) { return e.second < done; });
        std::erase_if(purged_groups_, [done](const auto& e) { return e.second < done; });
    }
    std::optional<Span> purge_bound(const Request& r) const {
        std::optional<Span> bound;
        auto tighten = [&](Time at) {
            bound = std::max(Span{1}, std::min(bound.value_or(now_ - at), now_ - at));
        };
        if (auto at = purged_objects_.find(r.object); at != purged_objects_.end())
            tighten(at->second);
        if (auto at = purged_groups_.find(r.group); at != purged_groups_.end())
            tighten(at->second);
        return bound;
    }

    // ---- fill path ----

    std::vector<std::pair<double, Member*>> in_order(Role role, std::uint64_t key) const {
        std::vector<std::pair<double, Member*>> order;
        for (Member* m : listed(role))
            order.emplace_back(-rendezvous_score(*m, key), m);
        std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
            return std::tie(a.first, a.second->id) < std::tie(b.first, b.second->id);
        });
        return order;
    }
    bool tried(const Open& o, const Member& m) const {
        return std::any_of(o.attempts.begin(), o.attempts.end(), [&](const Attempt& a) {
            return !a.found_none && (a.target == m.id || a.source == m.id);
        });
    }
    double room(const Member& m, double multiple) const {
        const int sharers = m.role == Role::parent ? set_.routers : set_.routers_in_zone;
        const double share = multiple * m.weight / std::max(1, sharers);
        if (m.role != Role::cache)
            return std::max(kLeastRoom, share);
        return std::max(kCacheLeast, cache_trust_ * (share + kChance * std::sqrt(share)));
    }
    // Fills of this router that are likely under way: one that was not looked for first counts by the usual
    // share of misses until it is overdue.
    double likely_fills(const Member* from = nullptr) const {
        double sum = 0;
        for (const auto& [id, o] : open_) {
            if (o.attempts.empty())
                continue;
            const Attempt& a = o.attempts.back();
            if (!a.out || (!a.source && !a.direct_read))
                continue;
            if (from && a.source != from->id && a.target != from->id)
                continue;
            if (is_hung(o, a))
                continue;  // it waits for its client's end, not for bytes
            sum += a.direct_read || a.known_miss || seconds(now_ - a.sent) > kOverdue * own_work(o)
                       ? 1
                       : miss_share_;
        }
        return sum;
    }
    // Exception (crowded origin): as fills that it has a part in fail or are late, more and more fills first
    // ask the parent for what it holds, and those that it lacks keep to the places left.
    bool held_first(const Open& o) const {
        return !o.lacked &&
               unit(mix(seed_ ^ static_cast<std::uint64_t>(o.request.id))) > origin_trust_ * origin_trust_;
    }
    double origin_fetches() const {
        return static_cast<double>(std::count_if(open_.begin(), open_.end(), [this](const auto& e) {
            const Open& o = e.second;
            return !class_of(o).uncached && !o.attempts.empty() && o.attempts.back().out &&
                   o.attempts.back().by_origin;
        }));
    }
    double link_fits() const {  // answers at top pace that the zone's link carries
        if (set_.zone_link_kb_per_s > 0 && set_.flow_kb_per_s > 0)
            return set_.zone_link_kb_per_s / set_.flow_kb_per_s;
        double fits = 0;
        for (const Member* m : listed(Role::cache))
            fits += m->weight * kFillShareUntold;
        return fits;
    }
    // How many fills this router may have under way: its share of the zone's link, less what is learned.
    double fill_room(double work) const {
        const double multiple = work < mean_work_ ? kFillRoomSmall : kFillRoom;
        const double share = multiple * link_fits() / std::max(1, set_.routers_in_zone);
        return std::max(kFillLeast, (share + kChance * std::sqrt(share)) * fill_trust_);
    }
    double origin_share() const {
        const double zones = static_cast<double>(set_.routers) / std::max(1, set_.routers_in_zone);
        return std::max(kOriginShare, kOriginZones * zones) * link_fits() * origin_trust_ /
               std::max(1, set_.routers);
    }
    // A share under one fetch is a share of the time: one, then a pause that makes up for it. Else the sum
    // over a hundred routers is a hundred. Drawn, so that they do not fall into step.
    void pause_origin(Span took) {
        const double rest = 1 / origin_share() - 1;
        if (rest <= 0)
            return;
        const double pause = seconds(took) * rest * (0.5 + draw());
        origin_next_ = now_ + std::min(kEjectLongest, span_of(pause));
    }
    // The edge cache: the object's home, or the next in order that is up, not crowded and not too cold.
    // Exception (segmented classes): the part is hashed too, as one object in many parts, all asked for
    // by one client after another, would else load one link; parts are kept and filled each on its own.
    Member* pick_cache(const Open& o, double work) {
        const Request& r = o.request;
        const std::uint64_t key =
            static_cast<std::uint64_t>(r.object) + (class_of(o).segmented ? mix(r.part + 1) : 0);
        Member* spill = nullptr;
        Member* again = nullptr;
        for (const auto& [score, m] : in_order(Role::cache, key)) {
            if (!usable(*m) || !open_to_use(*m) || !affords(*m, work, !o.request.redirected))
                continue;
            if (m->outstanding >= room(*m, kFull))
                continue;
            if (tried(o, *m)) {
                if (!again)
                    again = m;
            } else if (m->outstanding >= room(*m, kCrowded)) {
                if (!spill)
                    spill = m;
            } else {
                return m;
            }
        }
        return spill ? spill : again;
    }
    // The source: the object's parent over all listed parents, else the next, else the origin within its
    // limit. Exception (crowded parent): one that fills this router's share of its link is passed over; so a
    // parent left alone by its peers' loss is not asked for the work of all. With none, the cache is still
    // asked for what it holds.
    // Nor does a fill that is away from home crowd a parent whose fills take long while the origin is
    // quicker: it would be fetched from there all the same.
    Member* pick_source(Open& o, double work) {
        Member* origin = pick_origin();
        const double busy = std::max(kBusy, origin ? origin->pace : 0);
        Member* crowded = nullptr;
        bool home = true;
        if (!class_of(o).uncached)
            for (const auto& [score, m] :
                 in_order(Role::parent, static_cast<std::uint64_t>(o.request.object))) {
                if (usable(*m) && !tried(o, *m) && open_to_use(*m) &&
                    affords(*m, work, !o.request.redirected) && likely_fills(m) < room(*m, kFull)) {
                    if (home || m->pace <= busy)
                        return m;
                    if (!crowded)
                        crowded = m;
                }
                home = home && usable(*m) && !m->ejected;
            }
        if (!origin || class_of(o).uncached ||
            (now_ >= origin_next_ && origin_fetches() < std::max(kOriginLeast, origin_share())))
            return origin;
        return crowded;
    }
    Member* pick_origin() {
        const auto& origins = listed(Role::origin);
        const auto at = std::find_if(origins.begin(), origins.end(), [&](Member* m) { return usable(*m); });
        return at == origins.end() ? nullptr : *at;
    }

    // ---- request life ----

    void take(const Request& r) {
        if (r.class_index >= set_.classes.size() || open_.contains(r.id))
            return;
        Open& o = open_[r.id];
        o.request = r;
        if (!r.redirected)
            retry_budget_ = std::min(kRetryBurst, retry_budget_ + kRetryShare);
        if (r.size_kb > 0 && set_.flow_kb_per_s > 0)
            learn(work_[r.class_index], r.size_kb / set_.flow_kb_per_s);
        if (!class_of(o).uncached) {
            learn(mean_work_, own_work(o));
            // A client's retry says nothing of how much the object is wanted, so it does not count.
            o.standing = r.is_retry ? tracker_.standing(r.object) : tracker_.read(r.object);
            if (o.standing == Tracker::Standing::newcomer && !likely_zones_first(r.object))
                o.standing = Tracker::Standing::tracked;
            end_epoch_if_due();
        }
        attempt(o);
    }
    // Of a zone's requests this router sees one in so many: its first for an object is the zone's first as
    // seldom, and else the object has shown at the others that it is wanted.
    bool likely_zones_first(ObjectId object) const {
        return unit(mix(seed_ ^ mix(static_cast<std::uint64_t>(object)))) * (set_.routers_in_zone - 1) < 1;
    }
    double draw() {
        return unit(mix(seed_ ^ mix(++draws_)));
    }
    void learn(double& mean, double sample) {
        mean += kLearn * (sample - mean);
    }

    void end_epoch_if_due() {
        if (!tracker_.epoch_full() && now_ < *epoch_began_ + kEpochBound)
            return;
        double most = 0;
        double fewest = std::numeric_limits<double>::max();
        for (Member* m : listed(Role::parent)) {
            const double load = (m->fills + 1) / m->weight;  // the hash gives each its weight's share
            most = std::max(most, load);
            fewest = std::min(fewest, load);
            m->fills = 0;
        }
        tracker_.end_epoch(most / fewest);
        epoch_began_ = now_;
    }

    double own_work(const Open& o) const {
        const Request& r = o.request;
        return r.size_kb > 0 && set_.flow_kb_per_s > 0 ? r.size_kb / set_.flow_kb_per_s
                                                       : work_[r.class_index];
    }
    Span aim_of(const Open& o) const {
        return class_of(o).latency_objective + span_of(class_of(o).objective_stretch * own_work(o));
    }

    // Sends the request on its way, or gives it up at once.
    void attempt(Open& o) {
        if (o.request.deadline <= now_ + kLeastUseful && !o.attempts.empty())
            return give_up(o);
        const double work = work_[o.request.class_index];
        if (class_of(o).uncached)
            return attempt_uncached(o, work);
        // Two silent caches in a row may be a lost zone: then one past them tells, where that is allowed.
        Member* cache = set_.direct && o.silent_caches >= kSilentZone ? nullptr : pick_cache(o, work);
        Member* source = pick_source(o, work);
        const bool no_room = likely_fills() >= fill_room(own_work(o));
        if (!cache && (no_room || !set_.direct))
            return give_up(o);
        if (cache) {
            if (!may_send(o, *cache))
                return give_up(o);
            // Exception (crowded link): while this router's fills take its share of the link, a cache is
            // first asked for what it holds, and a miss that finds no room is refused at once. Hits go on,
            // and the fills that are let in come to their end.
            if (no_room)
                source = nullptr;
            if (!source && o.missed)
                return give_up(o);
            if (o.lacked && origin_fetches() >= fill_room(own_work(o)) * origin_trust_)
                return give_up(o);
            return send(o, *cache, fill_for(o, *cache, source), source);
        }
        // No cache of the zone will do - lost, cold, full: straight to the parent (which fetches what it
        // lacks) or the origin.
        if (!source || !may_send(o, *source))
            return give_up(o);
        if (source->role == Role::origin)
            return send(o, *source, std::nullopt, nullptr);
        Member* origin = pick_origin();
        Fill fill{.source = origin ? origin->id : source->id, .oldest = oldest(o)};
        send(o, *source, fill, nullptr);
    }
    // A write runs at the origin: straight, or with the origin as the source behind any cache.
    void attempt_uncached(Open& o, double work) {
        Member* origin = pick_origin();
        if (!origin)
            return give_up(o);
        if (set_.direct && may_send(o, *origin))
            return send(o, *origin, std::nullopt, nullptr);
        Member* cache = pick_cache(o, work);
        if (!cache || !may_send(o, *cache))
            return give_up(o);
        send(o, *cache, Fill{.source = origin->id}, origin);
    }
    Span oldest(const Open& o) const {
        const ClassSettings& c = class_of(o);
        Span age{};
        // Stale-while-revalidate keeps to the fresh time at first; after a failure a stale copy will do.
        if (c.max_age > Span{} && !o.attempts.empty() && c.stale_weight > c.late_weight)
            age = c.max_age + c.grace;
        if (const auto bound = purge_bound(o.request)) {
            const Span limit = age > Span{} ? age : c.max_age;
            age = limit > Span{} ? std::min(limit, *bound) : *bound;
        }
        return age;
    }
    Fill fill_for(const Open& o, const Member& cache, const Member* source) const {
        Fill fill{.source = source ? source->id : cache.id, .oldest = oldest(o)};
        fill.retention = o.standing == Tracker::Standing::hot       ? RetentionPriority::highest
                         : o.standing == Tracker::Standing::tracked ? RetentionPriority::lowest
                                                                    : RetentionPriority::no_store;
        // A fill under way may have left the origin before the purge.
        fill.join = set_.joins && !purge_bound(o.request);
        fill.only_if_cached = source && source->role == Role::parent && held_first(o);
        fill.revalidate = source && class_of(o).max_age > Span{} && o.standing != Tracker::Standing::newcomer;
        return fill;
    }
    void send(Open& o, Member& target, std::optional<Fill> fill, Member* source) {
        const double work = work_[o.request.class_index];
        Attempt a;
        a.target = target.id;
        a.sent = now_;
        a.work = work;
        charge(target, work);
        ++target.outstanding;
        if (source) {
            a.source = source->id;
            a.known_miss = o.missed;
            a.only_if_cached = fill && fill->only_if_cached;
            a.charged_source = cold(*source);
            charge(*source, work);
            ++source->fills_out;
        }
        a.by_origin = o.lacked || target.role == Role::origin || (source && source->role == Role::origin);
        a.direct_read = target.role != Role::cache && !class_of(o).uncached;
        Span timeout{};
        // Where nothing can be cancelled, a time-out at the aim is what lets a further attempt start.
        if (!set_.cancellation_supported && static_cast<int>(o.attempts.size()) + 1 < set_.max_attempts &&
            class_of(o).idempotency == Idempotency::idempotent)
            timeout = span_of(seconds(aim_of(o)) * (o.request.size_kb > 0 ? 1 : kFirstLook));
        out_.push_back(Send{o.request.id, target.id, timeout, std::move(fill), repeat_before(o)});
        o.attempts.push_back(std::move(a));
        if (set_.cancellation_supported)
            look_later(o, kHungLook);
    }
    void look_later(const Open& o, double share) {
        out_.push_back(SetTimer{TimerId{static_cast<std::uint64_t>(o.request.id)},
                                std::max(Span{1ms}, span_of(share * seconds(aim_of(o))))});
    }

    // Looks at a request that is still out: has its cache, or the source behind it, gone silent?
    void take(const Timer& t) {
        auto at = open_.find(RequestId{static_cast<std::uint64_t>(t.id)});
        if (at == open_.end() || at->second.answered || at->second.started)
            return;
        Open& o = at->second;
        if (o.attempts.empty() || !o.attempts.back().out)
            return;
        Attempt& a = o.attempts.back();
        const double waited = aims_since(o, a);
        if (waited < kHungLook * 0.99)
            return;
        Member* target = find(a.target);
        Member* source = a.source ? find(*a.source) : nullptr;
        const bool looks = waited >= kFirstLook * 0.99;
        const bool target_silent = looks && target && target->alive < a.sent;
        const bool source_silent =
            looks && !target_silent && source && source->role == Role::parent && source->alive < a.sent;
        if (target_silent) {
            ++o.silent_caches;
            hold_against(*target, others_alive_since(*target, a.sent));
        }
        if (source_silent)
            hold_against(*source, others_alive_since(*source, a.sent));
        const bool repeatable = class_of(o).idempotency == Idempotency::idempotent &&
                                static_cast<int>(o.attempts.size()) < set_.max_attempts;
        // Retries of what was refused or cut off come first: they are early enough to count.
        // A fill is only taken for hung while the ways are trusted: else it may just be slow.
        const bool in_order = !a.source || std::min(fill_trust_, origin_trust_) > kHungTrust;
        const bool hung = in_order && retry_budget_ > kRetryBurst / 4 && is_hung(o, a);
        if ((target_silent || source_silent || hung) && repeatable && take_retry())
            out_.push_back(Cancel{o.request.id, static_cast<std::uint32_t>(o.attempts.size() - 1)});
        else if (now_ < o.request.deadline)
            look_later(o, kNextLook);
    }
    double aims_since(const Open& o, const Attempt& a) const {
        return seconds(now_ - a.sent) / std::max(1e-3, seconds(aim_of(o)));
    }
    bool is_hung(const Open& o, const Attempt& a) const {
        const Member* target = find(a.target);
        const Member* source = a.source ? find(*a.source) : nullptr;
        if (!target || target->alive <= a.sent)
            return false;
        const double usual = std::max(target->pace, source ? source->pace : 0);
        return aims_since(o, a) > std::max(a.source ? kHungFill : kHungLook, kHungPace * usual);
    }
    bool take_retry() {
        if (retry_budget_ < 1)
            return false;
        retry_budget_ -= 1;
        return true;
    }

    void take(const ResponseStarted& s) {
        if (auto at = open_.find(s.request); at != open_.end())
            at->second.started = true;
    }
    void take(const ClientClosed& a) {
        if (auto at = open_.find(a.request); at != open_.end()) {
            at->second.answered = true;
            drop_if_done(at);
        }
    }
    void take(const Outcome& e) {
        auto at = open_.find(e.request);
        if (at == open_.end() || e.attempt >= at->second.attempts.size())
            return;
        Open& o = at->second;
        Attempt& a = o.attempts[e.attempt];
        if (!a.out)
            return;
        a.out = false;
        a.may_have_run =
            !(e.attempt_status == AttemptStatus::overloaded ||
              e.attempt_status == AttemptStatus::connect_failed ||
              e.attempt_status == AttemptStatus::not_sent || e.attempt_status == AttemptStatus::miss);
        judge(o, a, e);
        if (e.request_completed)
            o.answered = true;
        if (!o.answered && !o.started)
            carry_on(o, e);
        drop_if_done(at);
    }
    void drop_if_done(std::map<RequestId, Open>::iterator at) {
        const Open& o = at->second;
        if (o.answered && std::ranges::none_of(o.attempts, &Attempt::out))
            open_.erase(at);
    }
    // What an ending says of the cache, of the source behind it, and of the origin.
    void judge(Open& o, Attempt& a, const Outcome& e) {
        Member* target = find(a.target);
        Member* source = a.source ? find(*a.source) : nullptr;
        const Member* from = source ? source : target;
        if (from && from->role == Role::origin && !class_of(o).uncached)
            pause_origin(e.duration);
        if (target)
            --target->outstanding;
        if (source)
            --source->fills_out;
        a.hung =
            (e.attempt_status == AttemptStatus::timeout || e.attempt_status == AttemptStatus::cancelled) &&
            is_hung(o, a);
        if (e.attempt_status == AttemptStatus::unobserved)
            return;  // what was charged stands; nothing else was learned
        if (target)
            judge_target(*target, a, e.attempt_status);
        const bool good = e.attempt_status == AttemptStatus::success;
        const bool hit = good && e.cache_status == CacheStatus::hit;
        const bool filled =
            good &&
            (e.cache_status == CacheStatus::filled || e.cache_status == CacheStatus::filled_from_origin ||
             (e.cache_status == CacheStatus::none && set_.outcome_detail == OutcomeDetail::off));
        // Held against the ways, a request that hung or an answer that was spoilt or cut off, as any cache
        // may leave them, would close them all: they tell nothing of how much the ways bear.
        const bool spoilt = e.attempt_status == AttemptStatus::reset ||
                            (e.attempt_status == AttemptStatus::error && e.cache_status == CacheStatus::none);
        const bool failed = !good && !a.hung && !spoilt && e.attempt_status != AttemptStatus::miss &&
                            e.attempt_status != AttemptStatus::cancelled;
        const bool in_time = good && e.duration <= aim_of(o);
        const double pace = seconds(e.duration) / std::max(1e-3, seconds(aim_of(o)));
        if (target && hit)
            learn_pace(*target, pace);
        if (source && (filled || (!a.hung && (e.attempt_status == AttemptStatus::timeout ||
                                              e.attempt_status == AttemptStatus::cancelled))))
            learn_pace(*source, pace);
        if (source && filled) {
            prove_alive(*source);
            ++source->fills;
        } else if (source && hit && a.charged_source) {
            source->budget += a.work;  // it never got there
        } else if (source && e.cache_status == CacheStatus::source_unreachable) {
            // A refusal is proof by itself; silence is not, unless others answer.
            const bool refused = e.attempt_status == AttemptStatus::overloaded;
            hold_against(*source, refused || others_alive_since(*source, a.sent),
                         refused ? kEjectAfter : kNoAnswer);
        }
        if (hit || filled)
            learn(miss_share_, filled ? 1 : 0);
        if (hit)
            learn_room(cache_trust_, in_time, kHitRegain);
        if (filled || (a.source && failed))
            learn_room(fill_trust_, in_time);
        // Answers that do not tell the origin's part: any fill that was not asked of the parent alone.
        const bool told_held =
            set_.outcome_detail == OutcomeDetail::all && e.cache_status == CacheStatus::filled;
        const bool of_origin = e.cache_status == CacheStatus::filled_from_origin ||
                               e.cache_status == CacheStatus::origin_failed || a.direct_read ||
                               (a.source && !a.only_if_cached && !told_held);
        if (of_origin && (filled || failed || (good && a.direct_read)))
            learn_room(origin_trust_, in_time);
        if (hit && o.request.size_kb <= 0) {
            // Untold sizes: a mean over all hits, as one that follows crowded answers calls them all in time.
            auto& seen = hits_seen_[o.request.class_index];
            const double weight = std::max(kLearnSlow, 1 / (seen += 1));
            work_[o.request.class_index] += weight * (seconds(e.duration) - work_[o.request.class_index]);
        }
    }
    // Answers past their aim mean that the way bears fewer at once, whatever it is that is slow.
    static void learn_room(double& trust, bool in_time, double regain = kTrustRegain) {
        trust = in_time ? std::min(1.0, trust + regain) : std::max(kTrustLeast, trust * kTrustBackoff);
    }
    void learn_pace(Member& m, double sample) {
        m.pace = m.pace > 0 ? m.pace + kLearnPace * (sample - m.pace) : sample;
    }
    void judge_target(Member& m, const Attempt& a, AttemptStatus attempt_status) {
        if (attempt_status == AttemptStatus::success || attempt_status == AttemptStatus::miss ||
            attempt_status == AttemptStatus::overloaded) {
            prove_alive(m, a.sent);
        } else if (attempt_status == AttemptStatus::connect_failed ||
                   attempt_status == AttemptStatus::reset || attempt_status == AttemptStatus::error) {
            hold_against(m, true, attempt_status == AttemptStatus::connect_failed ? kNoAnswer : 1);
            // A lost answer resets one too.
            if (attempt_status == AttemptStatus::connect_failed && !m.down_since)
                m.down_since = now_;
        } else if (attempt_status == AttemptStatus::timeout && m.alive < a.sent) {
            hold_against(m, others_alive_since(m, a.sent));
        }
    }
    // An attempt ended and the client still waits.
    void carry_on(Open& o, const Outcome& e) {
        // Cancelled ones were paid for then; a look that missed has cost next to nothing.
        Attempt& a = o.attempts.back();
        bool& known = a.only_if_cached ? o.lacked : o.missed;
        a.found_none = e.attempt_status == AttemptStatus::miss && (a.only_if_cached || !a.source) &&
                       !std::exchange(known, true);
        if (a.only_if_cached && a.found_none)
            o.missed = true;
        // One held back because its cache or source has gone out of use meanwhile never was at any.
        const bool barred = e.attempt_status == AttemptStatus::not_sent &&
                            (out_of_use(a.target) || (a.source && out_of_use(*a.source)));
        const bool budgeted = e.attempt_status == AttemptStatus::cancelled || a.found_none || barred;
        if (!barred && e.attempt_status == AttemptStatus::not_sent)
            return give_up(o);
        if (!budgeted && !take_retry())
            return give_up(o);
        attempt(o);
    }
    void give_up(Open& o) {
        if (o.answered)
            return;
        o.answered = true;
        if (may_refuse(o)) {
            const Span wait =
                set_.retry_after ? std::min(set_.max_retry_after, class_of(o).latency_objective) : Span{};
            out_.push_back(Reject{o.request.id, wait});
        } else {
            out_.push_back(Fail{o.request.id});
        }
        if (o.attempts.empty())
            drop_if_done(open_.find(o.request.id));
    }

    Settings set_;
    std::uint64_t seed_;
    std::vector<double> work_;  // mean sending time of each class, seconds
    std::vector<double> hits_seen_;
    Time now_{};
    std::vector<Action> out_;
    Tracker tracker_;
    std::optional<Time> epoch_began_;
    std::map<ServerId, Member> fleet_;
    std::array<std::vector<Member*>, 4> by_role_;  // of those listed
    std::map<ObjectId, Time> purged_objects_;
    std::map<GroupId, Time> purged_groups_;
    Time purges_swept_{};
    std::map<RequestId, Open> open_;
    double mean_work_ = 0;  // over all cached classes
    double miss_share_ = 0.5;
    double fill_trust_ = 1;
    double cache_trust_ = 1;
    double retry_budget_ = kRetryBurst;
    double origin_trust_ = 1;
    Time origin_next_{};
    std::uint64_t draws_ = 0;
    int processes_ = 1;  // that count as this router
};

Router::Router(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
std::vector<Action> Router::on(const Event& event, Time now) {
    return impl_->on(event, now);
}
void Router::share_with(int processes) {
    impl_->share_with(processes);
}
bool Router::avoids(const ServerId& id) const {
    return impl_->avoids(id);
}
Router::Sizes Router::sizes() const {
    return impl_->sizes();
}

}  // namespace silverrail::routing
