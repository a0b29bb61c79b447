#include "app/membership_part.h"

#include <algorithm>
#include <utility>

#include "config/config.h"

namespace silverrail::app {

namespace {

constexpr std::int64_t kMinTickMs = 5;
constexpr std::int64_t kMaxTickMs = 100;

cluster::MembershipSettings membership_settings(const config::PeersSettings& peers) {
    cluster::MembershipSettings out;
    out.probe_interval = std::chrono::milliseconds{peers.probe_ms};
    out.probe_timeout = std::chrono::milliseconds{peers.probe_timeout_ms};
    out.push_pull_interval = std::chrono::milliseconds{peers.push_pull_ms};
    out.dead_retention = std::chrono::milliseconds{peers.dead_keep_ms};
    out.indirect_probes = static_cast<std::size_t>(peers.indirect);
    out.suspicion_mult = peers.suspicion_mult;
    out.suspicion_max_mult = peers.suspicion_max_mult;
    return out;
}

cluster::MemberIdentity identity_of(const config::PeersSettings& peers) {
    return {peers.name, peers.advertise.empty() ? peers.bind : peers.advertise, peers.zone, peers.region};
}

std::string or_dash(const std::string& text) {
    return text.empty() ? "-" : text;
}

}  // namespace

MembershipPart::MembershipPart(net::asio::io_context& io, const config::PeersSettings& settings,
                               std::uint64_t seed, std::int64_t start_unix_ms, Log& log) try
    : log_(log),
      membership_(identity_of(settings), static_cast<std::uint64_t>(start_unix_ms),
                  membership_settings(settings), seed, settings.seeds, cluster::Time{0}),
      peer_(
          io, settings.bind, {},
          [this](const net::PeerTransport::Message& message) { return receive(message); }, log),
      timer_(io),
      // So that a probe's timeout is met to a tenth of it.
      tick_interval_(std::clamp<std::int64_t>(settings.probe_timeout_ms / 10, kMinTickMs, kMaxTickMs)) {
} catch (const boost::system::system_error& e) {
    throw config::ConfigError("peers.bind: cannot listen at " + settings.bind + ": " + e.code().message());
}

cluster::Time MembershipPart::now() const {
    return std::chrono::duration_cast<cluster::Time>(std::chrono::steady_clock::now() - epoch_);
}

void MembershipPart::start() {
    peer_.start();
    const auto& self = membership_.self();
    log_.line("member-start", R"({"member":"%s","at":"%s","start":%llu})", self.identity.name.c_str(),
              self.identity.address.c_str(), static_cast<unsigned long long>(self.start));
    tick();
}

void MembershipPart::stop() {
    if (stopped_)
        return;
    stopped_ = true;
    peer_.send(net::PeerTransport::outgoing(membership_.leave()));
    timer_.cancel();
    peer_.stop();
    log_events();
}

std::vector<net::PeerTransport::Outgoing> MembershipPart::receive(
    const net::PeerTransport::Message& message) {
    if (const auto* replicated = std::get_if<cluster::ReplicaMessage>(&message)) {
        const auto handler = replica_handlers_.find(replicated->channel);
        if (handler == replica_handlers_.end())
            return {};
        return handler->second(*replicated);
    }
    auto out = net::PeerTransport::outgoing(
        membership_.receive(std::get<cluster::MembershipMessage>(message), now()));
    log_events();
    return out;
}

void MembershipPart::tick() {
    if (stopped_)
        return;
    peer_.send(net::PeerTransport::outgoing(membership_.tick(now())));
    log_events();
    timer_.expires_after(tick_interval_);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            tick();
    });
}

// One event name for each kind, so that the log's rate limit holds for each kind alone.
void MembershipPart::log_events() {
    for (const auto& event : membership_.take_events()) {
        const std::string name = std::string{"member-"} + cluster::name_of(event.kind);
        log_.line(name.c_str(), R"({"member":"%s","incarnation":%llu,"by":"%s","alive":%zu})",
                  event.member.c_str(), static_cast<unsigned long long>(event.incarnation),
                  event.reported_by.c_str(), membership_.count(cluster::MemberState::alive));
    }
}

std::vector<std::string> MembershipPart::alive_addresses() const {
    std::vector<std::string> out;
    for (const auto& [name, member] : membership_.members())
        if (member.record.state == cluster::MemberState::alive)
            out.push_back(member.record.identity.address);
    return out;
}

std::map<std::string, std::string> MembershipPart::alive_zones() const {
    const auto& self = membership_.self().identity;
    std::map<std::string, std::string> out{{self.name, self.zone}};
    for (const auto& [name, member] : membership_.members())
        if (member.record.state == cluster::MemberState::alive)
            out[name] = member.record.identity.zone;
    return out;
}

std::string MembershipPart::members() const {
    std::string out;
    for (const auto& record : membership_.records()) {
        const auto& identity = record.identity;
        out += identity.name + " " + cluster::name_of(record.state) + " " +
               std::to_string(record.incarnation) + " " + std::to_string(record.start) + " " +
               identity.address + " " + or_dash(identity.zone) + " " + or_dash(identity.region) + "\n";
    }
    return out + "--\n";
}

std::string MembershipPart::counters() {
    using cluster::MemberState;
    const auto& protocol = membership_.counters();
    const auto& transport = peer_.counters();
    auto out = counter_lines("peers", {{"alive", membership_.count(MemberState::alive)},
                                       {"suspect", membership_.count(MemberState::suspect)},
                                       {"dead", membership_.count(MemberState::dead)},
                                       {"left", membership_.count(MemberState::left)},
                                       {"health", membership_.local_health()},
                                       {"probes", protocol.probes},
                                       {"acks", protocol.acks},
                                       {"indirect", protocol.indirect_probes},
                                       {"nacks", protocol.nacks},
                                       {"suspicions", protocol.suspicions},
                                       {"refuted", protocol.refutations},
                                       {"deaths", protocol.deaths},
                                       {"stalls", protocol.stalls},
                                       {"refused_records", protocol.rejected},
                                       {"pushes", protocol.pushes},
                                       {"datagrams_in", transport.datagrams_in},
                                       {"datagrams_out", transport.datagrams_out},
                                       {"streams_in", transport.streams_in},
                                       {"streams_out", transport.streams_out},
                                       {"bytes_in", transport.bytes_in},
                                       {"bytes_out", transport.bytes_out}});
    for (std::size_t i = 0; i < transport.refused.size(); ++i) {
        const auto reason = static_cast<cluster::codec::DecodeError>(i);
        const std::string name = std::string{"refused_"} + cluster::codec::name_of(reason);
        out += counter_lines("peers", {{name.c_str(), transport.refused[i]}});
    }
    return out + counter_lines("peers", {{"streams_turned_away", transport.streams_rejected},
                                         {"streams_timed_out", transport.streams_timed_out}});
}

}  // namespace silverrail::app
