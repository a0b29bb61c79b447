#include "lab/replication_simulation.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "cluster/codec/message_codec.h"
#include "lab/simulated_network.h"

namespace silverrail::lab {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{10};
constexpr milliseconds kTickInterval{50};
constexpr cluster::UnixMs kEpoch = 1'800'000'000'000;  // the simulated wall clock at the start
constexpr std::int64_t kMaxClockSkewMs = 2'000;
constexpr std::size_t kOrigins = 8;  // of the keys that a fleet starts with

struct StoredState {
    cluster::Replica::Entries entries;
    cluster::Replica::WriterLogs origins;
};

// Replicas on a simulated network, each ticked in its own place of the period.
class ReplicaFleet {
public:
    struct Node {
        std::unique_ptr<cluster::Replica> replica;
        StoredState stored;
        bool up = false;
        cluster::UnixMs clock_skew = 0;
        std::uint64_t bytes_in = 0;
    };

    ReplicaFleet(std::size_t members, std::uint64_t seed, const cluster::ReplicaSettings& settings)
        : network(members, seed, LinkQuality{}), settings_(settings), seed_(seed), nodes(members) {
        for (std::size_t i = 0; i < members; ++i)
            peers_.push_back(std::to_string(i));
        for (std::size_t i = 0; i < members; ++i)
            start(i);
    }

    // A first start, or one after a crash: from what was stored.
    void start(std::size_t i) {
        auto& node = nodes[i];
        const auto name = std::to_string(i);
        node.replica = std::make_unique<cluster::Replica>(name, name, name + "@1", settings_,
                                                          seed_ * 1'000'003 + i + 7919 * ++starts_, now);
        node.replica->restore(node.stored.entries, node.stored.origins);
        node.up = true;
        (void)node.replica->take_touched_keys();
    }

    cluster::UnixMs wall_clock(const Node& node) const {
        return kEpoch + now.count() + node.clock_skew;
    }

    // Stored before anything of it goes out: what is sent is what would be found again after a crash.
    void store_changes(Node& node) {
        const auto changes = node.replica->take_unsaved_changes();
        if (changes.everything) {
            node.stored = {node.replica->entries(), node.replica->writer_logs()};
            return;
        }
        const auto& entries = node.replica->entries();
        for (const auto& key : changes.keys) {
            const auto entry = entries.find(key);
            if (entry == entries.end())
                node.stored.entries.erase(key);
            else
                node.stored.entries[key] = entry->second;
        }
        for (const auto& origin : changes.writers)
            node.stored.origins[origin] = node.replica->writer_logs().at(origin);
    }

    void run(milliseconds span) {
        for (const auto until = now + span; now < until;)
            step();
    }

    // How long until all replicas are equal; -1: longer than `max_ms`.
    std::int64_t run_until_equal(std::int64_t max_ms) {
        const auto began = now;
        while ((now - began).count() < max_ms) {
            step();
            if (have_equal_digests() && have_equal_values())
                return (now - began).count();
        }
        return -1;
    }

    SimulatedNetwork<cluster::ReplicaMessage> network;
    milliseconds now{0};
    std::uint64_t bytes = 0;

private:
    void send(std::size_t from, cluster::Replica::Outgoing messages) {
        store_changes(nodes[from]);
        for (auto& outgoing : messages) {
            const auto to = static_cast<std::size_t>(std::stoul(outgoing.address));
            const auto size = cluster::codec::encode(outgoing.message).size();
            bytes += size;
            nodes[to].bytes_in += size;
            const bool stream = outgoing.stream();
            network.send(from, to, std::move(outgoing.message), stream, now);
        }
    }

    void step() {
        while (auto arrival = network.next_arrival(now)) {
            auto& node = nodes[arrival->to];
            if (node.up)
                send(arrival->to, node.replica->receive(arrival->message, now, wall_clock(node)));
        }
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (nodes[i].up && (now.count() + static_cast<std::int64_t>(i) * 10) % kTickInterval.count() == 0)
                tick(i);
        now += kStep;
    }

    // Membership would name the members alive; here all but the node itself, the silent ones too.
    void tick(std::size_t i) {
        const auto own = std::exchange(peers_[i], std::to_string((i + 1) % nodes.size()));
        send(i, nodes[i].replica->tick(now, wall_clock(nodes[i]), peers_));
        peers_[i] = own;
    }

    bool have_equal_digests() const {
        return all_equal(
            [](const cluster::Replica& a, const cluster::Replica& b) { return a.digest() == b.digest(); });
    }
    bool have_equal_values() const {
        return all_equal([](const cluster::Replica& a, const cluster::Replica& b) {
            return live_writes(a) == live_writes(b);
        });
    }
    // Over all running replicas.
    template <class Equal>
    bool all_equal(Equal equal) const {
        const cluster::Replica* first = nullptr;
        for (const auto& node : nodes) {
            if (!node.up)
                continue;
            if (!first)
                first = node.replica.get();
            if (!equal(*node.replica, *first))
                return false;
        }
        return true;
    }

    // What is set, by key and origin: each replica collects the rest in its own time.
    static std::map<std::string, std::map<std::string, cluster::KeyWrite>> live_writes(
        const cluster::Replica& replica) {
        std::map<std::string, std::map<std::string, cluster::KeyWrite>> out;
        for (const auto& [key, entry] : replica.entries())
            for (const auto& [origin, write] : entry.writes)
                if (write.is_live())
                    out[key].emplace(origin,
                                     cluster::KeyWrite{write.set_version, 0, write.timestamp, write.value});
        return out;
    }

    cluster::ReplicaSettings settings_;
    std::uint64_t seed_;
    std::uint64_t starts_ = 0;
    std::vector<std::string> peers_;

public:
    std::vector<Node> nodes;
};

cluster::ReplicaSettings check_settings(const ReplicationCheck& check) {
    cluster::ReplicaSettings out;
    out.exchange_interval = milliseconds{500};
    out.tombstone_retention = check.tombstone_retention;
    if (check.reports)
        out.value_retention = check.tombstone_retention;
    out.max_exchange_bytes = 600;  // a few updates: exchanges are cut short often
    return out;
}

// The model check: random changes and faults, then what every replica must hold.
class ReplicationChecker {
public:
    explicit ReplicationChecker(const ReplicationCheck& check)
        : check_(check), random_(check.seed), fleet_(check.members, check.seed, check_settings(check)) {}

    ReplicationVerdict run() {
        fleet_.network.set_quality({.jitter = milliseconds{150}, .loss = 0.2, .duplicate = 0.1});
        for (auto& node : fleet_.nodes)
            node.clock_skew = static_cast<cluster::UnixMs>(draw_below(2 * kMaxClockSkewMs)) - kMaxClockSkewMs;
        while (fleet_.now.count() < check_.faults_ms) {
            fleet_.run(milliseconds{100 + static_cast<std::int64_t>(draw_below(300))});
            play_change_or_fault();
        }
        heal();
        verdict_.converged_ms = fleet_.run_until_equal(check_.max_convergence_ms);
        if (verdict_.converged_ms < 0)
            verdict_.violation = "copies differ after " + std::to_string(check_.max_convergence_ms) + " ms";
        for (const auto& node : fleet_.nodes)
            verify(*node.replica);
        return verdict_;
    }

private:
    std::uint64_t draw_below(std::uint64_t bound) {
        return random_() % bound;
    }

    // Of a hundred draws 60 change a key, 15 crash a member, 15 start one, 6 part one from the others.
    void play_change_or_fault() {
        const auto member = draw_below(check_.members);
        auto& node = fleet_.nodes[member];
        const auto draw = draw_below(100);
        if (draw < 60 && node.up) {
            change_key(node);
        } else if (draw < 75 && node.up) {
            node.up = false;  // in the middle of whatever it was at
            ++verdict_.crashes;
        } else if (draw < 90 && !node.up) {
            fleet_.start(member);
        } else if (draw < 96) {
            fleet_.network.set_partition(member, static_cast<int>(draw_below(3)));
            ++verdict_.partitions;
        }
    }

    void change_key(ReplicaFleet::Node& node) {
        const auto key = std::string{"key/"}.append(std::to_string(draw_below(check_.keys)));
        const auto unix_now = fleet_.wall_clock(node);
        const bool sets = draw_below(2) != 0;
        const bool taken = sets ? node.replica->set(key, std::to_string(verdict_.changes), unix_now)
                                : node.replica->clear(key, unix_now);
        if (!taken)
            verdict_.violation = "a change was refused";
        fleet_.store_changes(node);
        ++verdict_.changes;
        const auto& entries = node.replica->entries();
        if (const auto entry = entries.find(key); entry != entries.end()) {
            auto& sum = acknowledged_[key];
            sum = cluster::join(sum, entry->second);
        }
    }

    void heal() {
        for (std::size_t i = 0; i < check_.members; ++i) {
            fleet_.network.set_partition(i, 0);
            if (!fleet_.nodes[i].up)
                fleet_.start(i);
        }
        fleet_.network.set_quality(LinkQuality{});
    }

    void verify(const cluster::Replica& replica) {
        const auto& counters = replica.counters();
        verdict_.snapshots += counters.snapshots;
        verdict_.collected += counters.collected;
        verdict_.ahead += counters.ahead;
        for (const auto& [key, sum] : acknowledged_)
            for (const auto& [origin, write] : sum.writes)
                verify_write(key, write, find_write(replica, key, origin));
    }

    static const cluster::KeyWrite* find_write(const cluster::Replica& replica, const std::string& key,
                                               const std::string& origin) {
        const auto entry = replica.entries().find(key);
        if (entry == replica.entries().end())
            return nullptr;
        const auto write = entry->second.writes.find(origin);
        return write == entry->second.writes.end() ? nullptr : &write->second;
    }

    // What nobody cleared is set, and nothing that somebody cleared. `held` may be null.
    void verify_write(const std::string& key, const cluster::KeyWrite& acknowledged,
                      const cluster::KeyWrite* held) {
        const bool held_live = held && held->is_live();
        if (acknowledged.is_live() && !may_have_aged_out(acknowledged) &&
            (!held_live || held->set_version < acknowledged.set_version))
            verdict_.violation = "an acknowledged set of " + key + " is lost";
        if (!acknowledged.is_live() && held_live)
            verdict_.violation = key + " came back after it was cleared";
    }

    bool may_have_aged_out(const cluster::KeyWrite& write) const {
        return check_.reports && cluster::unix_ms_of(write.timestamp) + check_.tombstone_retention <
                                     kEpoch + fleet_.now.count() + 2 * kMaxClockSkewMs;
    }

    const ReplicationCheck& check_;
    std::mt19937_64 random_;
    ReplicaFleet fleet_;
    // Each change that was acknowledged: stored by its author before anyone was told.
    std::map<std::string, cluster::ReplicatedEntry> acknowledged_;
    ReplicationVerdict verdict_;
};

// The keys set by the first eight members, as if the fleet had run for long.
StoredState state_with_keys(const ReplicationScale& scale) {
    StoredState out;
    for (std::size_t k = 0; k < scale.keys; ++k) {
        const auto origin = std::to_string(k % std::min(kOrigins, scale.members)) + "@1";
        const auto key = std::string{"ban/10.0."}
                             .append(std::to_string(k / 250))
                             .append(".")
                             .append(std::to_string(k % 250));
        auto& log = out.origins[origin];
        log.add(++log.version, key);
        const auto timestamp = cluster::hybrid_timestamp(kEpoch - 60'000) | (k & 0xffff);
        out.entries[key] = {{{origin, {log.version, 0, timestamp, ""}}}, timestamp};
    }
    return out;
}

class ReplicationMeasurement {
public:
    explicit ReplicationMeasurement(const ReplicationScale& scale)
        : scale_(scale), fleet_(scale.members, scale.seed, {}) {}

    ReplicationFigures run() {
        measure_rest();
        set_key(0, 0);
        out_.spread_ms = fleet_.run_until_equal(kMaxConvergenceMs);
        measure_healing();
        measure_catching_up();
        for (const auto& node : fleet_.nodes)
            out_.snapshots += node.replica->counters().snapshots;
        return out_;
    }

private:
    static constexpr std::int64_t kMaxConvergenceMs = 120'000;
    static constexpr std::int64_t kRestSeconds = 20;

    void set_key(std::size_t member, std::size_t number) {
        auto& node = fleet_.nodes[member];
        node.replica->set(std::string{"ban/new-"}.append(std::to_string(number)), "",
                          fleet_.wall_clock(node));
        fleet_.store_changes(node);
    }

    double bytes_per_member() const {
        return static_cast<double>(fleet_.bytes) / static_cast<double>(scale_.members);
    }

    void measure_rest() {
        const auto state = state_with_keys(scale_);
        for (std::size_t i = 0; i < scale_.members; ++i) {
            fleet_.nodes[i].stored = state;
            fleet_.start(i);
        }
        fleet_.bytes = 0;
        fleet_.run(std::chrono::seconds{kRestSeconds});
        out_.rest_bytes_per_s = bytes_per_member() / kRestSeconds;
    }

    void measure_healing() {
        const auto parted = scale_.members * 3 / 8;
        for (std::size_t i = 0; i < parted; ++i)
            fleet_.network.set_partition(i, 1);
        fleet_.run(milliseconds{1'000});
        for (std::size_t k = 0; k < scale_.missed; ++k) {
            set_key(0, 1 + k);
            set_key(parted, 100'000 + k);
        }
        fleet_.run(milliseconds{29'000});
        for (std::size_t i = 0; i < parted; ++i)
            fleet_.network.set_partition(i, 0);
        fleet_.bytes = 0;
        out_.heal_ms = fleet_.run_until_equal(kMaxConvergenceMs);
        const auto seconds = static_cast<double>(std::max<std::int64_t>(1, out_.heal_ms)) / 1000;
        out_.heal_bytes_per_s = bytes_per_member() / seconds;
    }

    void measure_catching_up() {
        const auto member = scale_.members - 1;
        auto& away = fleet_.nodes[member];
        away.up = false;
        for (std::size_t k = 0; k < scale_.missed; ++k)
            set_key(1, 200'000 + k);
        fleet_.run(milliseconds{30'000});
        fleet_.start(member);
        away.bytes_in = 0;
        out_.catch_up_ms = fleet_.run_until_equal(kMaxConvergenceMs);
        out_.catch_up_bytes = away.bytes_in;
    }

    const ReplicationScale& scale_;
    ReplicaFleet fleet_;
    ReplicationFigures out_;
};

}  // namespace

ReplicationVerdict check_replication(const ReplicationCheck& check) {
    return ReplicationChecker{check}.run();
}

ReplicationFigures measure_replication(const ReplicationScale& scale) {
    return ReplicationMeasurement{scale}.run();
}

}  // namespace silverrail::lab
