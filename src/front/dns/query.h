// DNS queries (RFC 1035, 6891), read from bytes that may be anything.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "front/dns/name.h"
#include "front/dns/protocol.h"

namespace silverrail::front::dns {

struct Query {
    struct Edns {
        std::uint16_t udp_payload_bytes = kMinUdpPayloadBytes;
        std::uint8_t version = 0;
    };
    std::uint16_t id = 0;
    bool recursion_desired = false;
    std::string question;  // as it came, which is how it is echoed
    Name name;
    std::uint16_t type = 0;
    std::uint16_t record_class = 0;
    std::optional<Edns> edns;

    bool asks_for(RecordType wanted) const {
        return type == static_cast<std::uint16_t>(wanted);
    }
};

// What cannot be read as a query.
struct QueryError {
    bool respond = false;  // false: it must not be answered at all
    std::uint16_t id = 0;
    std::uint8_t opcode = 0;
    bool recursion_desired = false;
    Rcode rcode = Rcode::format_error;
};

std::variant<Query, QueryError> parse_query(std::string_view bytes);

// The longest response in bytes that the resolver takes over UDP.
std::size_t max_udp_response(const Query& query);

}  // namespace silverrail::front::dns
