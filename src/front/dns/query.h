// Parses DNS queries (RFC 1035, 6891) from untrusted bytes.
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
    std::string question;  // as received; copied unchanged into the response
    Name name;
    std::uint16_t type = 0;
    std::uint16_t record_class = 0;
    std::optional<Edns> edns;

    bool asks_for(RecordType wanted) const {
        return type == static_cast<std::uint16_t>(wanted);
    }
};

// A message that cannot be parsed as a query, and the error response to it.
struct QueryError {
    bool respond = false;  // false: no response may be sent
    std::uint16_t id = 0;
    std::uint8_t opcode = 0;
    bool recursion_desired = false;
    Rcode rcode = Rcode::format_error;
};

std::variant<Query, QueryError> parse_query(std::string_view bytes);

// The size in bytes of the largest response that may be sent to the resolver over UDP.
std::size_t max_udp_response(const Query& query);

}  // namespace silverrail::front::dns
