// The fleet's view in the running program: the state machine of src/cluster/members on the transport of
// src/net/peer, ticked by a timer. Made only where the settings have a `peers` section.
#pragma once

#include <map>
#include <memory>

#include "app/part.h"
#include "cluster/members.h"
#include "config/operator_settings.h"
#include "net/peer_transport.h"

namespace silverrail::app {

class PeersPart : public Part {
public:
    // Binds at once; throws config::ConfigError naming peers.bind if it cannot. `unix_ms`: now, for the
    // start.
    PeersPart(net::asio::io_context& io, const config::PeersSettings& settings, std::uint64_t seed,
              std::int64_t unix_ms, Log& log);
    void start() override;
    // A planned leave, told to a few, before the port closes.
    void stop() override;
    std::string counters() override;
    // The answer to MEMBERS: a line a member, ourselves first: name state incarnation start address zone
    // region; then "--".
    std::string members() const;

    // What else rides on the peers' transport: the messages of a replicated state, by its channel, and who
    // they can go to.
    using ReplicaHandler =
        std::function<std::vector<net::PeerTransport::Outgoing>(const cluster::ReplicaMessage&)>;
    void replicate(std::uint8_t channel, ReplicaHandler handler) {
        replicas_[channel] = std::move(handler);
    }
    // The members alive, this one among them: name to zone.
    std::map<std::string, std::string> alive_zones() const;
    void send(std::vector<net::PeerTransport::Outgoing> sends) {
        peer_.send(std::move(sends));
    }
    std::vector<std::string> alive() const;
    cluster::Time now() const;  // since the start: the state machines' steady clock

private:
    void tick();
    void logged();
    std::vector<net::PeerTransport::Outgoing> received(const net::PeerTransport::Message& message);

    net::asio::io_context& io_;
    Log& log_;
    cluster::Members members_;
    net::PeerTransport peer_;
    net::asio::steady_timer timer_;
    std::chrono::milliseconds every_;
    std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
    bool stopped_ = false;
    std::map<std::uint8_t, ReplicaHandler> replicas_;
};

}  // namespace silverrail::app
