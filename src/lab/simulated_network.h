// A simulated network in simulated time, for the state machines of src/cluster: seeded delay, loss,
// duplication, and partitions. One thread; the same seed and calls give the same run. It holds a message from
// its sending to its arrival.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace silverrail::lab {

using SimulatedTime = std::chrono::milliseconds;

struct LinkQuality {
    SimulatedTime delay{1};
    SimulatedTime jitter{2};  // added, drawn evenly from 0 to this: it also reorders
    double loss = 0;          // share of datagrams; streams resend, so they arrive late instead
    double duplicate = 0;     // share of datagrams that arrive twice
};

// Members are 0 to n - 1. A partition is a number; members of different partitions do not hear each other.
template <class Message>
class SimulatedNetwork {
public:
    SimulatedNetwork(std::size_t members, std::uint64_t seed, LinkQuality quality)
        : quality_(quality), random_(seed), partitions_(members, 0) {}

    void set_quality(LinkQuality quality) {
        quality_ = quality;
    }
    const LinkQuality& quality() const {
        return quality_;
    }
    void set_partition(std::size_t member, int partition) {
        partitions_.at(member) = partition;
    }
    int partition(std::size_t member) const {
        return partitions_.at(member);
    }

    void send(std::size_t from, std::size_t to, Message message, bool stream, SimulatedTime now) {
        if (partitions_[from] != partitions_[to])
            return;
        SimulatedTime resend_delay{0};
        if (happens(quality_.loss)) {
            if (!stream)
                return;
            resend_delay = kResendDelay;
        }
        if (!stream && happens(quality_.duplicate))
            deliver_at(now + draw_delay(), from, to, message);
        deliver_at(now + draw_delay() + resend_delay, from, to, std::move(message));
    }

    struct Arrival {
        std::size_t from, to;
        Message message;
    };
    // The next message due by `now`; one between members parted since it was sent is lost.
    std::optional<Arrival> next_arrival(SimulatedTime now) {
        while (!in_flight_.empty() && in_flight_.begin()->first <= now) {
            Arrival arrival = std::move(in_flight_.begin()->second);
            in_flight_.erase(in_flight_.begin());
            if (partitions_[arrival.from] == partitions_[arrival.to])
                return arrival;
        }
        return std::nullopt;
    }

private:
    static constexpr SimulatedTime kResendDelay{200};  // TCP's least retransmission time on Linux

    bool happens(double probability) {
        return probability > 0 && std::uniform_real_distribution<>{0, 1}(random_) < probability;
    }
    SimulatedTime draw_delay() {
        const auto bound = static_cast<std::uint64_t>(quality_.jitter.count() + 1);
        return quality_.delay + SimulatedTime{static_cast<SimulatedTime::rep>(random_() % bound)};
    }
    void deliver_at(SimulatedTime at, std::size_t from, std::size_t to, Message message) {
        in_flight_.emplace(at, Arrival{from, to, std::move(message)});  // equal times: in the order sent
    }

    LinkQuality quality_;
    std::mt19937_64 random_;
    std::vector<int> partitions_;
    std::multimap<SimulatedTime, Arrival> in_flight_;
};

}  // namespace silverrail::lab
