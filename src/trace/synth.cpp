#include "trace/synth.h"

#include <cmath>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>

#include "config/config.h"
#include "core/engine.h"
#include "lab/sample_deployment.h"
#include "trace/observe.h"

namespace silverrail::trace {

namespace {

using core::AttemptKey;
using core::Span;
using core::Time;
using routing::AttemptStatus;
using routing::CacheStatus;
using routing::Condition;
using Ns = std::int64_t;

constexpr Ns kMs = 1'000'000;
constexpr Ns kSecond = 1'000'000'000;
constexpr int kServers = 11;
constexpr int kObjects = 60'000;
constexpr int kClients = 700;
constexpr double kKbPerS = 4000;

std::uint64_t mixed(std::uint64_t x) {
    std::uint64_t v = x + 0x9e3779b97f4a7c15U;
    return checksum({reinterpret_cast<const char*>(&v), sizeof v});
}

// The true time, and what is due.
class World {
public:
    using Action = std::function<void()>;
    Ns now() const {
        return now_;
    }
    std::uint64_t at(Ns when, Action action) {
        queue_.emplace(std::pair{std::max(when, now_), ++last_}, std::move(action));
        return last_;
    }
    bool step(Ns until) {
        if (queue_.empty() || queue_.begin()->first.first > until)
            return false;
        auto node = queue_.extract(queue_.begin());
        now_ = node.key().first;
        node.mapped()();
        return true;
    }

private:
    std::map<std::pair<Ns, std::uint64_t>, Action> queue_;
    Ns now_ = 0;
    std::uint64_t last_ = 0;
};

// One router's clocks: both run `drift` fast; the Unix one is `ahead` of the true one besides.
class SkewedClock : public core::Clock {
public:
    SkewedClock(const World& world, Ns begin_unix, Ns steady_base, Ns ahead, double drift)
        : world_(world), begin_unix_(begin_unix), steady_base_(steady_base), ahead_(ahead), drift_(drift) {}
    Ns steady() const {
        return (steady_base_ + run(world_.now())) / 1000 * 1000;
    }
    Ns unix_ns() const {
        return begin_unix_ + ahead_ + run(world_.now());
    }
    // By the clock of the origin, which is right.
    Ns true_unix_ns() const {
        return begin_unix_ + world_.now();
    }
    Time now() const override {
        return Time{Span{steady()}};
    }
    std::int64_t unix_ms() const override {
        return unix_ns() / kMs;
    }
    // The true time at which this clock shows that steady one.
    Ns true_time(Time t) const {
        const auto mine = static_cast<double>(t.time_since_epoch().count() - steady_base_);
        return static_cast<Ns>(std::ceil(mine / (1 + drift_))) + 1000;
    }

private:
    Ns run(Ns t) const {
        return t + static_cast<Ns>(static_cast<double>(t) * drift_);
    }
    const World& world_;
    Ns begin_unix_;
    Ns steady_base_;
    Ns ahead_;
    double drift_;
};

class WorldTimers : public core::Timers {
public:
    WorldTimers(World& world, const SkewedClock& clock) : world_(world), clock_(clock) {}
    Handle at(Time when, std::function<void()> action) override {
        const Handle handle = ++last_;
        live_.insert(handle);
        world_.at(clock_.true_time(when),
                  [this, handle, alive = std::weak_ptr{alive_}, action = std::move(action)] {
                      if (alive.lock() && live_.erase(handle))
                          action();
                  });
        return handle;
    }
    void cancel(Handle handle) override {
        live_.erase(handle);
    }

private:
    World& world_;
    const SkewedClock& clock_;
    std::set<Handle> live_;
    Handle last_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

// The servers, as all routers see them: which are up, and how crowded.
struct Servers {
    std::vector<lab::SampleServer> plan;
    std::map<std::string, bool> dead;
    std::map<std::string, int> held;
};

// Attempts that end as a made-up server would end them.
class MadeUpSender : public core::AttemptSender {
public:
    MadeUpSender(World& world, const SkewedClock& clock, Servers& servers, std::uint64_t seed)
        : world_(world), clock_(clock), servers_(servers), random_(seed) {}
    void start(core::AttemptRequest order, core::AttemptEvents& events) override {
        const AttemptKey key = order.key;
        out_.insert(key);
        const std::string server = order.target.address;
        ++servers_.held[server];
        after(key, server, 80'000 + below(400'000), [this, order = std::move(order), &events, server] {
            if (!events.before_first_byte(order.key))
                return end(events, order.key, server, {.attempt_status = AttemptStatus::not_sent});
            if (servers_.dead[server])
                return end(events, order.key, server, {.attempt_status = AttemptStatus::connect_failed});
            run(order, events, server);
        });
    }
    void cancel(const AttemptKey& key) override {
        out_.erase(key);
    }
    void discard_connections(const core::ServerId&) override {}

private:
    Ns below(Ns n) {
        return static_cast<Ns>(random_() % static_cast<std::uint64_t>(n));
    }
    double chance() {
        return static_cast<double>(random_() >> 11) * 0x1p-53;
    }
    void after(const AttemptKey& key, const std::string& server, Ns span, World::Action action) {
        world_.at(world_.now() + span,
                  [this, key, server, alive = std::weak_ptr{alive_}, action = std::move(action)] {
                      if (!alive.lock())
                          return;
                      if (out_.contains(key))
                          action();
                      else
                          --servers_.held[server];  // given up meanwhile
                  });
    }
    void end(core::AttemptEvents& events, const AttemptKey& key, const std::string& server,
             core::AttemptResult how) {
        --servers_.held[server];
        if (out_.erase(key))
            events.ended(key, std::move(how));
    }
    void run(const core::AttemptRequest& order, core::AttemptEvents& events, const std::string& server) {
        const core::ClientRequest& call = *order.client_request;
        const double kb = call.size_kb > 0 ? call.size_kb : 20;
        const int held = servers_.held[server];
        const double crowding = 1 + std::max(0, held - 40) / 40.0;
        Ns takes = static_cast<Ns>(kb / kKbPerS * 1e9 * crowding) + 2 * kMs + below(3 * kMs);
        core::AttemptResult how{.attempt_status = AttemptStatus::success};
        how.load.in_flight = held;
        how.load.utilisation = std::round(std::min(1.0, held / 80.0) * 100) / 100;
        how.load.hit_share = 0.7;
        how.load.link_fullness = std::round(chance() * 20) / 100 + 0.3;
        const double luck = chance();
        if (luck < 0.002) {
            how = {.attempt_status = AttemptStatus::reset};
        } else if (luck < 0.005) {
            how = {.attempt_status = AttemptStatus::error};
        } else if (held > 160) {
            how.attempt_status = AttemptStatus::overloaded;
            takes = kMs;
        } else if (luck < 0.006) {
            return;  // silent: its time-out ends it
        } else if (call.write) {
            takes += 30 * kMs + below(60 * kMs);
            how.cache_status = CacheStatus::filled_from_origin;
        } else if (seen(server, call)) {
            how.cache_status = CacheStatus::hit;
        } else if (!order.source) {
            how.attempt_status = AttemptStatus::miss;
            takes = 2 * kMs;
        } else {
            how.cache_status = CacheStatus::filled;
            how.source_wait = Span{(20 * kMs + below(60 * kMs)) / 1000 * 1000};
            takes += how.source_wait.count();
        }
        if (how.attempt_status == AttemptStatus::success) {
            how.body.assign(static_cast<std::size_t>(kb * 8), 'x');
            how.tag = "4be0c1927d55a6f3";
            how.made_ms =
                (clock_.true_unix_ns() - (how.cache_status == CacheStatus::hit ? below(6 * kSecond) : 0)) /
                kMs;
        }
        after(order.key, server, takes, [this, key = order.key, &events, server, how = std::move(how)] {
            end(events, key, server, how);
        });
    }
    // A copy is there once the object was asked for at that server; small and old ones fall out by chance.
    bool seen(const std::string& server, const core::ClientRequest& call) {
        const auto key = checksum(server, static_cast<std::uint64_t>(call.object_id) ^ call.part);
        if (copies_.size() > 200'000)
            copies_.clear();
        return !copies_.insert(key).second && chance() > 0.05;
    }
    World& world_;
    const SkewedClock& clock_;
    Servers& servers_;
    std::mt19937_64 random_;
    std::set<AttemptKey> out_;
    std::set<std::uint64_t> copies_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

class IgnoredReply : public core::ReplySink {
public:
    void reply(core::Answer) override {}
};

// One run of one router, from its start to its end, and its file.
class Run : RecordSink {
public:
    Run(World& world, Servers& servers, const SynthPlan& plan, const std::string& name, SkewedClock clock,
        ByteSink& sink, std::uint64_t seed, Log& log)
        : world_(world),
          servers_(servers),
          plan_(plan),
          clock_(clock),
          timers_(world, clock_),
          sender_(world, clock_, servers, seed),
          config_(lab::router_config(name, seed, "127.0.0.1:4100", "", plan.routers)),
          writer_(sink, 0, clock_.unix_ns()),
          observing_(*this),
          engine_(config::parse_config(config_).settings, seed, 1024, clock_, timers_, sender_, log),
          random_(seed ^ 0xc0ffee) {
        incarnation_unix_ns = clock_.unix_ns();
        const std::string settings = config::json_line(config_);
        model::RouterStarted start{name, incarnation_unix_ns, seed, "synthetic", settings, offset(), 0};
        writer_.add({clock_.steady(), 0, start});
        engine_.set_observer(&observing_);
        core::ServerChange all{true, {}};
        for (const auto& server : servers_.plan)
            all.servers.push_back(
                lab::registry_server(server, servers_.dead[server.id] ? Condition::gone : Condition::ready));
        engine_.apply(all);
        tick();
        arrive();
    }
    // As if killed: nothing is finished but the file.
    void die() {
        dead_ = true;
        engine_.set_observer(nullptr);
    }
    void close() {
        die();
        writer_.close();
    }
    void hear(const core::PurgeNotice& purge) {
        world_.at(world_.now() + 99 * kMs + below(220 * kMs), [this, purge] {
            if (!dead_)
                engine_.apply(purge);
        });
    }
    void hear(const core::ServerChange& change) {
        world_.at(world_.now() + 200 * kMs + below(1500 * kMs), [this, change] {
            if (!dead_)
                engine_.apply(change);
        });
    }
    std::int64_t incarnation_unix_ns = 0;
    std::uint64_t calls = 0;

private:
    void take(const model::Record& record) override {
        writer_.add(record);
    }
    Ns offset() const {
        return clock_.unix_ns() - clock_.steady();
    }
    Ns below(Ns n) {
        return static_cast<Ns>(random_() % static_cast<std::uint64_t>(n));
    }
    double chance() {
        return static_cast<double>(random_() >> 11) * 0x1p-53;
    }
    void tick() {
        world_.at(world_.now() + kSecond, [this] {
            if (dead_)
                return;
            writer_.add({clock_.steady(), 0, model::ClockSample{offset(), 0}});
            tick();
        });
    }
    void arrive() {
        world_.at(world_.now() + static_cast<Ns>(-std::log(1 - chance()) / plan_.rate * 1e9), [this] {
            if (dead_)
                return;
            ask();
            arrive();
        });
    }
    void ask() {
        core::ClientRequest call;
        const double kind = chance();
        const int index = kind < 0.54 ? 0 : kind < 0.966 ? 1 : 2;
        call.class_name = lab::kRequestClasses[index];
        char digits[17];
        std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(random_()));
        call.trace_id = digits;
        // Few objects are asked for often: the rank's logarithm is even.
        const auto retention = static_cast<std::uint64_t>(std::pow(kObjects, chance()));
        const std::uint64_t object =
            index == 2 ? random_() : mixed(retention * 4 + static_cast<std::uint64_t>(index));
        std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(object));
        call.object = digits;
        call.object_id = routing::ObjectId{object};
        call.group = routing::GroupId{object & 255};
        call.part = index == 0 ? static_cast<std::uint32_t>(mixed(object) % 4) : 0;
        const double spread = static_cast<double>(mixed(object + 7) % 1000) / 1000;
        call.size_kb = index == 0   ? std::round(1500 + 900 * spread)
                       : index == 1 ? std::round(180 + 300 * spread)
                                    : 0;
        const Ns wait = (index == 0 ? 5000 : index == 1 ? 2500 : 3000) * kMs;
        call.deadline = clock_.now() + Span{wait - below(40) * 1000};
        call.write = index == 2;
        if (call.write)
            call.body = body_;
        if (index == 1 && chance() < 0.2)
            call.client_tag = "4be0c1927d55a6f3";
        call.client = client(mixed(random_() % kClients));
        ++calls;
        const auto id = engine_.submit(std::move(call), std::make_shared<IgnoredReply>());
        if (id && chance() < 0.004)
            world_.at(world_.now() + below(300 * kMs), [this, id = *id] {
                if (!dead_)
                    engine_.client_closed(id);
            });
    }
    // Two thirds IPv4, the rest IPv6, some of these IPv4 mapped.
    static core::ClientAddress client(std::uint64_t n) {
        core::ClientAddress a;
        const auto put = [&a, n](std::size_t from, std::size_t count) {
            for (std::size_t i = 0; i < count; ++i)
                a.bytes[from + i] = static_cast<unsigned char>(n >> (8 * i));
        };
        if (n % 3 != 0) {
            a.size = 4;
            put(0, 4);
            a.bytes[0] = 10;
        } else if (n % 2 == 0) {
            a.size = 16;
            put(8, 8);
            a.bytes[0] = 0xfd;
        } else {
            a.size = 16;
            a.bytes[10] = a.bytes[11] = 0xff;
            put(12, 4);
            a.bytes[12] = 10;
        }
        return a;
    }

    World& world_;
    Servers& servers_;
    const SynthPlan& plan_;
    SkewedClock clock_;
    WorldTimers timers_;
    MadeUpSender sender_;
    Json::Value config_;
    TraceWriter writer_;
    Observing observing_;
    core::Engine engine_;
    std::mt19937_64 random_;
    std::shared_ptr<const std::string> body_ = std::make_shared<const std::string>(600, 't');
    bool dead_ = false;
};

}  // namespace

std::vector<SynthTruth> synth(const SynthPlan& plan, const SynthOpen& open,
                              const std::function<void(double share)>& progress) {
    if (!(plan.seconds > 0 && plan.rate > 0 && plan.routers >= 1 && plan.routers <= 64))
        throw std::invalid_argument("seconds and rate above 0, 1 to 64 routers");
    if (plan.seconds * plan.rate * plan.routers > SynthPlan::kMaxRequests)
        throw std::invalid_argument("over 100 million calls");
    if (plan.restart && (plan.routers < 2 || plan.seconds < 10))
        throw std::invalid_argument("a restart needs two routers and 10 seconds");
    World world;
    Servers servers;
    for (int i = 0; i < kServers; ++i) {
        char id[16];
        std::snprintf(id, sizeof id, "s-%08x",
                      static_cast<unsigned>(mixed(static_cast<std::uint64_t>(i) + 100)));
        servers.plan.push_back({id, "127.0.1." + std::to_string(i + 1) + ":4100", "small-box",
                                10.0 + 3 * (i % 3), 1 + i % 3, 0});
    }
    servers.plan.push_back({"h-north", "127.0.2.1:4100", "hub", 40, 9, 0});
    servers.plan.push_back({"h-south", "127.0.2.2:4100", "hub", 40, 9, 0});
    servers.plan.push_back({"o-head", "127.0.2.9:4100", "store", 60, 9, 0});

    std::mt19937_64 random{plan.seed};
    const auto even = [&random] {
        return static_cast<double>(random() >> 11) * 0x1p-52 - 1;
    };  // -1 to 1
    Log log{0};
    std::vector<std::unique_ptr<Run>> runs;
    std::vector<SynthTruth> truth;
    struct Clocks {
        double ahead_ms;
        double ppm;
    };
    std::vector<Clocks> clocks;
    for (int r = 0; r < plan.routers; ++r) {
        const double ahead = even() * plan.skew_ms;
        clocks.push_back({ahead, even() * plan.drift_ppm});
    }
    const auto begin = [&](int r, int incarnation) {
        SynthTruth t;
        t.router = "n" + std::to_string(r);
        t.ahead_ms = clocks[static_cast<std::size_t>(r)].ahead_ms;
        t.drift_ppm = clocks[static_cast<std::size_t>(r)].ppm;
        ByteSink& sink = open(static_cast<int>(runs.size()), t.router, incarnation, t.file);
        const Ns base = 1000 * kSecond + static_cast<Ns>(random() % 1'000'000'000'000U);
        SkewedClock clock{world, plan.begin_unix_ns, base, static_cast<Ns>(t.ahead_ms * 1e6),
                          t.drift_ppm / 1e6};
        runs.push_back(std::make_unique<Run>(world, servers, plan, t.router, clock, sink, random(), log));
        t.incarnation_unix_ns = runs.back()->incarnation_unix_ns;
        truth.push_back(t);
    };
    for (int r = 0; r < plan.routers; ++r)
        begin(r, 1);
    const auto span = static_cast<Ns>(plan.seconds * 1e9);
    if (plan.restart) {
        world.at(span / 2, [&runs] { runs[1]->die(); });
        world.at(span / 2 + 3 * kSecond, [&begin] { begin(1, 2); });
    }
    // Discovery: purges, and now and then a server that drains, goes and comes back.
    const std::function<void()> purge = [&] {
        const auto retention = static_cast<std::uint64_t>(std::pow(kObjects, (even() + 1) / 2));
        core::PurgeNotice p;
        if (random() % 8 == 0)
            p.group = routing::GroupId{random() & 255};
        else
            p.object = routing::ObjectId{mixed(retention * 4 + random() % 2)};
        p.issued_ms = (plan.begin_unix_ns + world.now()) / kMs;
        if (p.object)
            p.group = routing::GroupId{static_cast<std::uint64_t>(*p.object) & 255};
        for (auto& run : runs)
            run->hear(p);
        world.at(world.now() + static_cast<Ns>(-std::log(1 - (even() + 1) / 2.0000001) / plan.purges * 1e9),
                 purge);
    };
    if (plan.purges > 0)
        world.at(kSecond, purge);
    const std::function<void(std::size_t)> trouble = [&](std::size_t server) {
        const auto tell = [&, server](Condition condition) {
            core::ServerChange change{false, {lab::registry_server(servers.plan[server], condition)}};
            for (auto& run : runs)
                run->hear(change);
        };
        if (server % 2 == 0) {
            tell(Condition::draining);
        } else {
            servers.dead[servers.plan[server].id] = true;
        }
        world.at(world.now() + 4 * kSecond, [&, server, tell] {
            servers.dead[servers.plan[server].id] = true;
            tell(Condition::gone);
        });
        world.at(world.now() + 15 * kSecond, [&, server, tell] {
            servers.dead[servers.plan[server].id] = false;
            servers.plan[server].started_ms = (plan.begin_unix_ns + world.now()) / kMs;
            tell(Condition::ready);
        });
        world.at(world.now() + 45 * kSecond, [&, server] { trouble((server + 1) % kServers); });
    };
    world.at(20 * kSecond, [&] { trouble(0); });
    for (std::uint64_t steps = 0; world.step(span); ++steps)
        if (progress && steps % 65536 == 0)
            progress(static_cast<double>(world.now()) / static_cast<double>(span));
    for (std::size_t i = 0; i < runs.size(); ++i) {
        runs[i]->close();
        truth[i].calls = runs[i]->calls;
    }
    return truth;
}

}  // namespace silverrail::trace
