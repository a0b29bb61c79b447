#include "front/admin/command_parser.h"

#include <algorithm>
#include <array>
#include <optional>

#include "config/word_table.h"
#include "overrides/server_overrides.h"

namespace silverrail::front::admin {

namespace {

using Kind = Command::Kind;
using Parsed = std::variant<Command, CommandError>;

constexpr std::string_view kPin = "PIN";
constexpr std::array<std::string_view, 3> kPinModes{"IN", "OUT", "OFF"};

constexpr std::pair<std::string_view, Kind> kCommandsWithoutArguments[] = {{"HEALTH", Kind::health},
                                                                           {"DUMP", Kind::dump},
                                                                           {"MEMBERS", Kind::members},
                                                                           {"REPLICA", Kind::replica},
                                                                           {"FAILOVER", Kind::failover}};
constexpr std::pair<std::string_view, Kind> kServerCommands[] = {{"OFFLINE", Kind::offline},
                                                                 {"ONLINE", Kind::online}};

bool is_plain_text(std::string_view line) {
    return std::all_of(line.begin(), line.end(), [](char c) { return c >= ' ' && c < '\x7f'; });
}

Parsed parse_server_command(Kind kind, std::string_view word, std::string_view server) {
    if (!overrides::ServerOverrides::is_valid_id(server))
        return CommandError{std::string{word} + " takes the id of one box behind it"};
    return Command{kind, std::string{server}};
}

Parsed parse_pin(std::string_view arguments) {
    const auto space = arguments.find(' ');
    const std::string_view zone = arguments.substr(0, space);
    const std::string_view mode =
        space == std::string_view::npos ? std::string_view{} : arguments.substr(space + 1);
    const bool known_mode = std::find(kPinModes.begin(), kPinModes.end(), mode) != kPinModes.end();
    if (!overrides::ServerOverrides::is_valid_id(zone) || !known_mode)
        return CommandError{"PIN takes a zone and IN, OUT or OFF behind it"};
    return Command{Kind::pin, std::string{zone}, std::string{mode}};
}

std::string answer_line(std::string_view word, std::string_view text) {
    std::string line{word};
    if (!text.empty())
        line.append(" ").append(text);
    return line += '\n';
}

}  // namespace

Parsed parse_command(std::string_view line, bool terminated) {
    if (!terminated)
        return CommandError{"no end of line, or over the bound"};
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty())
        return CommandError{"an empty line"};
    if (!is_plain_text(line))
        return CommandError{"bytes that are no text"};
    const std::string_view word = line.substr(0, line.find(' '));
    const bool has_arguments = word.size() < line.size();
    const std::string_view arguments = has_arguments ? line.substr(word.size() + 1) : std::string_view{};
    if (const auto kind = config::find_word(kCommandsWithoutArguments, word)) {
        if (has_arguments)
            return CommandError{std::string{word} + " takes nothing behind it"};
        return Command{*kind};
    }
    if (const auto kind = config::find_word(kServerCommands, word))
        return parse_server_command(*kind, word, arguments);
    if (word == kPin)
        return parse_pin(arguments);
    return CommandError{
        "unknown call; there are HEALTH, DUMP, MEMBERS, REPLICA, FAILOVER, OFFLINE, ONLINE and PIN"};
}

std::string acknowledge(std::string_view text) {
    return answer_line("ACK", text);
}

std::string reject(std::string_view reason) {
    return answer_line("NAK", reason);
}

std::string counters_text(const core::Counters& counters) {
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
