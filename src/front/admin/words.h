// The words of the second address: a line into a call, the figures into text. Pure; nothing is decided here.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/counters.h"

namespace silverrail::front::admin {

struct Call {
    enum class Kind { health, dump, offline, online, members, replica, failover, pin };
    Kind kind = Kind::health;
    std::string server{};  // offline, online: its id; pin: the zone
    std::string how{};     // pin: IN, OUT or OFF
    bool operator==(const Call&) const = default;
};

// `line` without its end; `ended`: it had one. The call, or the reason why there is none.
std::variant<Call, std::string> parse(std::string_view line, bool ended);

// "ACK" or "NAK", with words for a person behind it, on one line.
std::string yes(std::string_view words = {});
std::string no(std::string_view why);

// One "edge.NAME=VALUE" a line, then "--".
std::string figures(const core::Counters& counters);

}  // namespace silverrail::front::admin
