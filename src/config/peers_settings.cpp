#include "config/peers_settings.h"

#include <algorithm>

#include "cluster/membership/member_record.h"
#include "config/endpoint.h"

namespace silverrail::config {

namespace {

constexpr std::size_t kMaxSeeds = 64;
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxZoneOrRegionBytes = 32;
constexpr std::int64_t kMinSharedReportMs = 1'000;

// Stored failover decisions contain zone and region names in a text format that uses '=' and spaces as
// delimiters.
bool is_zone_or_region_name(const std::string& name) {
    return !name.empty() && name.size() <= cluster::kMaxZoneLength &&
           std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < '\x7f' && c != '='; });
}

void read_zone(SettingsSection& section, std::vector<cluster::FailoverZone>& zones) {
    cluster::FailoverZone zone{section.string("name"), section.string("region"),
                               static_cast<std::size_t>(section.integer("routers", 0, 1, 10'000))};
    if (!is_zone_or_region_name(zone.name))
        section.add_problem("name", "required: 1 to 32 printable ASCII characters without spaces or '='");
    if (!is_zone_or_region_name(zone.region))
        section.add_problem("region", "required: 1 to 32 printable ASCII characters without spaces or '='");
    if (zone.routers == 0)
        section.add_problem("routers", "required: the number of routers in the zone");
    for (const auto& other : zones)
        if (other.name == zone.name)
            section.add_problem("name", "duplicate zone name: " + zone.name);
    zones.push_back(std::move(zone));
}

cluster::FailoverSettings parse_failover(SettingsSection section, const std::string& own_zone) {
    cluster::FailoverSettings f;
    if (!section.present())
        return f;
    section.for_each("zones", cluster::FailoverSettings::kMaxZones,
                     [&f](SettingsSection& item) { read_zone(item, f.zones); });
    const auto milliseconds = [&section](const char* key, cluster::Time fallback, std::int64_t min,
                                         std::int64_t max) {
        return cluster::Time{section.integer(key, fallback.count(), min, max)};
    };
    f.overprovisioning = section.number("overprovision", f.overprovisioning, 1, 10);
    f.panic_threshold = section.number("panic", f.panic_threshold, 0, 1);
    f.step_out = section.number("step_out", f.step_out, 0.01, 1);
    f.step_back = section.number("step_back", f.step_back, 0.01, 1);
    f.min_change = section.number("least", f.min_change, 0, 1);
    f.hold_down = milliseconds("hold_ms", f.hold_down, 500, 3'600'000);
    f.confirmation = milliseconds("confirm_ms", f.confirmation, 0, 60'000);
    f.turn = milliseconds("slot_ms", f.turn, 50, 10'000);
    f.max_reporters = static_cast<std::size_t>(
        section.integer("witnesses", static_cast<std::int64_t>(f.max_reporters), 1, 64));
    const bool own_zone_listed =
        std::any_of(f.zones.begin(), f.zones.end(),
                    [&own_zone](const cluster::FailoverZone& zone) { return zone.name == own_zone; });
    if (!own_zone_listed)
        section.add_problem("zones", "does not contain the zone of this router: " + own_zone);
    return f;
}

void read_identity(SettingsSection& section, PeersSettings& p) {
    p.name = section.string("name");
    p.zone = section.string("zone");
    p.region = section.string("region");
    p.bind = read_endpoint(section, "bind");
    p.advertise = read_endpoint(section, "advertise");
    p.seeds = section.strings("seeds", kMaxSeeds);
    for (const auto& seed : p.seeds)
        if (!parse_endpoint(seed))
            section.add_problem("seeds", "expected ADDRESS:PORT, got " + seed);
}

void read_membership(SettingsSection& section, PeersSettings& p) {
    p.probe_ms = section.integer("probe_ms", p.probe_ms, 10, 60'000);
    p.probe_timeout_ms = section.integer("probe_timeout_ms", p.probe_timeout_ms, 1, 60'000);
    p.push_pull_ms = section.integer("push_pull_ms", p.push_pull_ms, 100, 3'600'000);
    p.dead_keep_ms = section.integer("dead_keep_ms", p.dead_keep_ms, 1'000, 86'400'000);
    p.indirect = section.integer("indirect", p.indirect, 0, 16);
    p.suspicion_mult = section.number("suspicion_mult", p.suspicion_mult, 1, 100);
    p.suspicion_max_mult = section.number("suspicion_max_mult", p.suspicion_max_mult, 1, 100);
}

void read_replication(SettingsSection& section, PeersSettings& p) {
    p.replica_ms = section.integer("replica_ms", p.replica_ms, 50, 60'000);
    p.tombstone_keep_ms =
        section.integer("tombstone_keep_ms", p.tombstone_keep_ms, 10'000, 30 * 86'400'000LL);
    p.report_lifetime_ms = section.integer("hearsay_ms", p.report_lifetime_ms, 0, 30'000);
    if (p.report_lifetime_ms > 0 && p.report_lifetime_ms < kMinSharedReportMs)
        section.add_problem("hearsay_ms", "expected 0 or a whole number from 1000 to 30000");
}

void check_membership(SettingsSection& section, const PeersSettings& p) {
    if (p.bind.empty())
        section.add_problem("bind", "required: ADDRESS:PORT to listen on for peers");
    if (p.name.empty() || p.name.size() > kMaxNameBytes)
        section.add_problem("name", "required: 1 to 64 bytes");
    if (p.zone.size() > kMaxZoneOrRegionBytes)
        section.add_problem("zone", "at most 32 bytes");
    if (p.region.size() > kMaxZoneOrRegionBytes)
        section.add_problem("region", "at most 32 bytes");
    if (p.probe_timeout_ms >= p.probe_ms)
        section.add_problem("probe_timeout_ms", "must be shorter than probe_ms");
}

}  // namespace

std::string read_endpoint(SettingsSection& section, const char* key) {
    const std::string endpoint = section.string(key);
    if (!endpoint.empty() && !parse_endpoint(endpoint))
        section.add_problem(key, "expected ADDRESS:PORT, got " + endpoint);
    return endpoint;
}

PeersSettings parse_peers(SettingsSection section) {
    PeersSettings settings;
    if (!section.present())
        return settings;
    read_identity(section, settings);
    read_membership(section, settings);
    read_replication(section, settings);
    settings.failover = parse_failover(section.child("failover"), settings.zone);
    check_membership(section, settings);
    return settings;
}

}  // namespace silverrail::config
