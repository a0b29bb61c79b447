#include "config/fronts.h"

#include <fstream>
#include <sstream>

namespace silverrail::config {

namespace {

// Rule 3 (drains): a box may be named in a cache for 2 s after it was said to drain. Half of that is kept for
// the answer's way, so more than a second is not to be had.
constexpr std::uint32_t kLongestTtl = 1;

std::string text(const Json::Value& json, const char* key) {
    const Json::Value& v = json[key];
    if (v.isNull()) return {};
    if (!v.isString()) throw ConfigError(std::string{key} + ": expected a text");
    return v.asString();
}

std::uint32_t number(const Json::Value& json, const char* key, std::uint32_t fallback, std::uint32_t most) {
    const Json::Value& v = json[key];
    if (v.isNull()) return fallback;
    if (!v.isUInt() || v.asUInt() > most)
        throw ConfigError(std::string{key} + ": expected 0 to " + std::to_string(most));
    return v.asUInt();
}

const Json::Value& part(const Json::Value& root, const char* key) {
    const Json::Value& v = root[key];
    if (!v.isNull() && !v.isObject()) throw ConfigError(std::string{key} + ": expected an object");
    return v;
}

}  // namespace

Fronts parse_fronts(const Json::Value& root) {
    if (!root.isObject()) throw ConfigError("fronts: expected an object");
    Fronts f;
    if (const Json::Value& dns = part(root, "dns"); !dns.isNull()) {
        f.dns.udp = text(dns, "udp");
        f.dns.tcp = text(dns, "tcp");
        f.dns.tls = text(dns, "tls");
        f.dns.zone = text(dns, "zone");
        f.dns.server = text(dns, "server");
        f.dns.server_address = text(dns, "server_address");
        f.dns.mailbox = text(dns, "mailbox");
        f.dns.ttl_s = number(dns, "ttl_s", 1, kLongestTtl);
        f.dns.deadline = std::chrono::milliseconds{number(dns, "deadline_ms", 1000, 60'000)};
        if (f.dns.on() && (f.dns.zone.empty() || f.dns.server.empty()))
            throw ConfigError("dns: zone and server are needed");
        for (const std::string& at : {f.dns.udp, f.dns.tcp, f.dns.tls})
            if (!at.empty() && !parse_endpoint(at))
                throw ConfigError("dns: not an address and a port: " + at);
    }
    if (const Json::Value& acme = part(root, "acme"); !acme.isNull()) {
        f.acme.directory = text(acme, "directory");
        f.acme.contact = text(acme, "contact");
        f.acme.folder = text(acme, "folder");
        f.acme.trust = text(acme, "trust");
        if (f.acme.on() && !f.dns.on()) throw ConfigError("acme: its proofs need the DNS front");
    }
    return f;
}

Fronts load_fronts(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    if (!file) return {};
    std::ostringstream bytes;
    bytes << file.rdbuf();
    const auto json = parse_json(bytes.str());
    if (!json) throw ConfigError(path + ": not JSON");
    return parse_fronts(*json);
}

}  // namespace silverrail::config
