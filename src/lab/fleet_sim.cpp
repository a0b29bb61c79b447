#include "lab/fleet_sim.h"

#include <algorithm>
#include <memory>

#include "cluster/wire.h"
#include "lab/sim_net.h"

namespace silverrail::lab {

namespace cl = cluster;
using std::chrono::milliseconds;

const char* name_of(Fault fault) {
    switch (fault) {
        case Fault::join:
            return "join";
        case Fault::calm:
            return "calm";
        case Fault::crash:
            return "crash";
        case Fault::stall:
            return "stall";
        case Fault::loss:
            return "loss";
        case Fault::partition:
            return "partition";
        case Fault::restart:
            return "restart";
    }
    return "?";
}

const std::vector<Fault>& all_faults() {
    static const std::vector<Fault> kAll{Fault::join, Fault::calm,      Fault::crash,  Fault::stall,
                                         Fault::loss, Fault::partition, Fault::restart};
    return kAll;
}

namespace {

constexpr milliseconds kStep{10};  // arrivals are delivered in steps of this
constexpr milliseconds kTick{50};  // a member's tick, as the program's timer at a 500 ms probe timeout
constexpr milliseconds kStallFor{3000};
constexpr milliseconds kCalmFor{60'000};
constexpr milliseconds kLossFor{60'000};
constexpr milliseconds kCutFor{30'000};

class FleetSim {
public:
    explicit FleetSim(const FleetSimOptions& options)
        : o_(options), net_(options.members, options.seed, SimLink{}), nodes_(options.members) {}

    FleetSimRow play(Fault fault) {
        row_ = {fault, o_.members, o_.seed};
        messages_ = bytes_ = 0;
        suspected_.clear();
        hit_.reset();
        auto began = now_;
        switch (fault) {
            case Fault::join:
                for (std::size_t i = 0; i < nodes_.size(); ++i)
                    start(i);
                settle(began);
                break;
            case Fault::calm:
                // Rest begins where the last news has been told.
                while (now_ < began + o_.most &&
                       std::any_of(
                           nodes_.begin(), nodes_.end(),
                           [](const Node& n) { return n.up && n.members->pending_gossip() > 0; }))
                    run_until(now_ + milliseconds{1000});
                began = now_;
                messages_ = bytes_ = 0;
                run_until(now_ + kCalmFor);
                row_.settled_ms = agreed() ? 0 : -1;
                break;
            case Fault::crash:
                hit_ = nodes_.size() / 2;
                nodes_[*hit_].up = false;
                settle(began);
                break;
            case Fault::stall:
                hit_ = nodes_.size() / 3;
                nodes_[*hit_].stopped_until = now_ + kStallFor;
                run_until(now_ + kStallFor);
                settle(began);
                break;
            case Fault::loss: {
                const auto before = net_.link();
                auto lossy = before;
                lossy.loss = o_.loss;
                net_.set(lossy);
                run_until(now_ + kLossFor);
                net_.set(before);
                settle(now_);
                break;
            }
            case Fault::partition: {
                // Three in eight on the other side, as in the tests with processes.
                for (std::size_t i = 0; i < nodes_.size() * 3 / 8; ++i)
                    net_.side(i, 1);
                run_until(now_ + kCutFor);
                // What is declared dead across the cut is so by right: it can't be heard.
                for (std::size_t i = 0; i < nodes_.size(); ++i)
                    net_.side(i, 0);
                settle(now_);
                break;
            }
            case Fault::restart: {
                // Killed and started again at once under its name; the one the crash took comes back too.
                nodes_[nodes_.size() / 4].up = false;
                for (std::size_t i = 0; i < nodes_.size(); ++i)
                    if (!nodes_[i].up)
                        start(i);
                settle(began);
                break;
            }
        }
        const double s = std::max(1.0, static_cast<double>((now_ - began).count()) / 1000.0);
        const auto n = static_cast<double>(nodes_.size());
        row_.messages_per_s = static_cast<double>(messages_) / n / s;
        row_.bytes_per_s = static_cast<double>(bytes_) / n / s;
        return row_;
    }

private:
    struct Node {
        std::unique_ptr<cl::Membership> members;
        bool up = false;
        milliseconds stopped_until{0};
        milliseconds next_tick{0};
        milliseconds streams_since{0};
        std::size_t streams = 0;
        std::vector<std::pair<std::size_t, cl::MembershipMessage>>
            queued;  // what waits in a stopped member's sockets
    };

    static std::string name(std::size_t i) {
        return std::to_string(i);
    }

    // A start or a restart: a new run of the name, its start told by the simulated clock.
    void start(std::size_t i) {
        auto& node = nodes_[i];
        std::vector<std::string> seeds;
        seeds.push_back(name(i == 0 ? nodes_.size() - 1 : 0));
        node.members = std::make_unique<cl::Membership>(
            cl::MemberIdentity{name(i), name(i), std::string{"z"}.append(name(i % 3)), "r1"},
            static_cast<std::uint64_t>(1'000 + now_.count()), o_.settings,
            o_.seed * 1'000'003 + i + starts_++, std::move(seeds), now_);
        node.up = true;
        // Members do not tick in step: each in its own place of the period.
        node.next_tick = now_ + milliseconds{static_cast<milliseconds::rep>(i * 7 % 50)};
    }

    bool runs(const Node& node) const {
        return node.up && node.stopped_until <= now_;
    }

    void send(std::size_t from, std::vector<cl::OutgoingMembershipMessage> sends) {
        for (auto& s : sends) {
            ++messages_;
            bytes_ += cl::wire::encode(s.message).size();
            net_.send(from, static_cast<std::size_t>(std::stoul(s.address)), std::move(s.message), s.stream(),
                      now_);
        }
    }

    void take_events(Node& node) {
        for (const auto& e : node.members->take_events()) {
            const auto about = static_cast<std::size_t>(std::stoul(e.member));
            const bool across =
                net_.side(about) != net_.side(static_cast<std::size_t>(&node - nodes_.data()));
            const bool at_fault = hit_ == about || across || !nodes_[about].up;
            if (e.kind == cl::MembershipEvent::Kind::suspect) {
                if (hit_ == about && row_.suspected_ms < 0)
                    row_.suspected_ms = (now_ - fault_at_).count();
                // One suspicion told to all is one, whatever number of views it reaches.
                if (!at_fault && suspected_.insert({about, e.incarnation}).second)
                    ++row_.false_suspicions;
            }
            if (e.kind == cl::MembershipEvent::Kind::dead &&
                (!at_fault || (hit_ == about && nodes_[about].up)))
                ++row_.false_deaths;
        }
    }

    void step() {
        while (auto a = net_.next(now_)) {
            auto& node = nodes_[a->to];
            if (!node.up)
                continue;
            if (node.stopped_until > now_) {
                if (node.queued.size() < 256)
                    node.queued.emplace_back(a->from, std::move(a->message));
                continue;
            }
            receive(a->to, a->message);
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            auto& node = nodes_[i];
            if (!runs(node) || node.next_tick > now_)
                continue;
            node.next_tick = now_ + kTick;
            send(i, node.members->tick(now_));
            for (auto& [from, message] : std::exchange(node.queued, {}))
                receive(i, message);
            take_events(node);
        }
        now_ += kStep;
    }

    void receive(std::size_t to, const cl::MembershipMessage& message) {
        auto& node = nodes_[to];
        if (message.kind == cl::MembershipMessage::Kind::push && message.digest) {
            // The transport takes so many streams at a time and turns the others away.
            if (now_ - node.streams_since > o_.settings.probe_interval / 10) {
                node.streams_since = now_;
                node.streams = 0;
            }
            if (++node.streams > o_.streams)
                return;
        }
        send(to, node.members->receive(message, now_));
        take_events(node);
    }

    void run_until(milliseconds until) {
        fault_at_ = now_;
        while (now_ < until)
            step();
    }

    // Every running member holds the running ones, and only those, for alive, each at the same incarnation.
    bool agreed() const {
        const cl::Membership* first = nullptr;
        std::size_t up = 0;
        for (const auto& node : nodes_)
            up += node.up ? 1 : 0;
        for (const auto& node : nodes_) {
            if (!node.up)
                continue;
            if (node.members->count(cl::MemberState::alive) != up ||
                node.members->count(cl::MemberState::suspect) != 0)
                return false;
            if (!first)
                first = node.members.get();
            if (node.members->digest() != first->digest())
                return false;
        }
        return true;
    }

    void settle(milliseconds from) {
        if (row_.fault != Fault::stall)
            fault_at_ = now_;
        const auto until = now_ + o_.most;
        while (now_ < until) {
            step();
            if (agreed()) {
                row_.settled_ms = (now_ - from).count();
                return;
            }
        }
    }

    const FleetSimOptions& o_;
    SimNet<cl::MembershipMessage> net_;
    std::vector<Node> nodes_;
    milliseconds now_{0};
    milliseconds fault_at_{0};
    std::uint64_t starts_ = 0;
    FleetSimRow row_;
    std::optional<std::size_t> hit_;
    std::set<std::pair<std::size_t, std::uint64_t>> suspected_;
    std::uint64_t messages_ = 0, bytes_ = 0;
};

}  // namespace

std::vector<FleetSimRow> simulate_fleet(const FleetSimOptions& options,
                                        const std::function<void(const FleetSimRow&)>& done) {
    FleetSim sim{options};
    std::vector<FleetSimRow> rows;
    for (const auto fault : all_faults()) {
        if (fault != Fault::join &&
            std::find(options.faults.begin(), options.faults.end(), fault) == options.faults.end())
            continue;
        rows.push_back(sim.play(fault));
        if (done)
            done(rows.back());
    }
    return rows;
}

}  // namespace silverrail::lab
