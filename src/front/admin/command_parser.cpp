#include "front/admin/command_parser.h"

#include <algorithm>
#include <array>
#include <optional>

#include "config/keyword_table.h"
#include "overrides/server_overrides.h"

namespace silverrail::front::admin {

namespace {

using Kind = Command::Kind;
using ParseResult = std::variant<Command, CommandError>;

constexpr std::string_view kPin = "PIN";
constexpr std::array<std::string_view, 3> kPinModes{"IN", "OUT", "OFF"};

constexpr std::pair<std::string_view, Kind> kCommandsWithoutArguments[] = {{"HEALTH", Kind::health},
                                                                           {"DUMP", Kind::dump},
                                                                           {"MEMBERS", Kind::members},
                                                                           {"REPLICA", Kind::replica},
                                                                           {"FAILOVER", Kind::failover}};
constexpr std::pair<std::string_view, Kind> kServerCommands[] = {{"OFFLINE", Kind::offline},
                                                                 {"ONLINE", Kind::online}};

bool is_printable_ascii(std::string_view line) {
    return std::all_of(line.begin(), line.end(), [](char c) { return c >= ' ' && c < '\x7f'; });
}

ParseResult parse_server_command(Kind kind, std::string_view keyword, std::string_view server) {
    if (!overrides::ServerOverrides::is_valid_id(server))
        return CommandError{std::string{keyword} + " expects exactly one server id"};
    return Command{kind, std::string{server}};
}

ParseResult parse_pin(std::string_view arguments) {
    const auto space = arguments.find(' ');
    const std::string_view zone = arguments.substr(0, space);
    const std::string_view mode =
        space == std::string_view::npos ? std::string_view{} : arguments.substr(space + 1);
    const bool known_mode = std::find(kPinModes.begin(), kPinModes.end(), mode) != kPinModes.end();
    if (!overrides::ServerOverrides::is_valid_id(zone) || !known_mode)
        return CommandError{"PIN expects a zone followed by IN, OUT or OFF"};
    return Command{Kind::pin, std::string{zone}, std::string{mode}};
}

std::string response_line(std::string_view keyword, std::string_view message) {
    std::string line{keyword};
    if (!message.empty())
        line.append(" ").append(message);
    return line += '\n';
}

}  // namespace

ParseResult parse_command(std::string_view line, bool terminated) {
    if (!terminated)
        return CommandError{"line is unterminated or too long"};
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty())
        return CommandError{"line is empty"};
    if (!is_printable_ascii(line))
        return CommandError{"line contains non-printable or non-ASCII bytes"};
    const std::string_view keyword = line.substr(0, line.find(' '));
    const bool has_arguments = keyword.size() < line.size();
    const std::string_view arguments = has_arguments ? line.substr(keyword.size() + 1) : std::string_view{};
    if (const auto kind = config::find_keyword(kCommandsWithoutArguments, keyword)) {
        if (has_arguments)
            return CommandError{std::string{keyword} + " takes no arguments"};
        return Command{*kind};
    }
    if (const auto kind = config::find_keyword(kServerCommands, keyword))
        return parse_server_command(*kind, keyword, arguments);
    if (keyword == kPin)
        return parse_pin(arguments);
    return CommandError{
        "unknown command; expected HEALTH, DUMP, MEMBERS, REPLICA, FAILOVER, OFFLINE, ONLINE or PIN"};
}

std::string acknowledge(std::string_view message) {
    return response_line("ACK", message);
}

std::string reject(std::string_view reason) {
    return response_line("NAK", reason);
}

std::string format_counters(const core::Counters& counters) {
    std::string out;
    const auto add = [&out](const std::string& name, std::uint64_t value) {
        out += "edge." + name + "=" + std::to_string(value) + "\n";
    };
    for (const auto& c : counters.classes) {
        add("success." + c.name, c.success);
        add("busy." + c.name, c.busy);
        add("failure." + c.name, c.failure);
    }
    add("backend_calls", counters.backend_calls);
    add("inflight", counters.inflight);
    add("hosts_listed", counters.hosts_listed);
    add("hosts_down", counters.hosts_down);
    return out += "--\n";
}

}  // namespace silverrail::front::admin
