// The fleet's membership in the running program: the state machine of src/cluster/membership on the transport
// of src/net/peer_transport, driven by a timer. Made only where the settings have a `peers` section.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "app/part.h"
#include "cluster/membership/membership.h"
#include "cluster/replicated_state/replica_message.h"
#include "config/operator_settings.h"
#include "net/peer_transport.h"

namespace silverrail::app {

class MembershipPart : public Part {
public:
    // Binds at once; throws config::ConfigError naming peers.bind if it cannot. `start_unix_ms`: the start of
    // this process.
    MembershipPart(net::asio::io_context& io, const config::PeersSettings& settings, std::uint64_t seed,
                   std::int64_t start_unix_ms, Log& log);
    void start() override;
    // Announces a planned leave, then closes the port.
    void stop() override;
    std::string counters() override;
    // The answer to MEMBERS: a line a member, this router first: name state incarnation start address zone
    // region; then "--".
    std::string members() const;

    // What else uses the peers' transport: the messages of a replicated state, by its channel.
    using ReplicaHandler =
        std::function<std::vector<net::PeerTransport::Outgoing>(const cluster::ReplicaMessage&)>;
    void set_replica_handler(std::uint8_t channel, ReplicaHandler handler) {
        replica_handlers_[channel] = std::move(handler);
    }
    void send(const std::vector<net::PeerTransport::Outgoing>& messages) {
        peer_.send(messages);
    }
    // Of the other members that are alive.
    std::vector<std::string> alive_addresses() const;
    // Of the members alive, this router among them, by name.
    std::map<std::string, std::string> alive_zones() const;
    // The steady clock of the state machines: since this part was made.
    cluster::Time now() const;

private:
    void tick();
    void log_events();
    std::vector<net::PeerTransport::Outgoing> receive(const net::PeerTransport::Message& message);

    Log& log_;
    cluster::Membership membership_;
    net::PeerTransport peer_;
    net::asio::steady_timer timer_;
    std::chrono::milliseconds tick_interval_;
    std::chrono::steady_clock::time_point epoch_ = std::chrono::steady_clock::now();
    bool stopped_ = false;
    std::map<std::uint8_t, ReplicaHandler> replica_handlers_;
};

}  // namespace silverrail::app
