// A proxy with faults between the peers of a fleet on loopback. Every datagram and stream to a member goes
// through the member's proxy port, where it can be delayed (with jitter), dropped, duplicated or cut off.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

#include "net/asio.h"

namespace silverrail::lab {

// The faults of one direction between two members; none by default.
struct LinkFaults {
    bool cut = false;
    double loss = 0;       // share of datagrams that are dropped
    double duplicate = 0;  // share of datagrams that arrive twice
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds jitter{0};  // added to the delay, drawn evenly from 0 to this: it also reorders
    bool operator==(const LinkFaults&) const = default;
};

// Members are named by their index. A member binds at member_ip() and advertises address(): the proxy then
// knows the sender by its source address alone. The proxy runs on a thread of its own; all public functions
// may be called from any other thread. At most 4,096 datagrams are held back, later ones pass at once; at
// most 64 streams are being connected, later ones are refused.
class FaultProxy {
public:
    // Opens a port for each member. `seed` is that of loss, duplication and jitter. Throws std::runtime_error
    // if no port is free.
    FaultProxy(std::size_t members, std::uint64_t seed);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    // The address that the member binds at.
    static std::string member_ip(std::size_t member);
    // An address of 127.0.0.0/8 of this process's own. On a shared one, a port that is released for a member
    // to bind could be taken by a client connecting from there, or by another fleet.
    static std::string process_loopback_ip(std::size_t last_byte);
    // ADDRESS:PORT at which the other members reach the member.
    std::string address(std::size_t member) const;
    // The port that the member binds; until it is set, everything to the member is dropped.
    void set_member_port(std::size_t member, unsigned short port);

    void set_faults(std::size_t from, std::size_t to, LinkFaults faults);
    void set_faults_both_ways(std::size_t a, std::size_t b, LinkFaults faults);
    void clear_faults();

    // Datagrams and streams so far.
    std::uint64_t dropped() const {
        return dropped_;
    }
    std::uint64_t passed() const {
        return passed_;
    }

private:
    struct Port;
    LinkFaults faults(std::size_t from, std::size_t to);
    std::optional<std::size_t> member_at(const net::asio::ip::address& source) const;
    void receive(std::size_t to);
    void on_datagram(std::size_t to, std::size_t size, const net::error_code& error);
    std::chrono::milliseconds draw_delay(const LinkFaults& faults);
    void deliver(std::size_t to, const std::shared_ptr<std::string>& bytes, std::chrono::milliseconds delay);
    void send(std::size_t to, const std::string& bytes);
    void accept(std::size_t to);
    void on_stream(std::size_t to, net::tcp::socket client);
    void connect(std::size_t to, const std::shared_ptr<net::tcp::socket>& client);

    net::asio::io_context io_;
    std::vector<std::unique_ptr<Port>> ports_;
    std::mutex mutex_;
    std::map<std::pair<std::size_t, std::size_t>, LinkFaults> faults_;  // by (from, to); guarded by mutex_
    std::mt19937_64 random_;
    std::size_t held_datagrams_ = 0;
    std::size_t connecting_streams_ = 0;
    std::atomic<std::uint64_t> dropped_{0};
    std::atomic<std::uint64_t> passed_{0};
    std::thread thread_;
};

}  // namespace silverrail::lab
