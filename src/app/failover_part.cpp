#include "app/failover_part.h"

#include <algorithm>

#include "cluster/hearsay.h"

namespace silverrail::app {

namespace {
constexpr std::chrono::milliseconds kTick{50};
constexpr cluster::Time kProbeEvery{500};
// Well below the minute after which a report ages.
constexpr cluster::Time kRefresh{20'000};
}  // namespace

FailoverPart::FailoverPart(World world, const config::PeersSettings& settings, std::uint64_t seed)
    : world_(world),
      name_(settings.name),
      zone_(settings.zone),
      doubt_for_(settings.hearsay_ms),
      failover_(settings.name, settings.zone, settings.failover),
      voice_({.refresh = kRefresh}, seed ^ 0xe7037ed1a0b428dbULL),
      health_check_(world.io, {}),
      timer_(world.io) {}

void FailoverPart::stop() {
    timer_.cancel();
    health_check_.stop();
}

bool FailoverPart::steered() const {
    const auto own = factors_.find(zone_);
    return own != factors_.end() && own->second <= 0;
}

// What it bears of what it bears when warm, as the settings say: from the later of its start and its zone's
// return, as the core tells the module too.
double FailoverPart::warmth(const core::Server& server) const {
    const auto& s = world_.engine.settings();
    auto since = server.entry.started_at;
    if (back_since_ && (!since || *back_since_ > *since))
        since = back_since_;
    if (!since || s.slow_start_duration <= routing::Span{})
        return 1;
    const auto passed = std::chrono::duration<double>(world_.clock.now() - *since) /
                        std::chrono::duration<double>(s.slow_start_duration);
    return s.slow_start_share + (1 - s.slow_start_share) * std::clamp(passed, 0.0, 1.0);
}

// The caches of the own zone, and the weight of all zones' on the way.
std::vector<FailoverPart::Server> FailoverPart::own_servers(const std::map<std::string, std::string>& alive) {
    const auto doubts = cluster::reports_in(
        world_.reports.entries(), cluster::server_subject(""), world_.clock.unix_ms(), doubt_for_,
        [&](const std::string& reporter) { return reporter != name_ && alive.contains(reporter); });
    std::vector<Server> out;
    weights_.clear();
    world_.engine.each_server([&](const core::Server& server, bool avoided) {
        if (server.entry.condition != routing::Condition::ready || !world_.engine.is_cache_server(server))
            return;
        weights_[server.entry.zone] += server.entry.weight;
        if (server.entry.zone != zone_)
            return;
        const auto& id = server.entry.id.address;
        Server b{id,
                 server.address,
                 {server.entry.weight,
                  avoided,
                  world_.engine.bans().contains(server.entry.id),
                  {},
                  warmth(server)}};
        // Another's word is no reason to believe it, but one to look.
        b.doubted = steered() || avoided || doubts.contains(cluster::server_subject(id));
        const auto probe = probes_.find(id);
        if (b.doubted && probe != probes_.end() && probe->second.told)
            b.zone_server.probed = probe->second.listens;
        out.push_back(std::move(b));
    });
    return out;
}

void FailoverPart::probe(const std::vector<Server>& servers) {
    const auto now = world_.peers.now();
    std::set<std::string> doubted;
    for (const auto& server : servers)
        if (server.doubted)
            doubted.insert(server.id);
    std::erase_if(probes_, [&](const auto& item) { return !doubted.contains(item.first); });
    for (const auto& server : servers) {
        if (!server.doubted)
            continue;
        auto& probe = probes_[server.id];
        if (probe.under_way || now < probe.next)
            continue;
        probe.under_way = health_check_.check(server.address, [this, id = server.id](bool listens) {
            ++probed_;
            probes_failed_ += listens ? 0 : 1;
            if (const auto at = probes_.find(id); at != probes_.end())
                at->second = {listens, world_.peers.now() + kProbeEvery, true, false};
        });
    }
}

void FailoverPart::tick() {
    const auto alive = world_.peers.alive_zones();
    const auto servers = own_servers(alive);
    probe(servers);
    std::vector<cluster::ZoneServer> zone_servers;
    for (const auto& server : servers)
        zone_servers.push_back(server.zone_server);
    health_ = cluster::health_of(zone_servers, steered());

    cluster::Failover::Input in;
    in.now = world_.peers.now();
    in.unix_now = world_.clock.unix_ms();
    in.health = health_;
    in.alive = &alive;
    in.reports = &world_.reports.entries();
    in.shared = &world_.shared.entries();
    in.weights = weights_;
    in.reports_revision = world_.reports.revision();
    const auto step = failover_.tick(in);

    std::map<std::string, std::string> wanted;
    if (step.report)
        wanted.emplace(cluster::zone_subject(zone_), *step.report);
    for (const auto& say : voice_.tick(in.now, wanted, [](const std::string&) { return std::size_t{0}; }))
        world_.reports.say(name_, say);
    for (const auto& write : step.writes)
        written_ += world_.shared.set(cluster::decision_key(write.zone), cluster::text_of(write.decision));
    for (const auto& change : step.changes)
        logged(change);
    if (step.factors != factors_) {
        const bool before = steered();
        factors_ = step.factors;
        if (before && !steered())
            back_since_ = world_.clock.now();
        world_.engine.steer(factors_);
    }
    timer_.expires_after(kTick);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            tick();
    });
}

void FailoverPart::logged(const cluster::Failover::Change& c) {
    world_.log.line("failover",
                    R"({"zone":"%s","epoch":%llu,"out":%d,"before":%d,"to":"%s","by":"%s","flap":%s})",
                    c.zone.c_str(), static_cast<unsigned long long>(c.to.epoch), c.to.out(), c.from.out(),
                    cluster::text_of(c.to).c_str(), c.to.by.c_str(), c.flap ? "true" : "false");
}

std::string FailoverPart::standings() const {
    std::string out;
    for (const auto& zone : failover_.settings().zones) {
        const auto& z = failover_.standings().at(zone.name);
        std::string to;
        for (const auto& [name, part] : z.decision.targets)
            to += (to.empty() ? "" : ",") + name + "=" + std::to_string(part);
        out += zone.name + " " + zone.region + " " + std::to_string(z.alive) + "/" +
               std::to_string(zone.routers) + " " +
               (z.health ? std::to_string(*z.health) + "/" + std::to_string(z.warm) : "-") + " " +
               std::to_string(z.decision.epoch) + " " + std::to_string(z.decision.out()) + " " +
               (to.empty() ? "-" : to) + " " +
               (z.pin == cluster::Pin::in    ? "in"
                : z.pin == cluster::Pin::out ? "out"
                                             : "-") +
               " " + std::to_string(z.changes) + " " + std::to_string(z.flaps) + "\n";
    }
    return out + "--\n";
}

front::admin::CommandResult FailoverPart::pin(const std::string& zone, const std::string& how) {
    if (!failover_.standings().contains(zone))
        return {false, "no such zone"};
    const auto key = cluster::pin_key(zone);
    const bool done =
        how == "OFF" ? world_.shared.clear(key) : world_.shared.set(key, how == "IN" ? "in" : "out");
    world_.log.line("failover-pin", R"({"zone":"%s","how":"%s","kept":%s})", zone.c_str(), how.c_str(),
                    done ? "true" : "false");
    return done ? front::admin::CommandResult{true, how == "OFF" ? "not pinned" : "pinned"}
                : front::admin::CommandResult{false, "in force here, but not kept for the fleet"};
}

std::string FailoverPart::counters() {
    std::uint64_t changes = 0, flaps = 0, away = 0, abroad = 0;
    for (const auto& [name, z] : failover_.standings()) {
        changes += z.changes;
        flaps += z.flaps;
    }
    for (const auto& [zone, sent] : world_.engine.sent_away()) {
        away += sent;
        if (failover_.region_of(zone) != failover_.region_of(zone_))
            abroad += sent;
    }
    const auto& own = failover_.standings().at(zone_);
    return figure_lines("failover", {{"quorum", failover_.quorum()},
                                     {"health", static_cast<std::uint64_t>(health_.up)},
                                     {"warm", static_cast<std::uint64_t>(health_.warm)},
                                     {"epoch", own.decision.epoch},
                                     {"out", static_cast<std::uint64_t>(own.decision.out())},
                                     {"changes", changes},
                                     {"flaps", flaps},
                                     {"written", written_},
                                     {"sent_out_of_zone", away},
                                     {"sent_out_of_region", abroad},
                                     {"probes", probed_},
                                     {"probes_failed", probes_failed_}});
}

}  // namespace silverrail::app
