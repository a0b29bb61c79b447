#include "lab/replica_sim.h"

#include <algorithm>
#include <memory>

#include "cluster/wire.h"
#include "lab/sim_net.h"

namespace silverrail::lab {

namespace cl = cluster;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{10};
constexpr milliseconds kTick{50};
constexpr cl::UnixMs kEpoch = 1'800'000'000'000;  // what the simulated wall clock shows at the start

struct Stored {
    std::map<std::string, cl::ReplicatedEntry> entries;
    std::map<std::string, cl::OriginLog> origins;
};

// Replicas on a simulated network, each ticked in its own place of the period.
class ReplicaNet {
public:
    ReplicaNet(std::size_t members, std::uint64_t seed, cl::ReplicaSettings settings)
        : net(members, seed, SimLink{}), settings_(settings), seed_(seed), nodes(members) {
        for (std::size_t i = 0; i < members; ++i)
            start(i);
    }

    struct Node {
        std::unique_ptr<cl::Replica> replica;
        Stored stored;
        bool up = false;
        cl::UnixMs skew = 0;  // of its wall clock
        std::uint64_t bytes_in = 0;
    };

    // A first start, or one after a crash: from what was stored.
    void start(std::size_t i) {
        auto& node = nodes[i];
        const auto name = std::to_string(i);
        node.replica = std::make_unique<cl::Replica>(name, name, name + "@1", settings_,
                                                     seed_ * 1'000'003 + i + 7919 * ++starts_, now);
        node.replica->restore(node.stored.entries, node.stored.origins);
        node.up = true;
        (void)node.replica->take_touched_keys();
    }

    cl::UnixMs wall(const Node& node) const {
        return kEpoch + now.count() + node.skew;
    }

    // Written down before anything of it goes out: what is sent is what would be found again after a crash.
    void commit(Node& node) {
        const auto changes = node.replica->take_unsaved_changes();
        if (changes.everything) {
            node.stored = {node.replica->entries(), node.replica->origins()};
            return;
        }
        for (const auto& key : changes.keys) {
            const auto found = node.replica->entries().find(key);
            if (found == node.replica->entries().end())
                node.stored.entries.erase(key);
            else
                node.stored.entries[key] = found->second;
        }
        for (const auto& origin : changes.origins)
            node.stored.origins[origin] = node.replica->origins().at(origin);
    }

    void send(std::size_t from, std::vector<cl::OutgoingReplicaMessage> sends) {
        commit(nodes[from]);
        for (auto& s : sends) {
            const auto to = static_cast<std::size_t>(std::stoul(s.address));
            const auto size = cl::wire::encode(s.message).size();
            bytes += size;
            nodes[to].bytes_in += size;
            net.send(from, to, std::move(s.message), s.stream(), now);
        }
    }

    void step() {
        while (auto a = net.next(now)) {
            auto& node = nodes[a->to];
            if (node.up)
                send(a->to, node.replica->receive(a->message, now, wall(node)));
        }
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            auto& node = nodes[i];
            if (!node.up || (now.count() + static_cast<std::int64_t>(i) * 10) % kTick.count() != 0)
                continue;
            // The view would name the members alive; here all but ourselves, the silent ones too.
            if (peers_.size() != nodes.size()) {
                peers_.clear();
                for (std::size_t j = 0; j < nodes.size(); ++j)
                    peers_.push_back(std::to_string(j));
            }
            const auto own = std::exchange(peers_[i], std::to_string((i + 1) % nodes.size()));
            send(i, node.replica->tick(now, wall(node), peers_));
            peers_[i] = own;
        }
        now += kStep;
    }
    void run(milliseconds span) {
        for (const auto until = now + span; now < until;)
            step();
    }

    // What is in force: what each has still to forget is its own affair.
    static std::map<std::string, std::map<std::string, cl::OriginWrite>> live(const cl::Replica& replica) {
        std::map<std::string, std::map<std::string, cl::OriginWrite>> out;
        for (const auto& [key, entry] : replica.entries())
            for (const auto& [origin, write] : entry.writes)
                if (write.is_live())
                    out[key].emplace(origin,
                                     cl::OriginWrite{write.set_version, 0, write.timestamp, write.value});
        return out;
    }
    // All running copies hold the same numbers and, `deep`, the same in force.
    bool equal(bool deep) const {
        const cl::Replica* first = nullptr;
        for (const auto& node : nodes) {
            if (!node.up)
                continue;
            if (!first)
                first = node.replica.get();
            if (node.replica->digest() != first->digest())
                return false;
            if (deep && live(*node.replica) != live(*first))
                return false;
        }
        return true;
    }
    std::int64_t until_equal(std::int64_t most) {
        const auto began = now;
        while ((now - began).count() < most) {
            step();
            if (equal(false) && equal(true))
                return (now - began).count();
        }
        return -1;
    }

    SimNet<cl::ReplicaMessage> net;
    milliseconds now{0};
    std::uint64_t bytes = 0;

private:
    cl::ReplicaSettings settings_;
    std::uint64_t seed_, starts_ = 0;
    std::vector<std::string> peers_;

public:
    std::vector<Node> nodes;
};

}  // namespace

ReplicaVerdict check_replicas(const ReplicaCheck& check) {
    ReplicaVerdict out;
    std::mt19937_64 dice{check.seed};
    const auto under = [&dice](std::uint64_t n) {
        return dice() % n;
    };
    cl::ReplicaSettings settings;
    settings.exchange_interval = milliseconds{500};
    settings.tombstone_retention = check.tombstone_keep;
    if (check.learned)
        settings.value_retention = check.tombstone_keep;
    settings.max_exchange_bytes = 600;  // a few updates: rounds are cut short often
    ReplicaNet fleet{check.members, check.seed, settings};
    SimLink rough;
    rough.loss = 0.2;
    rough.duplicate = 0.1;
    rough.jitter = milliseconds{150};
    fleet.net.set(rough);
    for (auto& node : fleet.nodes)
        node.skew = static_cast<cl::UnixMs>(under(4'000)) - 2'000;

    // Each change that was acknowledged: stored by its author before anyone was told.
    std::map<std::string, cl::ReplicatedEntry> acknowledged;
    while (fleet.now.count() < check.trouble_ms) {
        fleet.run(milliseconds{100 + static_cast<std::int64_t>(under(300))});
        const auto i = under(check.members);
        auto& node = fleet.nodes[i];
        const auto what = under(100);
        if (what < 60 && node.up) {
            const auto key = std::string{"key/"}.append(std::to_string(under(check.keys)));
            const auto wall = fleet.wall(node);
            const bool done = under(2) ? node.replica->set(key, std::to_string(out.changes), wall)
                                       : node.replica->clear(key, wall);
            if (!done)
                out.wrong = "a change was refused";
            fleet.commit(node);
            ++out.changes;
            if (const auto at = node.replica->entries().find(key); at != node.replica->entries().end()) {
                auto& sum = acknowledged[key];
                sum = cl::join(sum, at->second);
            }
        } else if (what < 75 && node.up) {
            node.up = false;  // in the middle of whatever it was at
            ++out.crashes;
        } else if (what < 90 && !node.up) {
            fleet.start(i);
        } else if (what < 96) {
            fleet.net.side(i, static_cast<int>(under(3)));
            ++out.cuts;
        }
    }
    for (std::size_t i = 0; i < check.members; ++i) {
        fleet.net.side(i, 0);
        if (!fleet.nodes[i].up)
            fleet.start(i);
    }
    fleet.net.set(SimLink{});
    out.converged_ms = fleet.until_equal(check.most_ms);
    if (out.converged_ms < 0)
        out.wrong = "copies differ after " + std::to_string(check.most_ms) + " ms";
    for (const auto& node : fleet.nodes) {
        out.full_copies += node.replica->counters().snapshots;
        out.forgotten += node.replica->counters().collected;
        out.ahead += node.replica->counters().ahead;
        for (const auto& [key, sum] : acknowledged) {
            const auto at = node.replica->entries().find(key);
            const bool held = at != node.replica->entries().end();
            // Write by write: what no one undid is in force, and nothing that someone undid. What is learned
            // may be past its time.
            for (const auto& [origin, write] : sum.writes) {
                const cl::OriginWrite* here = nullptr;
                if (held)
                    if (const auto m = at->second.writes.find(origin); m != at->second.writes.end())
                        here = &m->second;
                const bool aged = check.learned && cl::unix_ms_of(write.timestamp) + check.tombstone_keep <
                                                       kEpoch + fleet.now.count() + 4'000;
                if (write.is_live() && !aged &&
                    (!here || !here->is_live() || here->set_version < write.set_version))
                    out.wrong = "an acknowledged set of " + key + " is lost";
                if (!write.is_live() && here && here->is_live())
                    out.wrong = key + " came back after it was cleared";
            }
        }
    }
    return out;
}

ReplicaFigures measure_replicas(const ReplicaScale& scale) {
    ReplicaFigures out;
    ReplicaNet fleet{scale.members, scale.seed, {}};
    const auto n = static_cast<double>(scale.members);
    // Every copy holds the keys, said by the first eight members, as if it had run for long.
    Stored full;
    for (std::size_t k = 0; k < scale.keys; ++k) {
        const auto origin = std::to_string(k % std::min<std::size_t>(8, scale.members)) + "@1";
        const auto key = std::string{"ban/10.0."}
                             .append(std::to_string(k / 250))
                             .append(".")
                             .append(std::to_string(k % 250));
        auto& o = full.origins[origin];
        o.add(++o.version, key);
        const auto at = cl::hybrid_timestamp(kEpoch - 60'000) | (k & 0xffff);
        full.entries[key] = {{{origin, {o.version, 0, at, ""}}}, at};
    }
    for (std::size_t i = 0; i < scale.members; ++i) {
        fleet.nodes[i].stored = full;
        fleet.start(i);
    }
    fleet.bytes = 0;
    fleet.run(milliseconds{20'000});
    out.rest_bytes_per_s = static_cast<double>(fleet.bytes) / n / 20;

    const auto change = [&](std::size_t i, std::size_t k) {
        auto& node = fleet.nodes[i];
        node.replica->set(std::string{"ban/new-"}.append(std::to_string(k)), "", fleet.wall(node));
        fleet.commit(node);
    };
    change(0, 0);
    out.spread_ms = fleet.until_equal(120'000);

    const auto side = scale.members * 3 / 8;
    for (std::size_t i = 0; i < side; ++i)
        fleet.net.side(i, 1);
    fleet.run(milliseconds{1'000});
    for (std::size_t k = 0; k < scale.missed; ++k) {
        change(0, 1 + k);
        change(side, 100'000 + k);
    }
    fleet.run(milliseconds{29'000});
    for (std::size_t i = 0; i < side; ++i)
        fleet.net.side(i, 0);
    fleet.bytes = 0;
    out.heal_ms = fleet.until_equal(120'000);
    out.heal_bytes_per_s = static_cast<double>(fleet.bytes) / n /
                           (static_cast<double>(std::max<std::int64_t>(1, out.heal_ms)) / 1000);

    auto& away = fleet.nodes[scale.members - 1];
    away.up = false;
    for (std::size_t k = 0; k < scale.missed; ++k)
        change(1, 200'000 + k);
    fleet.run(milliseconds{30'000});
    fleet.start(scale.members - 1);
    away.bytes_in = 0;
    out.catch_up_ms = fleet.until_equal(120'000);
    out.catch_up_bytes = away.bytes_in;
    for (const auto& node : fleet.nodes)
        out.full_copies += node.replica->counters().snapshots;
    return out;
}

}  // namespace silverrail::lab
