// The control address's protocol: parses lines into commands, and formats results and counters.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/counters.h"

namespace silverrail::front::admin {

struct Command {
    enum class Kind { health, dump, offline, online, members, replica, failover, pin };
    Kind kind = Kind::health;
    std::string target{};  // offline, online: a server's id; pin: a zone
    std::string mode{};    // pin: IN, OUT or OFF
    bool operator==(const Command&) const = default;
};

// Why a line is no command, for the operator.
struct CommandError {
    std::string reason;
};

// `line` without its end. `terminated`: it had one; without, the line was cut or too long.
std::variant<Command, CommandError> parse_command(std::string_view line, bool terminated);

// The answers: "ACK" or "NAK", then a text for the operator, on one line.
std::string acknowledge(std::string_view text = {});
std::string reject(std::string_view reason);

// One "edge.NAME=VALUE" a line, then "--".
std::string counters_text(const core::Counters& counters);

}  // namespace silverrail::front::admin
