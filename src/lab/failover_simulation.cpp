#include "lab/failover_simulation.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "cluster/codec/message_codec.h"
#include "cluster/failover/failover_codec.h"
#include "cluster/reports/report_publisher.h"
#include "lab/simulated_network.h"

namespace silverrail::lab {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{10};
constexpr milliseconds kTickInterval{100};
constexpr milliseconds kSlowTickInterval{250};  // over kManyMembers: a run would else take an hour
constexpr std::size_t kManyMembers = 1000;
constexpr cluster::UnixMs kEpoch = 1'800'000'000'000;
constexpr int kServersPerZone = 8;  // of equal weight
constexpr std::int64_t kMaxWaitMs = 60'000;
constexpr std::size_t kPeersPerTick = 16;
constexpr std::uint8_t kReportsChannel = 1;

std::string zone_name(std::size_t zone) {
    return std::string{"z"}.append(std::to_string(zone));
}

std::size_t no_other_reporters(const std::string&) {
    return 0;
}

cluster::ReplicaSettings report_settings() {
    cluster::ReplicaSettings out;
    out.channel = kReportsChannel;
    out.fast_exchange_interval = cluster::Time{0};
    out.value_retention = 60'000;
    out.tombstone_retention = 120'000;
    return out;
}

class FailoverSimulation {
public:
    FailoverSimulation(const FailoverSimulationOptions& options, std::size_t zones, std::size_t regions)
        : network_(options.members, options.seed, LinkQuality{.loss = options.loss}),
          random_(options.seed),
          zone_health_(zones),
          tick_interval_(options.members > kManyMembers ? kSlowTickInterval : kTickInterval) {
        for (std::size_t zone = 0; zone < zones; ++zone) {
            const auto region = std::string{"r"}.append(std::to_string(zone * regions / zones));
            const auto routers = (options.members + zones - 1 - zone) / zones;
            settings.zones.push_back({zone_name(zone), region, routers});
        }
        nodes.resize(options.members);
        for (std::size_t i = 0; i < options.members; ++i)
            add_router(i, i % zones, options.seed);
    }

    struct Node {
        std::size_t zone = 0;
        bool up = true;
        std::unique_ptr<cluster::Replica> state;
        std::unique_ptr<cluster::Replica> reports;
        std::unique_ptr<cluster::Failover> failover;
        std::unique_ptr<cluster::ReportPublisher> publisher;
        milliseconds health_drawn{-1'000'000};
        int seen_health = 100;
        milliseconds notices_at{0};  // when it has found out what its zone's health is now
        int health_before = 100;
    };

    // The health of a zone from now on; each router finds it out by its requests, within half a second.
    // `noise`: the chance that a router finds a server unhealthy in a second.
    void set_zone_health(std::size_t zone, int health, double noise) {
        for (auto& node : nodes)
            if (node.zone == zone) {
                node.health_before = node.seen_health;
                node.notices_at = now + milliseconds{100 + static_cast<int>(random_() % 400)};
            }
        zone_health_[zone] = {health, noise};
    }
    void run(milliseconds span) {
        for (const auto until = now + span; now < until;)
            step();
    }
    // How long until `is_done`; -1: longer than a minute.
    template <class IsDone>
    std::int64_t run_until(IsDone is_done) {
        const auto began = now;
        while ((now - began).count() < kMaxWaitMs) {
            step();
            if (now.count() % 50 == 0 && is_done())
                return (now - began).count();
        }
        return -1;
    }
    // Every running router (of the region, if one is named) lets `percent` of the zone's requests leave.
    bool all_act_on(std::size_t zone, int percent, const std::string& region = {}) const {
        return std::all_of(nodes.begin(), nodes.end(), [&](const Node& node) {
            return !node.up || (!region.empty() && settings.zones[node.zone].region != region) ||
                   decision(node, zone).percent_leaving() == percent;
        });
    }
    static const cluster::FailoverDecision& decision(const Node& node, std::size_t zone) {
        return node.failover->zones().at(zone_name(zone)).decision;
    }
    // The router whose turn it would be to write the zone's next decision.
    std::size_t next_writer(std::size_t zone) const {
        const auto epoch = decision(nodes[0], zone).epoch + 1;
        return std::stoul(nodes[0].failover->writer_order(zone_name(zone), epoch, alive_).front());
    }

    cluster::FailoverSettings settings;
    std::vector<Node> nodes;
    milliseconds now{0};
    std::uint64_t bytes = 0;
    std::uint64_t written = 0;
    std::uint64_t changes = 0;  // as router 0 sees them
    std::uint64_t flaps = 0;    // the same
    double staying_shares = 0;  // sum over the ticks of all routers
    std::uint64_t ticks = 0;

private:
    struct SimulatedHealth {
        int health = 100;
        double noise = 0;
    };

    void add_router(std::size_t i, std::size_t zone, std::uint64_t seed) {
        auto& node = nodes[i];
        const auto name = std::to_string(i);
        node.zone = zone;
        node.state = std::make_unique<cluster::Replica>(name, name, name + "@1", cluster::ReplicaSettings{},
                                                        seed * 7919 + i, now);
        node.reports = std::make_unique<cluster::Replica>(name, name, name + "@1", report_settings(),
                                                          seed * 104729 + i, now);
        node.failover = std::make_unique<cluster::Failover>(name, zone_name(zone), settings);
        node.publisher = std::make_unique<cluster::ReportPublisher>(
            cluster::ReportPublisher::Settings{.refresh_interval = cluster::Time{20'000}}, seed + i);
        alive_[name] = zone_name(zone);
        weights_[zone_name(zone)] = kServersPerZone;
    }

    void send(std::size_t from, cluster::Replica::Outgoing messages) {
        for (auto& outgoing : messages) {
            bytes += cluster::codec::encode(outgoing.message).size();
            const bool stream = outgoing.stream();
            network_.send(from, static_cast<std::size_t>(std::stoul(outgoing.address)),
                          std::move(outgoing.message), stream, now);
        }
    }

    int see_health(Node& node) {
        if (now < node.notices_at)
            return node.health_before;
        if (now - node.health_drawn >= milliseconds{1000}) {
            node.health_drawn = now;
            const auto& zone = zone_health_[node.zone];
            const int good = zone.health * kServersPerZone / 100;
            int healthy = 0;
            for (int server = 0; server < good; ++server)
                healthy += std::uniform_real_distribution<>{0, 1}(random_) >= zone.noise ? 1 : 0;
            node.seen_health = healthy * 20 / kServersPerZone * 5;
        }
        return node.seen_health;
    }

    void tick(std::size_t i) {
        auto& node = nodes[i];
        const auto unix_now = kEpoch + now.count();
        cluster::Failover::Input input;
        input.now = now;
        input.unix_now = unix_now;
        input.alive = &alive_;
        input.reports = &node.reports->entries();
        input.state = &node.state->entries();
        input.weights = weights_;
        input.health.healthy = input.health.warm = see_health(node);
        input.alive_revision = 1;  // all are in view, whoever is down
        input.reports_revision = node.reports->revision();
        const auto result = node.failover->tick(input);
        publish_report(i, result.report);
        for (const auto& write : result.writes)
            written +=
                node.state->set(cluster::decision_key(write.zone), cluster::encode(write.decision), unix_now);
        count(i, result);
        exchange(i);
    }

    void publish_report(std::size_t i, const std::optional<cluster::ZoneHealth>& report) {
        auto& node = nodes[i];
        const auto unix_now = kEpoch + now.count();
        std::map<std::string, std::string> reports;
        if (report)
            reports.emplace(cluster::zone_subject(zone_name(node.zone)), cluster::encode(*report));
        for (const auto& update : node.publisher->tick(now, reports, no_other_reporters)) {
            const auto key = cluster::report_key(update.subject, std::to_string(i));
            if (update.value)
                node.reports->set(key, *update.value, unix_now);
            else
                node.reports->clear(key, unix_now);
        }
    }

    void count(std::size_t i, const cluster::Failover::Result& result) {
        if (i == 0)
            for (const auto& change : result.changes) {
                ++changes;
                flaps += change.flap ? 1 : 0;
            }
        staying_shares += 1 - decision(nodes[i], nodes[i].zone).percent_leaving() / 100.0;
        ++ticks;
    }

    // With some of all peers, as many as a tick can name.
    void exchange(std::size_t i) {
        auto& node = nodes[i];
        const auto unix_now = kEpoch + now.count();
        std::vector<std::string> peers;
        while (peers.size() < kPeersPerTick) {
            const auto peer = random_() % nodes.size();
            if (peer != i && nodes[peer].up)
                peers.push_back(std::to_string(peer));
        }
        for (auto* replica : {node.state.get(), node.reports.get()})
            send(i, replica->tick(now, unix_now, peers));
        for (auto* replica : {node.state.get(), node.reports.get()}) {
            (void)replica->take_unsaved_changes();
            (void)replica->take_touched_keys();
        }
    }

    void step() {
        while (auto arrival = network_.next_arrival(now)) {
            auto& node = nodes[arrival->to];
            if (!node.up)
                continue;
            auto& replica = arrival->message.channel == kReportsChannel ? *node.reports : *node.state;
            send(arrival->to, replica.receive(arrival->message, now, kEpoch + now.count()));
        }
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (nodes[i].up &&
                (now.count() / 10 + static_cast<std::int64_t>(i)) % (tick_interval_ / kStep) == 0)
                tick(i);
        now += kStep;
    }

    SimulatedNetwork<cluster::ReplicaMessage> network_;
    std::map<std::string, std::string> alive_;
    cluster::ZoneWeights weights_;
    std::mt19937_64 random_;
    std::vector<SimulatedHealth> zone_health_;
    const milliseconds tick_interval_;
};

class FailoverMeasurement {
public:
    explicit FailoverMeasurement(const FailoverSimulationOptions& options)
        : options_(options),
          zones_(std::clamp<std::size_t>(options.members / 25, 3, 60)),
          regions_(std::max<std::size_t>(2, zones_ / 5)),
          simulation_(options, zones_, regions_) {
        out_.zones = zones_;
        out_.regions = regions_;
    }

    FailoverFigures run() {
        simulation_.run(milliseconds{10'000});
        measure_calm();
        measure_lost_zone();
        measure_return();
        if (options_.writer_lost)
            measure_lost_writer();
        measure_threshold();
        return out_;
    }

private:
    static constexpr double kCalmNoise = 0.02;
    // What is left times the overprovisioning is about nine tenths: the least change.
    static constexpr double kThresholdNoise = 0.36;

    void measure_calm() {
        for (std::size_t zone = 0; zone < zones_; ++zone)
            simulation_.set_zone_health(zone, 100, kCalmNoise);
        simulation_.bytes = simulation_.changes = 0;
        simulation_.staying_shares = 0;
        simulation_.ticks = 0;
        simulation_.run(std::chrono::seconds{options_.calm_s});
        out_.rest_bytes_per_s = static_cast<double>(simulation_.bytes) /
                                static_cast<double>(options_.members) / static_cast<double>(options_.calm_s);
        out_.kept_near = simulation_.staying_shares / static_cast<double>(simulation_.ticks);
        out_.calm_changes = simulation_.changes;
    }

    const std::string& region_of_lost_zone() const {
        return simulation_.settings.zones[0].region;
    }

    void measure_lost_zone() {
        simulation_.written = simulation_.changes = 0;
        const auto lost_at = simulation_.now;
        simulation_.set_zone_health(0, 0, 0);
        out_.region_ms =
            simulation_.run_until([&] { return simulation_.all_act_on(0, 100, region_of_lost_zone()); });
        if (out_.region_ms >= 0 && simulation_.run_until([&] { return simulation_.all_act_on(0, 100); }) >= 0)
            out_.fleet_ms = (simulation_.now - lost_at).count();
        simulation_.run(milliseconds{3000});
        out_.epochs = FailoverSimulation::decision(simulation_.nodes[1], 0).epoch;
        out_.written = simulation_.written;
    }

    void measure_return() {
        const auto back_at = simulation_.now;
        simulation_.set_zone_health(0, 100, 0);
        if (simulation_.run_until([&] { return simulation_.all_act_on(0, 0); }) >= 0)
            out_.back_ms = (simulation_.now - back_at).count();
    }

    // Dead at once, and in nobody's view as dead for some seconds yet.
    void measure_lost_writer() {
        const auto writer = simulation_.next_writer(0);
        simulation_.run(milliseconds{10'000});
        simulation_.set_zone_health(0, 0, 0);
        simulation_.nodes[writer].up = false;
        out_.without_writer_ms =
            simulation_.run_until([&] { return simulation_.all_act_on(0, 100, region_of_lost_zone()); });
        simulation_.nodes[writer].up = true;
        simulation_.set_zone_health(0, 100, 0);
        simulation_.run_until([&] { return simulation_.all_act_on(0, 0); });
    }

    void measure_threshold() {
        simulation_.set_zone_health(1, 100, kThresholdNoise);
        simulation_.changes = simulation_.flaps = 0;
        simulation_.run(std::chrono::seconds{options_.calm_s});
        const auto seconds = static_cast<double>(options_.calm_s);
        out_.changes_per_h = static_cast<double>(simulation_.changes) * 3600 / seconds;
        out_.flaps_per_h = static_cast<double>(simulation_.flaps) * 3600 / seconds;
    }

    const FailoverSimulationOptions& options_;
    std::size_t zones_;
    std::size_t regions_;
    FailoverSimulation simulation_;
    FailoverFigures out_;
};

}  // namespace

FailoverFigures measure_failover(const FailoverSimulationOptions& options) {
    return FailoverMeasurement{options}.run();
}

}  // namespace silverrail::lab
