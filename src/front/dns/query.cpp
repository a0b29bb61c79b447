#include "front/dns/query.h"

#include <algorithm>

namespace silverrail::front::dns {

namespace {

constexpr std::uint8_t kPointerMask = 0xc0;  // marks a compression pointer in place of a label length
constexpr unsigned kBitsPerByte = 8;

class MessageReader {
public:
    explicit MessageReader(std::string_view bytes) : bytes_(bytes) {}
    bool at_end() const {
        return position_ == bytes_.size();
    }
    std::size_t position() const {
        return position_;
    }
    std::optional<std::uint8_t> read_u8() {
        if (at_end())
            return std::nullopt;
        return static_cast<std::uint8_t>(bytes_[position_++]);
    }
    std::optional<std::uint16_t> read_u16() {
        const auto high = read_u8();
        const auto low = read_u8();
        if (!high || !low)
            return std::nullopt;
        return static_cast<std::uint16_t>(*high << kBitsPerByte | *low);
    }
    // Returns false if fewer than `count` bytes are left.
    bool skip(std::size_t count) {
        if (count > bytes_.size() - position_)
            return false;
        position_ += count;
        return true;
    }
    // Returns std::nullopt if the name is malformed or contains a compression pointer.
    std::optional<Name> read_name() {
        Name labels;
        std::size_t encoded_bytes = 1;  // the root label
        while (true) {
            const auto length = read_u8();
            if (!length)
                return std::nullopt;
            if (*length == 0)
                return labels;
            const std::size_t label_at = position_;
            encoded_bytes += *length + std::size_t{1};
            if (*length > kMaxLabelBytes || encoded_bytes > kMaxNameBytes || !skip(*length))
                return std::nullopt;
            labels.push_back(lower_case(bytes_.substr(label_at, *length)));
        }
    }
    // Accepts a name that ends in a compression pointer. Returns false if the name is malformed.
    bool skip_name() {
        std::size_t encoded_bytes = 1;
        while (true) {
            const auto length = read_u8();
            if (!length)
                return false;
            if (*length == 0)
                return true;
            if ((*length & kPointerMask) == kPointerMask)
                return skip(1);
            encoded_bytes += *length + std::size_t{1};
            if (*length > kMaxLabelBytes || encoded_bytes > kMaxNameBytes || !skip(*length))
                return false;
        }
    }

private:
    std::string_view bytes_;
    std::size_t position_ = 0;
};

// A record of the additional section. In an OPT record (RFC 6891) the class field is the UDP payload size and
// the second byte of the TTL field is the EDNS version.
struct AdditionalRecord {
    bool at_root = false;
    std::uint16_t type = 0;
    std::uint16_t record_class = 0;
    std::uint8_t version = 0;
};

// Returns std::nullopt if the record is malformed.
std::optional<AdditionalRecord> read_additional_record(MessageReader& reader) {
    const std::size_t name_at = reader.position();
    if (!reader.skip_name())
        return std::nullopt;
    const bool at_root = reader.position() == name_at + 1;
    const auto type = reader.read_u16();
    const auto record_class = reader.read_u16();
    const auto extended_rcode = reader.read_u8();
    const auto version = reader.read_u8();
    const auto flags = reader.read_u16();
    const auto data_bytes = reader.read_u16();
    const bool complete = type && record_class && extended_rcode && version && flags && data_bytes;
    if (!complete || !reader.skip(*data_bytes))
        return std::nullopt;
    return AdditionalRecord{at_root, *type, *record_class, *version};
}

// Reads the additional section and ignores all records but OPT. Returns false if the section is malformed.
bool read_additional_section(MessageReader& reader, std::uint16_t count, Query& query) {
    for (std::uint16_t i = 0; i < count; ++i) {
        const auto record = read_additional_record(reader);
        if (!record)
            return false;
        if (record->type != static_cast<std::uint16_t>(RecordType::opt))
            continue;
        if (query.edns || !record->at_root)
            return false;
        query.edns = Query::Edns{record->record_class, record->version};
    }
    return true;
}

struct Header {
    std::uint16_t id = 0;
    std::uint16_t flags = 0;
    std::uint16_t questions = 0;
    std::uint16_t answers = 0;
    std::uint16_t authority = 0;
    std::uint16_t additional = 0;
};

std::optional<Header> read_header(MessageReader& reader) {
    const auto id = reader.read_u16();
    const auto flags = reader.read_u16();
    const auto questions = reader.read_u16();
    const auto answers = reader.read_u16();
    const auto authority = reader.read_u16();
    const auto additional = reader.read_u16();
    // The fields are read in order, so if the last one is present, all are.
    if (!additional)
        return std::nullopt;
    return Header{*id, *flags, *questions, *answers, *authority, *additional};
}

// Reads the question and the additional section. Returns false if the message is malformed.
bool read_body(MessageReader& reader, std::string_view bytes, const Header& header, Query& query) {
    auto name = reader.read_name();
    const auto type = reader.read_u16();
    const auto record_class = reader.read_u16();
    if (!name || !type || !record_class)
        return false;
    query.question = bytes.substr(kHeaderBytes, reader.position() - kHeaderBytes);
    query.name = std::move(*name);
    query.type = *type;
    query.record_class = *record_class;
    return read_additional_section(reader, header.additional, query) && reader.at_end();
}

}  // namespace

std::variant<Query, QueryError> parse_query(std::string_view bytes) {
    MessageReader reader{bytes};
    const auto header = read_header(reader);
    // No response is sent to a message without a full header, or to a response: two DNS servers could
    // otherwise respond to each other endlessly.
    if (!header || (header->flags & kResponseFlag) != 0)
        return QueryError{};
    QueryError error{.respond = true,
                     .id = header->id,
                     .opcode = static_cast<std::uint8_t>(header->flags >> kOpcodeShift & kOpcodeMask),
                     .recursion_desired = (header->flags & kRecursionDesiredFlag) != 0};
    const bool is_standard_query = error.opcode == 0;
    if (!is_standard_query) {
        error.rcode = Rcode::not_implemented;
        return error;
    }
    if (header->questions != 1 || header->answers != 0 || header->authority != 0)
        return error;
    Query query;
    query.id = header->id;
    query.recursion_desired = error.recursion_desired;
    if (!read_body(reader, bytes, *header, query))
        return error;
    return query;
}

std::size_t max_udp_response(const Query& query) {
    if (!query.edns)
        return kMinUdpPayloadBytes;
    return std::clamp<std::size_t>(query.edns->udp_payload_bytes, kMinUdpPayloadBytes, kMaxUdpPayloadBytes);
}

}  // namespace silverrail::front::dns
