// A fault relay of the project's own between peers on loopback: every datagram and stream to a member goes
// through its relay, which delays (with jitter), drops, duplicates, reorders or cuts it, by the test's word
// at run time. Members bind member_ip(i) and tell the relay's address as theirs, so the relay knows who
// sends by the source address alone. Runs on a thread of its own; bounded: at most 4,096 datagrams held, 64
// streams.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include "net/asio.h"

namespace silverrail::lab {

struct Link {
    bool cut = false;
    double loss = 0;       // share of datagrams dropped
    double duplicate = 0;  // share sent twice
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds jitter{0};  // added to the delay, drawn evenly from 0 to this: it also reorders
    bool operator==(const Link&) const = default;
};

class Relay {
public:
    // One relay port for each of `members`, and `seed` for its dice.
    Relay(std::size_t members, std::uint64_t seed);
    ~Relay();
    // Where member i binds, with the port given, and where the others reach it.
    static std::string member_ip(std::size_t i) {
        return loopback(10 + i);
    }
    // Loopback addresses of this test process's own: a port let go for a member to take is else soon
    // somebody's who connects from 127.0.0.1, or another fleet's beside this one.
    static std::string loopback(std::size_t last);
    std::string address(std::size_t i) const;
    void to(std::size_t i, unsigned short port);  // member i's own port, once known
    // What happens on the way from `from` to `to`; the same for both ways with `both`.
    void set(std::size_t from, std::size_t to, Link link);
    void set_both(std::size_t a, std::size_t b, Link link) {
        set(a, b, link);
        set(b, a, link);
    }
    void clear();
    std::uint64_t dropped() const {
        return dropped_;
    }
    std::uint64_t passed() const {
        return passed_;
    }

private:
    struct Port;
    Link link(std::size_t from, std::size_t to);
    std::optional<std::size_t> who(const net::asio::ip::address& source) const;
    void receive(std::size_t i);
    void accept(std::size_t i);

    net::asio::io_context io_;
    std::vector<std::unique_ptr<Port>> ports_;
    std::mutex mutex_;
    std::map<std::pair<std::size_t, std::size_t>, Link> links_;
    std::mt19937_64 random_;
    std::size_t held_ = 0, streams_ = 0;
    std::atomic<std::uint64_t> dropped_{0}, passed_{0};
    std::thread thread_;
};

}  // namespace silverrail::lab
