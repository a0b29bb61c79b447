// DNS messages (RFC 1035, 6891, 8914): queries read, responses written. No names are looked up here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace silverrail::front::dns {

enum class Type : std::uint16_t {
    a = 1,
    ns = 2,
    soa = 6,
    hinfo = 13,
    txt = 16,
    aaaa = 28,
    opt = 41,
    any = 255
};
enum class Rcode : std::uint16_t {
    no_error = 0,
    format_error = 1,
    server_failure = 2,
    name_error = 3,
    not_implemented = 4,
    refused = 5,
    bad_version = 16
};
// Extended errors (RFC 8914).
enum class Extended : std::uint16_t {
    other = 0,
    not_ready = 14,
    prohibited = 18,
    not_authoritative = 20,
    not_supported = 21,
    network_error = 23
};

using Name = std::vector<std::string>;  // labels, in lower case, the root's left out
std::optional<Name> parse_name(std::string_view dotted);
std::string wire_name(const Name& name);

struct Query {
    std::uint16_t id = 0;
    bool recursion_desired = false;
    std::string question;  // as it came, name and all: it is echoed to the letter
    Name name;
    std::uint16_t type = 0;
    std::uint16_t class_ = 0;
    struct Edns {
        std::uint16_t udp_size = 512;
        std::uint8_t version = 0;
    };
    std::optional<Edns> edns;
};
// What can't be read as a query: answered with the code, or with nothing at all.
struct Unreadable {
    bool answer = false;
    std::uint16_t id = 0;
    std::uint8_t opcode = 0;
    bool recursion_desired = false;
    Rcode rcode = Rcode::format_error;
};
std::variant<Query, Unreadable> parse_query(std::string_view bytes);

struct Record {
    bool at_zone = false;  // else the name that was asked for
    Type type = Type::a;
    std::uint32_t ttl = 0;
    std::string data;
};
struct Response {
    Rcode rcode = Rcode::no_error;
    bool authoritative = true;
    std::vector<Record> answers;
    std::vector<Record> authority;
    std::optional<Extended> extended;
    std::string extended_text;
};

constexpr std::size_t kUdpSize = 1232;  // what we offer and send over UDP at most
// What the asker can take over UDP.
std::size_t udp_limit(const Query& query);
// `zone` is the name that records `at_zone` stand at. Over `limit` bytes: only the question, and TC.
std::string encode(const Query& query, const Response& response, const Name& zone, std::size_t limit);
std::string encode(const Unreadable& unreadable);

// Record data.
std::string address_data(std::string_view address);  // 4 or 16 bytes; empty: not an address
std::string text_data(std::string_view text);
std::string soa_data(const Name& server, const Name& mailbox, std::uint32_t serial,
                     std::uint32_t negative_ttl);

}  // namespace silverrail::front::dns
