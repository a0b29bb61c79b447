#include "front/admin/words.h"

#include <algorithm>

#include "overrides/server_overrides.h"

namespace silverrail::front::admin {

namespace {

std::string line_of(const char* word, std::string_view words) {
    std::string line{word};
    if (!words.empty())
        line.append(" ").append(words);
    return line += '\n';
}

}  // namespace

std::variant<Call, std::string> parse(std::string_view line, bool ended) {
    if (!ended)
        return "no end of line, or over the bound";
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty())
        return "an empty line";
    const bool plain = std::all_of(line.begin(), line.end(), [](char c) { return c >= ' ' && c < '\x7f'; });
    if (!plain)
        return "bytes that are no text";
    const std::string_view word = line.substr(0, line.find(' '));
    const bool alone = word.size() == line.size();
    const std::pair<std::string_view, Call::Kind> kAlone[] = {{"HEALTH", Call::Kind::health},
                                                              {"DUMP", Call::Kind::dump},
                                                              {"MEMBERS", Call::Kind::members},
                                                              {"REPLICA", Call::Kind::replica},
                                                              {"FAILOVER", Call::Kind::failover}};
    for (const auto& [name, kind] : kAlone) {
        if (word != name)
            continue;
        if (!alone)
            return std::string{word} + " takes nothing behind it";
        return Call{kind};
    }
    if (word == "OFFLINE" || word == "ONLINE") {
        const std::string_view server = alone ? std::string_view{} : line.substr(word.size() + 1);
        if (!overrides::ServerOverrides::is_valid_id(server))
            return std::string{word} + " takes the id of one box behind it";
        return Call{word == "OFFLINE" ? Call::Kind::offline : Call::Kind::online, std::string{server}};
    }
    if (word == "PIN") {
        const std::string_view rest = alone ? std::string_view{} : line.substr(word.size() + 1);
        const auto space = rest.find(' ');
        const std::string_view zone = rest.substr(0, space);
        const std::string_view how =
            space == std::string_view::npos ? std::string_view{} : rest.substr(space + 1);
        if (!overrides::ServerOverrides::is_valid_id(zone) || (how != "IN" && how != "OUT" && how != "OFF"))
            return "PIN takes a zone and IN, OUT or OFF behind it";
        return Call{Call::Kind::pin, std::string{zone}, std::string{how}};
    }
    return "unknown call; there are HEALTH, DUMP, MEMBERS, REPLICA, FAILOVER, OFFLINE, ONLINE and PIN";
}

std::string yes(std::string_view words) {
    return line_of("ACK", words);
}
std::string no(std::string_view why) {
    return line_of("NAK", why);
}

std::string figures(const core::Counters& counters) {
    std::string out;
    const auto put = [&out](const std::string& name, std::uint64_t value) {
        out += "edge." + name + "=" + std::to_string(value) + "\n";
    };
    for (const auto& c : counters.classes) {
        put("success." + c.name, c.success);
        put("busy." + c.name, c.busy);
        put("failure." + c.name, c.failure);
    }
    put("backend_calls", counters.backend_calls);
    put("inflight", counters.inflight);
    put("hosts_listed", counters.hosts_listed);
    put("hosts_down", counters.hosts_down);
    return out += "--\n";
}

}  // namespace silverrail::front::admin
