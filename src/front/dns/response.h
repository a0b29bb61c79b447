// Encodes DNS responses (RFC 1035, 6891, 8914).
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "front/dns/query.h"

namespace silverrail::front::dns {

struct Record {
    bool at_apex = false;  // true: the owner is the zone apex; false: the queried name
    RecordType type = RecordType::a;
    std::uint32_t ttl_s = 0;
    std::string data{};  // RDATA
};

struct Response {
    Rcode rcode = Rcode::no_error;
    bool authoritative = true;
    std::vector<Record> answers{};
    std::vector<Record> authority{};
    std::optional<ExtendedError> extended_error{};
    std::string extended_text{};  // truncated to 200 bytes when sent
};

// Encodes the whole message. If it would exceed `max_bytes`, it has no records and the TC flag is set.
// `zone_name`: the zone that contains the queried name.
std::string encode_response(const Query& query, const Response& response, const Name& zone_name,
                            std::size_t max_bytes);
// Returns an empty string if no response may be sent.
std::string encode_error(const QueryError& error);

// These functions encode RDATA. For an address it is 4 or 16 bytes, or empty if the address is invalid.
std::string address_data(std::string_view address);
std::string txt_data(std::string_view content);
std::string soa_data(const Name& name_server, const Name& mailbox, std::uint32_t serial,
                     std::uint32_t negative_ttl_s);

}  // namespace silverrail::front::dns
