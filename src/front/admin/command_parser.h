// The protocol of the control address: parses command lines and formats responses and counters.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/counters.h"

namespace silverrail::front::admin {

struct Command {
    enum class Kind { health, dump, offline, online, members, replica, failover, pin };
    Kind kind = Kind::health;
    std::string target{};  // offline, online: server id; pin: zone
    std::string mode{};    // pin: IN, OUT or OFF
    bool operator==(const Command&) const = default;
};

// Why a line is not a valid command. The reason is shown to the operator.
struct CommandError {
    std::string reason;
};

// `line` excludes the line ending. `terminated` is false if the connection ended before the line ending or
// the line exceeded the length limit.
std::variant<Command, CommandError> parse_command(std::string_view line, bool terminated);

// Format a response as one line: "ACK" or "NAK", followed by a message for the operator.
std::string acknowledge(std::string_view message = {});
std::string reject(std::string_view reason);

// Formats one "edge.NAME=VALUE" per line, followed by a line "--".
std::string format_counters(const core::Counters& counters);

}  // namespace silverrail::front::admin
