#include "front/dns/response.h"

#include <arpa/inet.h>

#include <array>

namespace silverrail::front::dns {

namespace {

constexpr std::uint16_t kExtendedErrorOption = 15;
constexpr std::size_t kMaxExtendedTextBytes = 200;
constexpr unsigned kExtendedRcodeShift = 4;  // the RCODE bits above the 4 in the header
constexpr std::uint16_t kPointer = 0xc000;
constexpr std::size_t kTypeAndClassBytes = 4;
constexpr std::size_t kMaxStringBytes = 255;  // of one character-string in a TXT record
constexpr std::size_t kIpv4Bytes = 4;
constexpr std::size_t kIpv6Bytes = 16;

// SOA timers, in seconds. They have no effect, because the zone has no secondary servers.
constexpr std::uint32_t kRefresh = 3600;
constexpr std::uint32_t kRetry = 600;
constexpr std::uint32_t kExpire = 86'400;

void append_u16(std::string& out, std::size_t value) {
    out += static_cast<char>(value >> 8 & 0xff);
    out += static_cast<char>(value & 0xff);
}

void append_u32(std::string& out, std::uint32_t value) {
    append_u16(out, value >> 16);
    append_u16(out, value & 0xffff);
}

void append_header(std::string& out, std::uint16_t id, std::uint16_t flags) {
    append_u16(out, id);
    append_u16(out, flags);
}

struct SectionCounts {
    std::size_t questions = 0;
    std::size_t answers = 0;
    std::size_t authority = 0;
    std::size_t additional = 0;
};

void append_counts(std::string& out, const SectionCounts& counts) {
    append_u16(out, counts.questions);
    append_u16(out, counts.answers);
    append_u16(out, counts.authority);
    append_u16(out, counts.additional);
}

std::string extended_error_option(ExtendedError error, const std::string& full_text) {
    const std::string text = full_text.substr(0, kMaxExtendedTextBytes);
    std::string out;
    append_u16(out, kExtendedErrorOption);
    append_u16(out, sizeof(std::uint16_t) + text.size());
    append_u16(out, static_cast<std::uint16_t>(error));
    return out + text;
}

std::string opt_record(const Response& response) {
    const std::string options = response.extended_error
                                    ? extended_error_option(*response.extended_error, response.extended_text)
                                    : std::string{};
    std::string out(1, '\0');  // owner: the root
    append_u16(out, static_cast<std::uint16_t>(RecordType::opt));
    append_u16(out, kMaxUdpPayloadBytes);
    out += static_cast<char>(static_cast<std::uint16_t>(response.rcode) >> kExtendedRcodeShift);
    out += '\0';         // version
    append_u16(out, 0);  // flags
    append_u16(out, options.size());
    return out + options;
}

void append_record(std::string& out, const Record& record, std::size_t owner_at) {
    append_u16(out, kPointer | owner_at);
    append_u16(out, static_cast<std::uint16_t>(record.type));
    append_u16(out, kInternetClass);
    append_u32(out, record.ttl_s);
    append_u16(out, record.data.size());
    out += record.data;
}

std::uint16_t response_flags(const Query& query, const Response& response) {
    std::uint16_t flags = kResponseFlag;
    if (response.authoritative)
        flags |= kAuthoritativeFlag;
    if (query.recursion_desired)
        flags |= kRecursionDesiredFlag;
    return flags | (static_cast<std::uint16_t>(response.rcode) & kRcodeMask);
}

// The zone's name is a suffix of the queried name, so a compression pointer into the question can encode
// either owner name.
std::string encode_records(const Query& query, const Response& response, const Name& zone_name) {
    const std::size_t question_name_bytes = query.question.size() - kTypeAndClassBytes;
    const std::size_t apex_at = kHeaderBytes + question_name_bytes - encode_name(zone_name).size();
    std::string out;
    for (const auto* section : {&response.answers, &response.authority})
        for (const Record& record : *section)
            append_record(out, record, record.at_apex ? apex_at : kHeaderBytes);
    return out;
}

}  // namespace

std::string encode_response(const Query& query, const Response& response, const Name& zone_name,
                            std::size_t max_bytes) {
    const std::string records = encode_records(query, response, zone_name);
    const std::string opt = query.edns ? opt_record(response) : std::string{};
    const std::size_t size = kHeaderBytes + query.question.size() + records.size() + opt.size();
    const bool truncated = size > max_bytes;
    const std::uint16_t flags = response_flags(query, response);
    SectionCounts counts{.questions = 1, .additional = query.edns ? std::size_t{1} : 0};
    if (!truncated) {
        counts.answers = response.answers.size();
        counts.authority = response.authority.size();
    }
    std::string out;
    append_header(out, query.id, truncated ? flags | kTruncatedFlag : flags);
    append_counts(out, counts);
    out += query.question;
    if (!truncated)
        out += records;
    return out + opt;
}

std::string encode_error(const QueryError& error) {
    if (!error.respond)
        return {};
    auto flags = static_cast<std::uint16_t>(kResponseFlag | error.opcode << kOpcodeShift);
    if (error.recursion_desired)
        flags |= kRecursionDesiredFlag;
    flags |= static_cast<std::uint16_t>(error.rcode) & kRcodeMask;
    std::string out;
    append_header(out, error.id, flags);
    append_counts(out, {});
    return out;
}

std::string address_data(std::string_view address) {
    const std::string text{address};
    std::array<char, kIpv6Bytes> bytes{};
    if (::inet_pton(AF_INET, text.c_str(), bytes.data()) == 1)
        return {bytes.data(), kIpv4Bytes};
    if (::inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1)
        return {bytes.data(), kIpv6Bytes};
    return {};
}

std::string txt_data(std::string_view content) {
    std::string out;
    do {
        const std::string_view part = content.substr(0, kMaxStringBytes);
        out += static_cast<char>(part.size());
        out += part;
        content.remove_prefix(part.size());
    } while (!content.empty());
    return out;
}

std::string soa_data(const Name& name_server, const Name& mailbox, std::uint32_t serial,
                     std::uint32_t negative_ttl_s) {
    std::string out = encode_name(name_server) + encode_name(mailbox);
    for (const std::uint32_t value : {serial, kRefresh, kRetry, kExpire, negative_ttl_s})
        append_u32(out, value);
    return out;
}

}  // namespace silverrail::front::dns
