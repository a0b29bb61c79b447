// A simulated network in simulated time, for the state machines of src/cluster: seeded delay, loss,
// duplication, and members cut off from one another. One thread; the same seed and calls give the same run.
// Bounded by what is under way: a message is held from its sending to its arrival.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace silverrail::lab {

using SimTime = std::chrono::milliseconds;

struct SimLink {
    SimTime delay{1};
    SimTime jitter{2};     // added, drawn evenly from 0 to this: it also reorders
    double loss = 0;       // share of datagrams; streams resend, so they arrive late instead
    double duplicate = 0;  // share of datagrams that come twice
};

// Members are 0 to n - 1. A side is a number; members of different sides do not hear each other.
template <class Message>
class SimNet {
public:
    SimNet(std::size_t members, std::uint64_t seed, SimLink link)
        : link_(link), random_(seed), side_(members, 0) {}

    void set(SimLink link) {
        link_ = link;
    }
    const SimLink& link() const {
        return link_;
    }
    void side(std::size_t member, int side) {
        side_.at(member) = side;
    }
    int side(std::size_t member) const {
        return side_.at(member);
    }

    void send(std::size_t from, std::size_t to, Message message, bool stream, SimTime now) {
        if (side_[from] != side_[to])
            return;
        SimTime late{0};
        if (chance(link_.loss)) {
            if (!stream)
                return;
            late = kResend;
        }
        if (!stream && chance(link_.duplicate))
            put(from, to, message, now + travel());
        put(from, to, std::move(message), now + travel() + late);
    }

    struct Arrival {
        std::size_t from, to;
        Message message;
    };
    // The next message due by `now`; one that a cut has overtaken is gone.
    std::optional<Arrival> next(SimTime now) {
        while (!under_way_.empty() && under_way_.begin()->first <= now) {
            Arrival a = std::move(under_way_.begin()->second);
            under_way_.erase(under_way_.begin());
            if (side_[a.from] == side_[a.to])
                return a;
        }
        return std::nullopt;
    }

private:
    static constexpr SimTime kResend{200};  // TCP's least retransmission time on Linux
    bool chance(double p) {
        return p > 0 && std::uniform_real_distribution<>{0, 1}(random_) < p;
    }
    SimTime travel() {
        return link_.delay + SimTime{static_cast<SimTime::rep>(
                                 random_() % static_cast<std::uint64_t>(link_.jitter.count() + 1))};
    }
    void put(std::size_t from, std::size_t to, Message message, SimTime at) {
        under_way_.emplace(at, Arrival{from, to, std::move(message)});  // equal times: in the order sent
    }

    SimLink link_;
    std::mt19937_64 random_;
    std::vector<int> side_;
    std::multimap<SimTime, Arrival> under_way_;
};

}  // namespace silverrail::lab
