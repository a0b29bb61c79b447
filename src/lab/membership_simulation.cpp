#include "lab/membership_simulation.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "cluster/codec/message_codec.h"
#include "lab/simulated_network.h"

namespace silverrail::lab {

using std::chrono::milliseconds;

const char* name_of(MembershipScenario scenario) {
    switch (scenario) {
        case MembershipScenario::join:
            return "join";
        case MembershipScenario::calm:
            return "calm";
        case MembershipScenario::crash:
            return "crash";
        case MembershipScenario::stall:
            return "stall";
        case MembershipScenario::loss:
            return "loss";
        case MembershipScenario::partition:
            return "partition";
        case MembershipScenario::restart:
            return "restart";
    }
    return "?";
}

const std::vector<MembershipScenario>& all_membership_scenarios() {
    static const std::vector<MembershipScenario> all{
        MembershipScenario::join,   MembershipScenario::calm, MembershipScenario::crash,
        MembershipScenario::stall,  MembershipScenario::loss, MembershipScenario::partition,
        MembershipScenario::restart};
    return all;
}

namespace {

constexpr milliseconds kStep{10};          // arrivals are delivered in steps of this
constexpr milliseconds kTickInterval{50};  // of a member, as the program's timer at a 500 ms probe timeout
constexpr milliseconds kStallDuration{3000};
constexpr milliseconds kCalmDuration{60'000};
constexpr milliseconds kLossDuration{60'000};
constexpr milliseconds kPartitionDuration{30'000};
constexpr std::size_t kSocketQueue = 256;  // messages that wait for a stopped member

class MembershipSimulation {
public:
    explicit MembershipSimulation(const MembershipSimulationOptions& options)
        : options_(options),
          network_(options.members, options.seed, LinkQuality{}),
          nodes_(options.members) {}

    MembershipSimulationRow play(MembershipScenario scenario) {
        row_ = {scenario, options_.members, options_.seed};
        messages_ = bytes_ = 0;
        suspected_.clear();
        faulty_.reset();
        began_ = now_;
        play_faults(scenario);
        const double seconds = std::max(1.0, static_cast<double>((now_ - began_).count()) / 1000.0);
        const auto members = static_cast<double>(nodes_.size());
        row_.messages_per_s = static_cast<double>(messages_) / members / seconds;
        row_.bytes_per_s = static_cast<double>(bytes_) / members / seconds;
        return row_;
    }

private:
    struct Node {
        std::unique_ptr<cluster::Membership> membership;
        bool up = false;
        milliseconds stopped_until{0};
        milliseconds next_tick{0};
        milliseconds streams_since{0};
        std::size_t streams = 0;
        std::vector<cluster::MembershipMessage> queued;  // what waits in a stopped member's sockets
    };

    void play_faults(MembershipScenario scenario) {
        switch (scenario) {
            case MembershipScenario::join:
                return play_join();
            case MembershipScenario::calm:
                return play_calm();
            case MembershipScenario::crash:
                return play_crash();
            case MembershipScenario::stall:
                return play_stall();
            case MembershipScenario::loss:
                return play_loss();
            case MembershipScenario::partition:
                return play_partition();
            case MembershipScenario::restart:
                return play_restart();
        }
    }

    void play_join() {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            start(i);
        settle(began_);
    }

    // Rest begins where the last gossip has been sent.
    void play_calm() {
        while (now_ < began_ + options_.max_settle && has_pending_gossip())
            run_until(now_ + milliseconds{1000});
        began_ = now_;
        messages_ = bytes_ = 0;
        run_until(now_ + kCalmDuration);
        row_.settled_ms = has_agreement() ? 0 : -1;
    }

    void play_crash() {
        faulty_ = nodes_.size() / 2;
        nodes_[*faulty_].up = false;
        settle(began_);
    }

    void play_stall() {
        faulty_ = nodes_.size() / 3;
        nodes_[*faulty_].stopped_until = now_ + kStallDuration;
        run_until(now_ + kStallDuration);
        settle(began_);
    }

    void play_loss() {
        const auto quality = network_.quality();
        auto lossy = quality;
        lossy.loss = options_.loss;
        network_.set_quality(lossy);
        run_until(now_ + kLossDuration);
        network_.set_quality(quality);
        settle(now_);
    }

    // Three in eight on the other side, as in the tests with processes.
    void play_partition() {
        for (std::size_t i = 0; i < nodes_.size() * 3 / 8; ++i)
            network_.set_partition(i, 1);
        run_until(now_ + kPartitionDuration);
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            network_.set_partition(i, 0);
        settle(now_);
    }

    // Killed and started again at once under its name; the one that crashed comes back too.
    void play_restart() {
        nodes_[nodes_.size() / 4].up = false;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if (!nodes_[i].up)
                start(i);
        settle(began_);
    }

    static std::string name(std::size_t i) {
        return std::to_string(i);
    }

    // A start or a restart: a new run of the name, with its start by the simulated clock.
    void start(std::size_t i) {
        auto& node = nodes_[i];
        std::vector<std::string> seeds{name(i == 0 ? nodes_.size() - 1 : 0)};
        node.membership = std::make_unique<cluster::Membership>(
            cluster::MemberIdentity{name(i), name(i), std::string{"z"}.append(name(i % 3)), "r1"},
            static_cast<std::uint64_t>(1'000 + now_.count()), options_.settings,
            options_.seed * 1'000'003 + i + starts_++, std::move(seeds), now_);
        node.up = true;
        // Members do not tick in step: each in its own place of the period.
        node.next_tick = now_ + milliseconds{static_cast<milliseconds::rep>(i * 7 % 50)};
    }

    bool has_pending_gossip() const {
        return std::any_of(nodes_.begin(), nodes_.end(),
                           [](const Node& node) { return node.up && node.membership->pending_gossip() > 0; });
    }

    void send(std::size_t from, cluster::Membership::Outgoing messages) {
        for (auto& outgoing : messages) {
            ++messages_;
            bytes_ += cluster::codec::encode(outgoing.message).size();
            network_.send(from, static_cast<std::size_t>(std::stoul(outgoing.address)),
                          std::move(outgoing.message), outgoing.stream(), now_);
        }
    }

    void count_events(std::size_t observer) {
        for (const auto& event : nodes_[observer].membership->take_events()) {
            const auto member = static_cast<std::size_t>(std::stoul(event.member));
            const bool parted = network_.partition(member) != network_.partition(observer);
            const bool justified = faulty_ == member || parted || !nodes_[member].up;
            if (event.kind == cluster::MembershipEvent::Kind::suspect) {
                if (faulty_ == member && row_.suspected_ms < 0)
                    row_.suspected_ms = (now_ - fault_at_).count();
                // One suspicion spread to all is one, whatever number of views it reaches.
                if (!justified && suspected_.insert({member, event.incarnation}).second)
                    ++row_.false_suspicions;
            }
            const bool still_up = faulty_ == member && nodes_[member].up;
            if (event.kind == cluster::MembershipEvent::Kind::dead && (!justified || still_up))
                ++row_.false_deaths;
        }
    }

    void step() {
        while (auto arrival = network_.next_arrival(now_)) {
            auto& node = nodes_[arrival->to];
            if (!node.up)
                continue;
            if (node.stopped_until <= now_)
                receive(arrival->to, arrival->message);
            else if (node.queued.size() < kSocketQueue)
                node.queued.push_back(std::move(arrival->message));
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            tick(i);
        now_ += kStep;
    }

    void tick(std::size_t i) {
        auto& node = nodes_[i];
        if (!node.up || node.stopped_until > now_ || node.next_tick > now_)
            return;
        node.next_tick = now_ + kTickInterval;
        send(i, node.membership->tick(now_));
        for (const auto& message : std::exchange(node.queued, {}))
            receive(i, message);
        count_events(i);
    }

    void receive(std::size_t to, const cluster::MembershipMessage& message) {
        const bool opens_stream = message.kind == cluster::MembershipMessage::Kind::push && message.digest;
        if (opens_stream && !accept_stream(nodes_[to]))
            return;
        send(to, nodes_[to].membership->receive(message, now_));
        count_events(to);
    }

    // The transport takes so many streams at a time and rejects the others.
    bool accept_stream(Node& node) const {
        if (now_ - node.streams_since > options_.settings.probe_interval / 10) {
            node.streams_since = now_;
            node.streams = 0;
        }
        return ++node.streams <= options_.max_streams;
    }

    void run_until(milliseconds until) {
        fault_at_ = now_;
        while (now_ < until)
            step();
    }

    // Every running member holds the running ones, and only those, for alive, each at the same incarnation.
    bool has_agreement() const {
        const cluster::Membership* first = nullptr;
        const auto up = static_cast<std::size_t>(
            std::count_if(nodes_.begin(), nodes_.end(), [](const Node& node) { return node.up; }));
        for (const auto& node : nodes_) {
            if (!node.up)
                continue;
            const auto& membership = *node.membership;
            if (membership.count(cluster::MemberState::alive) != up ||
                membership.count(cluster::MemberState::suspect) != 0)
                return false;
            if (!first)
                first = &membership;
            if (membership.digest() != first->digest())
                return false;
        }
        return true;
    }

    void settle(milliseconds from) {
        if (row_.scenario != MembershipScenario::stall)
            fault_at_ = now_;
        const auto until = now_ + options_.max_settle;
        while (now_ < until) {
            step();
            if (has_agreement()) {
                row_.settled_ms = (now_ - from).count();
                return;
            }
        }
    }

    const MembershipSimulationOptions& options_;
    SimulatedNetwork<cluster::MembershipMessage> network_;
    std::vector<Node> nodes_;
    milliseconds now_{0};
    milliseconds began_{0};
    milliseconds fault_at_{0};
    std::uint64_t starts_ = 0;
    MembershipSimulationRow row_;
    std::optional<std::size_t> faulty_;
    std::set<std::pair<std::size_t, std::uint64_t>> suspected_;  // member and incarnation
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
};

}  // namespace

std::vector<MembershipSimulationRow> simulate_membership(
    const MembershipSimulationOptions& options,
    const std::function<void(const MembershipSimulationRow&)>& on_row) {
    MembershipSimulation simulation{options};
    std::vector<MembershipSimulationRow> rows;
    for (const auto scenario : all_membership_scenarios()) {
        const auto& chosen = options.scenarios;
        if (scenario != MembershipScenario::join &&
            std::find(chosen.begin(), chosen.end(), scenario) == chosen.end())
            continue;
        rows.push_back(simulation.play(scenario));
        if (on_row)
            on_row(rows.back());
    }
    return rows;
}

}  // namespace silverrail::lab
