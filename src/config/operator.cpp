#include "config/operator.h"

#include <algorithm>
#include <memory>
#include <system_error>

#include "config/section.h"
#include "store/read_file.h"

namespace silverrail::config {

namespace {

constexpr std::size_t kLongestFile = 1024 * 1024;

// Rule 3 (drains): a server may be named in a cache for 2 s after it was said to drain. Half of that is kept
// for the answer's way, so more than a second is not to be had.
constexpr std::int64_t kLongestTtl = 1;

std::string endpoint(Section& s, const char* key) {
    const std::string at = s.text(key);
    if (!at.empty() && !parse_endpoint(at))
        s.wrong(key, "not an address and a port: " + at);
    return at;
}

DnsSettings parse_dns(Section s) {
    DnsSettings d;
    d.udp = endpoint(s, "udp");
    d.tcp = endpoint(s, "tcp");
    d.tls = endpoint(s, "tls");
    d.zone = s.text("zone");
    d.server = s.text("server");
    d.server_address = s.text("server_address");
    d.mailbox = s.text("mailbox");
    d.ttl_s = static_cast<std::uint32_t>(s.whole("ttl_s", 1, 0, kLongestTtl));
    d.deadline = std::chrono::milliseconds{s.whole("deadline_ms", 1000, 0, 60'000)};
    if (d.on() && d.zone.empty())
        s.wrong("zone", "needed where the front listens");
    if (d.on() && d.server.empty())
        s.wrong("server", "needed where the front listens");
    return d;
}

AcmeSettings parse_acme(Section s, bool dns_on) {
    AcmeSettings a;
    a.directory = s.text("directory");
    a.contact = s.text("contact");
    a.folder = s.text("folder");
    a.trust = s.text("trust");
    if (a.on() && !dns_on)
        s.wrong("directory", "its proofs need the DNS front");
    return a;
}

TraceSettings parse_trace(Section s) {
    TraceSettings t;
    t.folder = s.text("folder");
    t.most_mb = s.whole("most_mb", t.most_mb, 1, 1 << 20);
    t.file_mb = s.whole(
        "file_mb", std::min<std::int64_t>(t.file_mb, std::max<std::int64_t>(1, t.most_mb / 2)), 1, 1 << 16);
    t.file_minutes = s.whole("file_minutes", t.file_minutes, 1, 7 * 24 * 60);
    t.flush_ms = s.whole("flush_ms", t.flush_ms, 20, 600'000);
    t.queue_kb = s.whole("queue_kb", t.queue_kb, 64, 1 << 20);
    t.flight_mb = s.whole("flight_mb", 0, 0, 1 << 14);
    {
        Section d = s.child("dump");
        t.dump_at_failed_share = d.number("at_failed_share", 0, 0, 1);
        t.dump_window_s = d.whole("window_s", t.dump_window_s, 1, 3600);
        t.dump_least_answers = d.whole("least_answers", t.dump_least_answers, 1, 1'000'000);
        t.dump_hold_off_s = d.whole("hold_off_s", t.dump_hold_off_s, 1, 86'400);
    }
    for (const std::string& word : s.words("leave_out", {"clients", "tags"})) {
        t.leave_out_clients = t.leave_out_clients || word == "clients";
        t.leave_out_tags = t.leave_out_tags || word == "tags";
    }
    if (t.file_mb * 2 > t.most_mb && t.flight_mb == 0 && t.most_mb > 1)
        s.wrong("file_mb", "more than half of most_mb: no older file could be kept");
    if (t.flight_mb > 0 && t.folder.empty())
        s.wrong("folder", "needed: where a flight recorder's dumps go");
    if (t.dump_at_failed_share > 0 && t.flight_mb == 0)
        s.wrong("dump.at_failed_share", "works with flight_mb only");
    return t;
}

// The zones and what a decision is made by. Names stand in decisions, so they hold none of its signs.
cluster::FailoverSettings parse_failover(Section s, const std::string& own) {
    cluster::FailoverSettings f;
    if (!s.present())
        return f;
    const auto fits = [](const std::string& name) {
        return !name.empty() && name.size() <= cluster::kMaxZoneLength &&
               std::all_of(name.begin(), name.end(),
                           [](char c) { return c > ' ' && c < '\x7f' && c != '='; });
    };
    s.each("zones", cluster::FailoverSettings::kMostZones, [&](Section& z) {
        cluster::FailoverZone zone{z.text("name"), z.text("region"),
                                   static_cast<std::size_t>(z.whole("routers", 0, 1, 10'000))};
        if (!fits(zone.name))
            z.wrong("name", "needed, of 1 to 32 plain letters without '='");
        if (!fits(zone.region))
            z.wrong("region", "needed, of 1 to 32 plain letters without '='");
        if (zone.routers == 0)
            z.wrong("routers", "needed: how many the zone has");
        for (const auto& other : f.zones)
            if (other.name == zone.name)
                z.wrong("name", "given twice: " + zone.name);
        f.zones.push_back(std::move(zone));
    });
    const auto ms = [&s](const char* key, cluster::Time fallback, std::int64_t least, std::int64_t most) {
        return cluster::Time{s.whole(key, fallback.count(), least, most)};
    };
    f.overprovision = s.number("overprovision", f.overprovision, 1, 10);
    f.panic = s.number("panic", f.panic, 0, 1);
    f.step_out = s.number("step_out", f.step_out, 0.01, 1);
    f.step_back = s.number("step_back", f.step_back, 0.01, 1);
    f.least = s.number("least", f.least, 0, 1);
    f.hold = ms("hold_ms", f.hold, 500, 3'600'000);
    f.confirm = ms("confirm_ms", f.confirm, 0, 60'000);
    f.slot = ms("slot_ms", f.slot, 50, 10'000);
    f.witnesses =
        static_cast<std::size_t>(s.whole("witnesses", static_cast<std::int64_t>(f.witnesses), 1, 64));
    const bool named = std::any_of(f.zones.begin(), f.zones.end(),
                                   [&own](const cluster::FailoverZone& z) { return z.name == own; });
    if (!named)
        s.wrong("zones", "this router's own zone is not among them: " + own);
    return f;
}

PeersSettings parse_peers(Section s) {
    PeersSettings p;
    if (!s.present())
        return p;
    p.name = s.text("name");
    p.zone = s.text("zone");
    p.region = s.text("region");
    p.bind = endpoint(s, "bind");
    p.advertise = endpoint(s, "advertise");
    p.seeds = s.texts("seeds", 64);
    for (const auto& seed : p.seeds)
        if (!parse_endpoint(seed))
            s.wrong("seeds", "not an address and a port: " + seed);
    p.probe_ms = s.whole("probe_ms", p.probe_ms, 10, 60'000);
    p.probe_timeout_ms = s.whole("probe_timeout_ms", p.probe_timeout_ms, 1, 60'000);
    p.push_pull_ms = s.whole("push_pull_ms", p.push_pull_ms, 100, 3'600'000);
    p.dead_keep_ms = s.whole("dead_keep_ms", p.dead_keep_ms, 1'000, 86'400'000);
    p.indirect = s.whole("indirect", p.indirect, 0, 16);
    p.suspicion_mult = s.number("suspicion_mult", p.suspicion_mult, 1, 100);
    p.suspicion_max_mult = s.number("suspicion_max_mult", p.suspicion_max_mult, 1, 100);
    p.replica_ms = s.whole("replica_ms", p.replica_ms, 50, 60'000);
    p.tombstone_keep_ms = s.whole("tombstone_keep_ms", p.tombstone_keep_ms, 10'000, 30 * 86'400'000LL);
    p.hearsay_ms = s.whole("hearsay_ms", p.hearsay_ms, 0, 30'000);
    if (p.hearsay_ms > 0 && p.hearsay_ms < 1'000)
        s.wrong("hearsay_ms", "0, or 1000 to 30000");
    p.failover = parse_failover(s.child("failover"), p.zone);
    if (p.bind.empty())
        s.wrong("bind", "needed: where the peers' port is");
    if (p.name.empty() || p.name.size() > 64)
        s.wrong("name", "needed, of 1 to 64 bytes");
    if (p.zone.size() > 32)
        s.wrong("zone", "at most 32 bytes");
    if (p.region.size() > 32)
        s.wrong("region", "at most 32 bytes");
    if (p.probe_timeout_ms >= p.probe_ms)
        s.wrong("probe_timeout_ms", "must be shorter than probe_ms");
    return p;
}

}  // namespace

std::vector<const char*> changed_sections(const OperatorSettings& a, const OperatorSettings& b) {
    std::vector<const char*> names;
    if (a.peers != b.peers)
        names.push_back("peers");
    if (a.dns != b.dns)
        names.push_back("dns");
    if (a.acme != b.acme)
        names.push_back("acme");
    if (a.trace != b.trace)
        names.push_back("trace");
    return names;
}

OperatorSettings parse_operator(const Json::Value& root, std::vector<std::string>& problems) {
    OperatorSettings o;
    Section file{root, "", problems};
    o.peers = parse_peers(file.child("peers"));
    o.dns = parse_dns(file.child("dns"));
    o.acme = parse_acme(file.child("acme"), o.dns.on());
    o.trace = parse_trace(file.child("trace"));
    return o;
}

OperatorSettings load_operator(const std::string& path, bool must_exist, std::vector<std::string>& problems) {
    std::string text;
    try {
        text = store::read_file(path, kLongestFile);
    } catch (const std::system_error& e) {
        // Not there is one thing; there and not readable in this moment would turn every part off unseen.
        const bool absent = e.code() == std::errc::no_such_file_or_directory;
        if (!absent && store::is_momentary(e.code().value()))
            throw;
        if (must_exist || !absent)
            problems.push_back(path + ": can't be read");
        return {};
    }
    Json::CharReaderBuilder builder;
    builder["stackLimit"] = 64;
    builder["collectComments"] = false;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value root;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &root, &errors)) {
            while (!errors.empty() && errors.back() == '\n')
                errors.pop_back();
            problems.push_back(path + ": not JSON: " + errors);
            return {};
        }
    } catch (const Json::Exception& e) {
        problems.push_back(path + ": not JSON: " + e.what());
        return {};
    }
    std::vector<std::string> found;
    OperatorSettings o = parse_operator(root, found);
    for (const std::string& problem : found)
        problems.push_back(path + ": " + problem);
    return o;
}

}  // namespace silverrail::config
