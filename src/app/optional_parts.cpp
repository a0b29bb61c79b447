#include "app/optional_parts.h"

#include "app/control_part.h"
#include "app/dns_part.h"
#include "app/failover_part.h"
#include "app/outlier_consensus_part.h"
#include "app/overrides_part.h"
#include "app/resource_limits.h"
#include "app/trace_part.h"

namespace silverrail::app {

void OptionalParts::create() {
    // First, so that it records the first server list too.
    if (with_.settings.trace.on())
        add_trace();
    if (with_.settings.peers.on())
        add_peers();
    if (!with_.config.control.empty())
        add_control();
    if (with_.settings.dns.on())
        add_dns();
}

template <class SomePart>
SomePart* OptionalParts::add(std::unique_ptr<SomePart> part) {
    SomePart* const added = part.get();
    parts_.push_back(std::move(part));
    return added;
}

std::string OptionalParts::shared_file(const char* extension) const {
    return shared_file_path(with_.shared_folder, with_.config.listen, extension);
}

void OptionalParts::add_trace() {
    add(std::make_unique<TracePart>(
        TracePart::Dependencies{with_.io, with_.engine, with_.log, with_.config.name, with_.config.seed,
                                config::json_line(with_.config.root)},
        with_.settings.trace));
}

void OptionalParts::add_peers() {
    const config::PeersSettings& settings = with_.settings.peers;
    const std::uint64_t seed = with_.config.seed;
    auto& [peers, state, reports] = peer_services_;
    peers = add(std::make_unique<MembershipPart>(with_.io, settings, seed, with_.clock.unix_ms(), with_.log));
    const ReplicaPart::Dependencies replica_dependencies{with_.io, *peers, with_.clock, with_.log};
    state = add(std::make_unique<ReplicaPart>(replica_dependencies, settings, shared_file("replica"), seed));
    // Started after the parts that use it.
    auto reports_part =
        std::make_unique<ReplicaPart>(replica_dependencies, settings, ReplicaPart::Reports{}, seed);
    reports = reports_part.get();
    cluster_commands_.members = [members = peers] {
        return members->members();
    };
    cluster_commands_.replica = [replica = state] {
        return replica->status();
    };
    if (settings.report_lifetime_ms > 0)
        add_server_reports();
    if (!settings.failover.zones.empty())
        add_failover();
    add(std::move(reports_part));
}

void OptionalParts::add_server_reports() {
    const auto& [peers, state, reports] = peer_services_;
    add(std::make_unique<OutlierConsensusPart>(
        OutlierConsensusPart::Dependencies{with_.io, with_.engine, *peers, *reports, with_.clock, with_.log},
        with_.settings.peers, with_.config.seed));
}

void OptionalParts::add_failover() {
    const auto& [peers, state, reports] = peer_services_;
    auto* const failover = add(std::make_unique<FailoverPart>(
        FailoverPart::Dependencies{with_.io, with_.engine, *peers, *state, *reports, with_.clock, with_.log},
        with_.settings.peers, with_.config.seed));
    cluster_commands_.failover = [failover] {
        return failover->status();
    };
    cluster_commands_.pin = [failover](const std::string& zone, const std::string& how) {
        return failover->set_override(zone, how);
    };
}

// Reads the servers that operators have excluded before the first server list is applied, so that they get
// no request from the start on.
void OptionalParts::add_control() {
    auto* const overrides = add(std::make_unique<OverridesPart>(with_.io, with_.engine, shared_file("bans"),
                                                                with_.log, peer_services_.state));
    add(std::make_unique<ControlPart>(
        ControlPart::Dependencies{with_.io, with_.engine, *overrides, with_.lifecycle, with_.log,
                                  with_.free_descriptors, std::move(cluster_commands_)},
        with_.config.control, with_.quota.control_connections));
}

void OptionalParts::add_dns() {
    add(std::make_unique<DnsPart>(
        DnsPart::Dependencies{with_.io, with_.engine, with_.clock, with_.timers, with_.log, with_.config.seed,
                              port_sharing(with_.config)},
        with_.settings));
}

void OptionalParts::start() {
    for (const auto& part : parts_)
        part->start();
}

void OptionalParts::stop() {
    for (const auto& part : parts_)
        part->stop();
}

void OptionalParts::end() {
    for (const auto& part : parts_)
        part->end();
}

void OptionalParts::dump() {
    for (const auto& part : parts_)
        part->dump();
}

std::string OptionalParts::counters() {
    std::string out;
    for (const auto& part : parts_)
        out += part->counters();
    return out;
}

}  // namespace silverrail::app
