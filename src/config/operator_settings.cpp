#include "config/operator_settings.h"

#include <algorithm>
#include <memory>
#include <system_error>
#include <variant>

#include "config/json_text.h"
#include "config/peers_settings.h"
#include "config/settings_section.h"
#include "store/read_file.h"

namespace silverrail::config {

namespace {

constexpr std::size_t kMaxFileBytes = 1024UL * 1024;

// Clients must not receive the address of a server later than 2 s after it began to drain. Delivery of a DNS
// response may take 1 s of that, so resolvers may cache it for the other second.
constexpr std::int64_t kMaxDnsTtlSeconds = 1;

DnsSettings parse_dns(SettingsSection section) {
    DnsSettings d;
    d.udp = read_endpoint(section, "udp");
    d.tcp = read_endpoint(section, "tcp");
    d.tls = read_endpoint(section, "tls");
    d.zone = section.string("zone");
    d.server = section.string("server");
    d.server_address = section.string("server_address");
    d.mailbox = section.string("mailbox");
    d.ttl_s = static_cast<std::uint32_t>(section.integer("ttl_s", 1, 0, kMaxDnsTtlSeconds));
    d.deadline = std::chrono::milliseconds{section.integer("deadline_ms", 1000, 0, 60'000)};
    if (d.on() && d.zone.empty())
        section.add_problem("zone", "required if a DNS listener is configured");
    if (d.on() && d.server.empty())
        section.add_problem("server", "required if a DNS listener is configured");
    return d;
}

AcmeSettings parse_acme(SettingsSection section, bool dns_on) {
    AcmeSettings a;
    a.directory = section.string("directory");
    a.contact = section.string("contact");
    a.folder = section.string("folder");
    a.trust = section.string("trust");
    if (a.on() && !dns_on)
        section.add_problem("directory", "requires a DNS listener, which answers the ACME challenges");
    return a;
}

void read_trace_files(SettingsSection& section, TraceSettings& t) {
    t.folder = section.string("folder");
    t.most_mb = section.integer("most_mb", t.most_mb, 1, 1 << 20);
    const std::int64_t half_of_total = std::max<std::int64_t>(1, t.most_mb / 2);
    t.file_mb = section.integer("file_mb", std::min<std::int64_t>(t.file_mb, half_of_total), 1, 1 << 16);
    t.file_minutes = section.integer("file_minutes", t.file_minutes, 1, 7LL * 24 * 60);
    t.flush_ms = section.integer("flush_ms", t.flush_ms, 20, 600'000);
    t.queue_kb = section.integer("queue_kb", t.queue_kb, 64, 1 << 20);
    t.flight_mb = section.integer("flight_mb", 0, 0, 1 << 14);
}

void read_trace_dump(SettingsSection section, TraceSettings& t) {
    t.dump_at_failed_share = section.number("at_failed_share", 0, 0, 1);
    t.dump_window_s = section.integer("window_s", t.dump_window_s, 1, 3600);
    t.dump_min_responses = section.integer("least_answers", t.dump_min_responses, 1, 1'000'000);
    t.dump_hold_off_s = section.integer("hold_off_s", t.dump_hold_off_s, 1, 86'400);
}

TraceSettings parse_trace(SettingsSection section) {
    TraceSettings t;
    read_trace_files(section, t);
    read_trace_dump(section.child("dump"), t);
    for (const std::string& field : section.keywords("leave_out", {"clients", "tags"})) {
        t.leave_out_clients = t.leave_out_clients || field == "clients";
        t.leave_out_tags = t.leave_out_tags || field == "tags";
    }
    if (t.file_mb * 2 > t.most_mb && t.flight_mb == 0 && t.most_mb > 1)
        section.add_problem("file_mb", "exceeds half of most_mb: no older file could be kept");
    if (t.flight_mb > 0 && t.folder.empty())
        section.add_problem("folder", "required if flight_mb is set: the flight recorder dumps there");
    if (t.dump_at_failed_share > 0 && t.flight_mb == 0)
        section.add_problem("dump.at_failed_share", "requires flight_mb");
    return t;
}

// Unlike parse_json, rejects duplicate keys and trailing data, and returns the parser's error message.
std::variant<Json::Value, ConfigProblem> parse_strict_json(const std::string& text) {
    Json::CharReaderBuilder builder;
    builder["stackLimit"] = kMaxJsonDepth;
    builder["collectComments"] = false;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value root;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &root, &errors))
            return root;
    } catch (const Json::Exception& e) {
        return ConfigProblem{.problem = std::string{"not JSON: "} + e.what()};
    }
    while (!errors.empty() && errors.back() == '\n')
        errors.pop_back();
    return ConfigProblem{.problem = "not JSON: " + errors};
}

}  // namespace

CheckedOperatorSettings parse_operator(const Json::Value& root) {
    CheckedOperatorSettings checked;
    // The destructor of `file` reports the keys that were not read, so it must run before the return.
    {
        SettingsSection file{root, "", checked.problems};
        checked.settings.peers = parse_peers(file.child("peers"));
        checked.settings.dns = parse_dns(file.child("dns"));
        checked.settings.acme = parse_acme(file.child("acme"), checked.settings.dns.on());
        checked.settings.trace = parse_trace(file.child("trace"));
    }
    return checked;
}

CheckedOperatorSettings load_operator(const std::string& path, bool must_exist) {
    std::string text;
    try {
        text = store::read_file(path, kMaxFileBytes);
    } catch (const std::system_error& e) {
        const bool absent = e.code() == std::errc::no_such_file_or_directory;
        // Must not be treated like an absent file, which would silently turn all subsystems off.
        if (!absent && store::is_transient(e.code().value()))
            throw;
        if (must_exist || !absent)
            return {.settings = {}, .problems = {{.file = path, .problem = "cannot be read"}}};
        return {};
    }
    auto json = parse_strict_json(text);
    CheckedOperatorSettings checked;
    if (auto* const problem = std::get_if<ConfigProblem>(&json))
        checked.problems.push_back(std::move(*problem));
    else
        checked = parse_operator(std::get<Json::Value>(json));
    for (ConfigProblem& problem : checked.problems)
        problem.file = path;
    return checked;
}

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

}  // namespace silverrail::config
