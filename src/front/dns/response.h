// DNS responses (RFC 1035, 6891, 8914), written.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "front/dns/query.h"

namespace silverrail::front::dns {

struct Record {
    bool at_apex = false;  // its owner is the zone's name; else the name that was asked for
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
    std::string extended_text{};  // the first 200 bytes are sent
};

// The whole message; one longer than `max_bytes` has only the question, and the flag that it is truncated.
// `zone_name`: of the zone that the query's name is in.
std::string encode_response(const Query& query, const Response& response, const Name& zone_name,
                            std::size_t max_bytes);
// Empty if it must not be answered.
std::string encode_error(const QueryError& error);

// RDATA. Of an address 4 or 16 bytes; empty if the text is no address.
std::string address_data(std::string_view address);
std::string txt_data(std::string_view text);
std::string soa_data(const Name& server, const Name& mailbox, std::uint32_t serial,
                     std::uint32_t negative_ttl_s);

}  // namespace silverrail::front::dns
