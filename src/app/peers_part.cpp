#include "app/peers_part.h"

#include "config/config.h"

namespace silverrail::app {

namespace {

cluster::Settings settings_of(const config::PeersSettings& p) {
    cluster::Settings s;
    s.probe_interval = std::chrono::milliseconds{p.probe_ms};
    s.probe_timeout = std::chrono::milliseconds{p.probe_timeout_ms};
    s.push_pull_interval = std::chrono::milliseconds{p.push_pull_ms};
    s.dead_keep = std::chrono::milliseconds{p.dead_keep_ms};
    s.indirect_probes = static_cast<std::size_t>(p.indirect);
    s.suspicion_mult = p.suspicion_mult;
    s.suspicion_max_mult = p.suspicion_max_mult;
    return s;
}

}  // namespace

PeersPart::PeersPart(net::asio::io_context& io, const config::PeersSettings& settings, std::uint64_t seed,
                     std::int64_t unix_ms, Log& log) try
    : io_(io),
      log_(log),
      members_({settings.name, settings.advertise.empty() ? settings.bind : settings.advertise, settings.zone,
                settings.region},
               static_cast<std::uint64_t>(unix_ms), settings_of(settings), seed, settings.seeds,
               cluster::Time{0}),
      peer_(
          io, settings.bind, {}, [this](const net::PeerTransport::Message& m) { return received(m); }, log),
      timer_(io),
      // Often enough that a probe's timeout is kept to a tenth of it, seldom enough to cost nothing.
      every_(std::clamp<std::int64_t>(settings.probe_timeout_ms / 10, 5, 100)) {
} catch (const boost::system::system_error& e) {
    throw config::ConfigError("peers.bind: cannot listen at " + settings.bind + ": " + e.code().message());
}

cluster::Time PeersPart::now() const {
    return std::chrono::duration_cast<cluster::Time>(std::chrono::steady_clock::now() - began_);
}

void PeersPart::start() {
    peer_.start();
    log_.line("member-start", R"({"member":"%s","at":"%s","start":%llu})", members_.self().who.name.c_str(),
              members_.self().who.address.c_str(), static_cast<unsigned long long>(members_.self().start));
    tick();
}

void PeersPart::stop() {
    if (stopped_)
        return;
    stopped_ = true;
    peer_.send(net::PeerTransport::outgoing(members_.leave(now())));
    timer_.cancel();
    peer_.stop();
    logged();
}

std::vector<net::PeerTransport::Outgoing> PeersPart::received(const net::PeerTransport::Message& message) {
    const auto* view = std::get_if<cluster::Message>(&message);
    if (!view) {
        const auto& of_replica = std::get<cluster::ReplicaMessage>(message);
        const auto handler = replicas_.find(of_replica.channel);
        return handler == replicas_.end() ? std::vector<net::PeerTransport::Outgoing>{}
                                          : handler->second(of_replica);
    }
    auto out = net::PeerTransport::outgoing(members_.receive(*view, now()));
    logged();
    return out;
}

void PeersPart::tick() {
    if (stopped_)
        return;
    peer_.send(net::PeerTransport::outgoing(members_.tick(now())));
    logged();
    timer_.expires_after(every_);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            tick();
    });
}

// The fleet's events as JSON lines, one event name each, so that the log's rate limit holds per kind.
void PeersPart::logged() {
    for (const auto& e : members_.take_events()) {
        const std::string event = std::string{"member-"} + cluster::name_of(e.kind);
        log_.line(event.c_str(), R"({"member":"%s","incarnation":%llu,"by":"%s","alive":%zu})",
                  e.name.c_str(), static_cast<unsigned long long>(e.incarnation), e.by.c_str(),
                  members_.count(cluster::State::alive));
    }
}

std::vector<std::string> PeersPart::alive() const {
    std::vector<std::string> out;
    for (const auto& [name, member] : members_.view())
        if (member.record.state == cluster::State::alive)
            out.push_back(member.record.who.address);
    return out;
}

std::map<std::string, std::string> PeersPart::alive_zones() const {
    std::map<std::string, std::string> out{{members_.self().who.name, members_.self().who.zone}};
    for (const auto& [name, member] : members_.view())
        if (member.record.state == cluster::State::alive)
            out[name] = member.record.who.zone;
    return out;
}

std::string PeersPart::members() const {
    std::string out;
    for (const auto& r : members_.records())
        out += r.who.name + " " + cluster::name_of(r.state) + " " + std::to_string(r.incarnation) + " " +
               std::to_string(r.start) + " " + r.who.address + " " + (r.who.zone.empty() ? "-" : r.who.zone) +
               " " + (r.who.region.empty() ? "-" : r.who.region) + "\n";
    return out + "--\n";
}

std::string PeersPart::counters() {
    const auto& c = members_.counts();
    const auto& p = peer_.counters();
    std::string out;
    const auto put = [&out](const char* name, std::uint64_t value) {
        out += std::string{"peers."} + name + " " + std::to_string(value) + "\n";
    };
    put("alive", members_.count(cluster::State::alive));
    put("suspect", members_.count(cluster::State::suspect));
    put("dead", members_.count(cluster::State::dead));
    put("left", members_.count(cluster::State::left));
    put("health", members_.health());
    put("probes", c.probes);
    put("acks", c.acks);
    put("indirect", c.indirect);
    put("nacks", c.nacks);
    put("suspicions", c.suspicions);
    put("refuted", c.refuted);
    put("deaths", c.deaths);
    put("stalls", c.stalls);
    put("refused_records", c.refused);
    put("pushes", c.pushes);
    put("datagrams_in", p.datagrams_in);
    put("datagrams_out", p.datagrams_out);
    put("streams_in", p.streams_in);
    put("streams_out", p.streams_out);
    put("bytes_in", p.bytes_in);
    put("bytes_out", p.bytes_out);
    for (std::size_t i = 0; i < p.refused.size(); ++i)
        put((std::string{"refused_"} + cluster::wire::name_of(static_cast<cluster::wire::Trouble>(i)))
                .c_str(),
            p.refused[i]);
    put("streams_turned_away", p.streams_turned_away);
    put("streams_timed_out", p.streams_timed_out);
    return out;
}

}  // namespace silverrail::app
