#include "lab/failover_sim.h"

#include <algorithm>
#include <memory>

#include "cluster/wire.h"
#include "lab/sim_net.h"

namespace silverrail::lab {

namespace cl = cluster;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{10};
constexpr milliseconds kTick{100};
constexpr milliseconds kSlowTick{250};  // over a thousand routers: a run would else take an hour
constexpr cl::UnixMs kEpoch = 1'800'000'000'000;
constexpr int kServers = 8;  // a zone's, each worth as much
constexpr std::int64_t kMost = 60'000;

class FailoverSim {
public:
    FailoverSim(const FailoverSimOptions& o, std::size_t zones, std::size_t regions)
        : net(o.members, o.seed, SimLink{.loss = o.loss}),
          random_(o.seed),
          health_(zones),
          tick_(o.members > 1000 ? kSlowTick : kTick) {
        for (std::size_t z = 0; z < zones; ++z)
            settings.zones.push_back({zone(z), std::string{"r"}.append(std::to_string(z * regions / zones)),
                                      (o.members + zones - 1 - z) / zones});
        nodes.resize(o.members);
        cl::ReplicaSettings shared, reports;
        reports.channel = 1;
        reports.fast_exchange_interval = cl::Time{0};
        reports.value_retention = 60'000;
        reports.tombstone_retention = 120'000;
        for (std::size_t i = 0; i < o.members; ++i) {
            auto& n = nodes[i];
            const auto name = std::to_string(i);
            n.zone = i % zones;
            n.shared = std::make_unique<cl::Replica>(name, name, name + "@1", shared, o.seed * 7919 + i, now);
            n.reports =
                std::make_unique<cl::Replica>(name, name, name + "@1", reports, o.seed * 104729 + i, now);
            n.failover = std::make_unique<cl::Failover>(name, zone(n.zone), settings);
            n.voice =
                std::make_unique<cl::Voice>(cl::Voice::Settings{.refresh = cl::Time{20'000}}, o.seed + i);
            alive[name] = zone(n.zone);
            weights[zone(n.zone)] = kServers;
        }
    }

    static std::string zone(std::size_t z) {
        return std::string{"z"}.append(std::to_string(z));
    }

    struct Node {
        std::size_t zone = 0;
        bool up = true;
        std::unique_ptr<cl::Replica> shared, reports;
        std::unique_ptr<cl::Failover> failover;
        std::unique_ptr<cl::Voice> voice;
        milliseconds drawn{-1'000'000};
        int sees = 100;
        milliseconds learns{0};  // when it has found out what its zone's health is now
        int before = 100;
    };
    // A zone's state from now on; each router finds it out by its requests, within half a second.
    void set(std::size_t z, int health, double noise) {
        for (auto& n : nodes)
            if (n.zone == z) {
                n.before = n.sees;
                n.learns = now + milliseconds{100 + static_cast<int>(random_() % 400)};
            }
        health_[z] = {health, noise};
    }
    void run(milliseconds span) {
        for (const auto until = now + span; now < until;)
            step();
    }
    template <class Done>
    std::int64_t until(Done done) {
        const auto began = now;
        while ((now - began).count() < kMost) {
            step();
            if (now.count() % 50 == 0 && done())
                return (now - began).count();
        }
        return -1;
    }
    // Every running router (of the region, if one is named) has the zone's part out at `out`.
    bool all_have(std::size_t z, int out, const std::string& region = {}) const {
        return std::all_of(nodes.begin(), nodes.end(), [&](const Node& n) {
            return !n.up || (!region.empty() && settings.zones[n.zone].region != region) ||
                   n.failover->standings().at(zone(z)).decision.out() == out;
        });
    }

    cl::FailoverSettings settings;
    SimNet<cl::ReplicaMessage> net;
    std::vector<Node> nodes;
    std::map<std::string, std::string> alive;
    std::map<std::string, double> weights;
    milliseconds now{0};
    std::uint64_t bytes = 0, written = 0, changes = 0, flaps = 0;  // changes, flaps: as node 0 sees them
    double near = 0;  // sum over ticks of all routers' share that stays
    std::uint64_t ticks = 0;

private:
    struct Seen {
        int health = 100;
        double noise = 0;  // chance that a router finds a server bad in a second
    };
    void send(std::size_t from, std::vector<cl::OutgoingReplicaMessage> sends) {
        for (auto& s : sends) {
            bytes += cl::wire::encode(s.message).size();
            net.send(from, static_cast<std::size_t>(std::stoul(s.address)), std::move(s.message), s.stream(),
                     now);
        }
    }
    int sees(Node& n) {
        if (now < n.learns)
            return n.before;
        if (now - n.drawn >= milliseconds{1000}) {
            n.drawn = now;
            int up = 0;
            const int good = health_[n.zone].health * kServers / 100;
            for (int b = 0; b < good; ++b)
                up += std::uniform_real_distribution<>{0, 1}(random_) >= health_[n.zone].noise ? 1 : 0;
            n.sees = up * 20 / kServers * 5;
        }
        return n.sees;
    }
    void tick(std::size_t i) {
        auto& n = nodes[i];
        const auto unix_now = kEpoch + now.count();
        cl::Failover::Input in{now,    unix_now, {}, &alive, &n.reports->entries(), &n.shared->entries(),
                               weights};
        in.health.up = in.health.warm = sees(n);
        in.view_revision = 1;  // all are in view, whoever is down
        in.reports_revision = n.reports->revision();
        const auto step = n.failover->tick(in);
        std::map<std::string, std::string> wanted;
        if (step.report)
            wanted.emplace(cl::zone_subject(zone(n.zone)), *step.report);
        for (const auto& say : n.voice->tick(now, wanted, [](const std::string&) { return std::size_t{0}; }))
            if (const auto key = cl::report_key(say.subject, std::to_string(i)); say.value)
                n.reports->set(key, *say.value, unix_now);
            else
                n.reports->clear(key, unix_now);
        for (const auto& w : step.writes)
            written += n.shared->set(cl::decision_key(w.zone), cl::text_of(w.decision), unix_now);
        if (i == 0)
            for (const auto& c : step.changes) {
                ++changes;
                flaps += c.flap ? 1 : 0;
            }
        near += 1 - n.failover->standings().at(zone(n.zone)).decision.out() / 100.0;
        ++ticks;
        std::vector<std::string> peers;
        // Some of all, as many as a tick can name: drawn, as the replica draws among what it is given.
        while (peers.size() < 16) {
            const auto j = random_() % nodes.size();
            if (j != i && nodes[j].up)
                peers.push_back(std::to_string(j));
        }
        send(i, n.shared->tick(now, unix_now, peers));
        send(i, n.reports->tick(now, unix_now, peers));
        (void)n.shared->take_unsaved_changes();
        (void)n.reports->take_unsaved_changes();
        (void)n.shared->take_touched_keys();
        (void)n.reports->take_touched_keys();
    }
    void step() {
        while (auto a = net.next(now)) {
            auto& n = nodes[a->to];
            if (!n.up)
                continue;
            auto& replica = a->message.channel == 1 ? *n.reports : *n.shared;
            send(a->to, replica.receive(a->message, now, kEpoch + now.count()));
        }
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (nodes[i].up && (now.count() / 10 + static_cast<std::int64_t>(i)) % (tick_ / kStep) == 0)
                tick(i);
        now += kStep;
    }

    std::mt19937_64 random_;
    std::vector<Seen> health_;
    const milliseconds tick_;
};

}  // namespace

FailoverFigures measure_failover(const FailoverSimOptions& o) {
    FailoverFigures out;
    out.zones = std::clamp<std::size_t>(o.members / 25, 3, 60);
    out.regions = std::max<std::size_t>(2, out.zones / 5);
    FailoverSim sim{o, out.zones, out.regions};
    const auto n = static_cast<double>(o.members);
    sim.run(milliseconds{10'000});

    // Calm: one server in fifty is found bad by a router in a second.
    for (std::size_t z = 0; z < out.zones; ++z)
        sim.set(z, 100, 0.02);
    sim.bytes = sim.changes = 0;
    sim.near = 0;
    sim.ticks = 0;
    sim.run(milliseconds{o.calm_s * 1000});
    out.rest_bytes_per_s = static_cast<double>(sim.bytes) / n / static_cast<double>(o.calm_s);
    out.kept_near = sim.near / static_cast<double>(sim.ticks);
    out.calm_changes = sim.changes;

    const auto& region = sim.settings.zones[0].region;
    sim.written = sim.changes = 0;
    const auto lost = sim.now;
    sim.set(0, 0, 0);
    out.region_ms = sim.until([&] { return sim.all_have(0, 100, region); });
    if (out.region_ms >= 0 && sim.until([&] { return sim.all_have(0, 100); }) >= 0)
        out.fleet_ms = (sim.now - lost).count();
    sim.run(milliseconds{3000});
    out.epochs = sim.nodes[1].failover->standings().at(sim.zone(0)).decision.epoch;
    out.written = sim.written;

    const auto back = sim.now;
    sim.set(0, 100, 0);
    if (sim.until([&] { return sim.all_have(0, 0); }) >= 0)
        out.back_ms = (sim.now - back).count();

    if (o.decider_lost) {
        // Dead at once, and in nobody's view as dead for some seconds yet.
        const auto& f = *sim.nodes[0].failover;
        const auto epoch = f.standings().at(sim.zone(0)).decision.epoch;
        const auto who = std::stoul(f.turns(sim.zone(0), epoch + 1, sim.alive).front());
        sim.run(milliseconds{10'000});
        sim.set(0, 0, 0);
        sim.nodes[who].up = false;
        out.without_ms = sim.until([&] { return sim.all_have(0, 100, region); });
        sim.nodes[who].up = true;
        sim.set(0, 100, 0);
        sim.until([&] { return sim.all_have(0, 0); });
    }
    sim.set(1, 100, 0.36);  // what is left times 1.4 is about nine tenths: the least change
    sim.changes = sim.flaps = 0;
    sim.run(milliseconds{o.calm_s * 1000});
    out.changes_per_h = static_cast<double>(sim.changes) * 3600 / static_cast<double>(o.calm_s);
    out.flaps_per_h = static_cast<double>(sim.flaps) * 3600 / static_cast<double>(o.calm_s);
    return out;
}

}  // namespace silverrail::lab
