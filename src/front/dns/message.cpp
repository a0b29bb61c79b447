#include "front/dns/message.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>

namespace silverrail::front::dns {

namespace {

constexpr std::size_t kHeader = 12;
constexpr std::size_t kLongestName = 255;
constexpr std::size_t kLongestLabel = 63;
constexpr std::uint16_t kResponse = 0x8000;
constexpr std::uint16_t kAuthoritative = 0x0400;
constexpr std::uint16_t kTruncated = 0x0200;
constexpr std::uint16_t kRecursionDesired = 0x0100;

void put16(std::string& out, std::uint16_t value) {
    out += static_cast<char>(value >> 8);
    out += static_cast<char>(value & 0xff);
}
void put32(std::string& out, std::uint32_t value) {
    put16(out, static_cast<std::uint16_t>(value >> 16));
    put16(out, static_cast<std::uint16_t>(value & 0xffff));
}

class Reader {
public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}
    bool done() const {
        return at_ == bytes_.size();
    }
    std::size_t at() const {
        return at_;
    }
    std::optional<std::uint8_t> u8() {
        if (at_ >= bytes_.size())
            return std::nullopt;
        return static_cast<std::uint8_t>(bytes_[at_++]);
    }
    std::optional<std::uint16_t> u16() {
        const auto high = u8();
        const auto low = u8();
        if (!high || !low)
            return std::nullopt;
        return static_cast<std::uint16_t>(*high << 8 | *low);
    }
    bool skip(std::size_t count) {
        if (count > bytes_.size() - at_)
            return false;
        at_ += count;
        return true;
    }
    // A name with no pointer in it.
    std::optional<Name> name() {
        Name labels;
        std::size_t total = 1;
        while (true) {
            const auto length = u8();
            if (!length)
                return std::nullopt;
            if (*length == 0)
                return labels;
            total += *length + 1u;
            if (*length > kLongestLabel || total > kLongestName || *length > bytes_.size() - at_)
                return std::nullopt;
            std::string label{bytes_.substr(at_, *length)};
            std::transform(label.begin(), label.end(), label.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            labels.push_back(std::move(label));
            at_ += *length;
        }
    }
    // Past a name that may end in a pointer.
    bool skip_name() {
        for (std::size_t total = 1;;) {
            const auto length = u8();
            if (!length)
                return false;
            if (*length == 0)
                return true;
            if ((*length & 0xc0) == 0xc0)
                return skip(1);
            total += *length + 1u;
            if (*length > kLongestLabel || total > kLongestName || !skip(*length))
                return false;
        }
    }

private:
    std::string_view bytes_;
    std::size_t at_ = 0;
};

// The records behind the question: of use is only an OPT. False: malformed.
bool read_additional(Reader& in, std::uint16_t count, Query& query) {
    for (std::uint16_t i = 0; i < count; ++i) {
        const std::size_t begin = in.at();
        if (!in.skip_name())
            return false;
        const bool at_root = in.at() == begin + 1;
        const auto type = in.u16();
        const auto class_ = in.u16();
        if (!in.u8())
            return false;  // of an OPT: the upper bits of the code
        const auto version = in.u8();
        const auto flags = in.u16();
        const auto length = in.u16();
        if (!type || !class_ || !version || !flags || !length || !in.skip(*length))
            return false;
        if (*type != static_cast<std::uint16_t>(Type::opt))
            continue;
        if (query.edns || !at_root)
            return false;
        query.edns = Query::Edns{*class_, *version};
    }
    return true;
}

std::string opt_record(const Response& response) {
    std::string out(1, '\0');
    put16(out, static_cast<std::uint16_t>(Type::opt));
    put16(out, kUdpSize);
    out += static_cast<char>(static_cast<std::uint16_t>(response.rcode) >> 4);
    out += '\0';  // version
    put16(out, 0);
    std::string options;
    if (response.extended) {
        const std::string text = response.extended_text.substr(0, 200);
        put16(options, 15);
        put16(options, static_cast<std::uint16_t>(2 + text.size()));
        put16(options, static_cast<std::uint16_t>(*response.extended));
        options += text;
    }
    put16(out, static_cast<std::uint16_t>(options.size()));
    return out + options;
}

std::string header(std::uint16_t id, std::uint16_t flags, std::uint16_t questions, std::size_t answers,
                   std::size_t authority, std::size_t additional) {
    std::string out;
    put16(out, id);
    put16(out, flags);
    put16(out, questions);
    put16(out, static_cast<std::uint16_t>(answers));
    put16(out, static_cast<std::uint16_t>(authority));
    put16(out, static_cast<std::uint16_t>(additional));
    return out;
}

}  // namespace

std::optional<Name> parse_name(std::string_view dotted) {
    Name name;
    std::size_t total = 1;
    if (dotted.ends_with('.'))
        dotted.remove_suffix(1);
    while (!dotted.empty()) {
        const auto dot = dotted.find('.');
        std::string label{dotted.substr(0, dot)};
        total += label.size() + 1;
        if (label.empty() || label.size() > kLongestLabel || total > kLongestName)
            return std::nullopt;
        std::transform(label.begin(), label.end(), label.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        name.push_back(std::move(label));
        if (dot == std::string_view::npos)
            break;
        dotted.remove_prefix(dot + 1);
        if (dotted.empty())
            return std::nullopt;
    }
    return name;
}

std::string wire_name(const Name& name) {
    std::string out;
    for (const std::string& label : name) {
        out += static_cast<char>(label.size());
        out += label;
    }
    return out + '\0';
}

std::variant<Query, Unreadable> parse_query(std::string_view bytes) {
    Reader in{bytes};
    const auto id = in.u16();
    const auto flags = in.u16();
    const auto questions = in.u16();
    const auto answers = in.u16();
    const auto authority = in.u16();
    const auto additional = in.u16();
    // Too short to answer, or itself an answer: two servers must not talk to each other for ever.
    if (!additional || (*flags & kResponse))
        return Unreadable{};
    Unreadable bad{.answer = true,
                   .id = *id,
                   .opcode = static_cast<std::uint8_t>(*flags >> 11 & 0xf),
                   .recursion_desired = (*flags & kRecursionDesired) != 0};
    if (bad.opcode != 0) {
        bad.rcode = Rcode::not_implemented;
        return bad;
    }
    if (*questions != 1 || *answers != 0 || *authority != 0)
        return bad;
    Query query;
    query.id = *id;
    query.recursion_desired = bad.recursion_desired;
    auto name = in.name();
    const auto type = in.u16();
    const auto class_ = in.u16();
    if (!name || !type || !class_)
        return bad;
    query.question = bytes.substr(kHeader, in.at() - kHeader);
    query.name = std::move(*name);
    query.type = *type;
    query.class_ = *class_;
    if (!read_additional(in, *additional, query) || !in.done())
        return bad;
    return query;
}

std::size_t udp_limit(const Query& query) {
    return query.edns ? std::clamp<std::size_t>(query.edns->udp_size, 512, kUdpSize) : 512;
}

std::string encode(const Query& query, const Response& response, const Name& zone, std::size_t limit) {
    std::uint16_t flags = kResponse;
    if (response.authoritative)
        flags |= kAuthoritative;
    if (query.recursion_desired)
        flags |= kRecursionDesired;
    flags |= static_cast<std::uint16_t>(response.rcode) & 0xf;
    const std::string opt = query.edns ? opt_record(response) : std::string{};
    // The zone's name is the end of the name asked for, so a pointer stands for either.
    const std::size_t question_name = query.question.size() - 4;
    const auto zone_at = static_cast<std::uint16_t>(kHeader + question_name - wire_name(zone).size());
    std::string records;
    for (const auto* section : {&response.answers, &response.authority})
        for (const Record& r : *section) {
            put16(records, static_cast<std::uint16_t>(0xc000 | (r.at_zone ? zone_at : kHeader)));
            put16(records, static_cast<std::uint16_t>(r.type));
            put16(records, 1);
            put32(records, r.ttl);
            put16(records, static_cast<std::uint16_t>(r.data.size()));
            records += r.data;
        }
    if (kHeader + query.question.size() + records.size() + opt.size() > limit)
        return header(query.id, flags | kTruncated, 1, 0, 0, query.edns ? 1 : 0) + query.question + opt;
    return header(query.id, flags, 1, response.answers.size(), response.authority.size(),
                  query.edns ? 1 : 0) +
           query.question + records + opt;
}

std::string encode(const Unreadable& u) {
    if (!u.answer)
        return {};
    std::uint16_t flags = static_cast<std::uint16_t>(kResponse | u.opcode << 11);
    if (u.recursion_desired)
        flags |= kRecursionDesired;
    flags |= static_cast<std::uint16_t>(u.rcode) & 0xf;
    return header(u.id, flags, 0, 0, 0, 0);
}

std::string address_data(std::string_view address) {
    const std::string text{address};
    char bytes[16];
    if (::inet_pton(AF_INET, text.c_str(), bytes) == 1)
        return {bytes, 4};
    if (::inet_pton(AF_INET6, text.c_str(), bytes) == 1)
        return {bytes, 16};
    return {};
}

std::string text_data(std::string_view text) {
    std::string out;
    do {
        const std::string_view part = text.substr(0, 255);
        out += static_cast<char>(part.size());
        out += part;
        text.remove_prefix(part.size());
    } while (!text.empty());
    return out;
}

std::string soa_data(const Name& server, const Name& mailbox, std::uint32_t serial,
                     std::uint32_t negative_ttl) {
    std::string out = wire_name(server) + wire_name(mailbox);
    put32(out, serial);
    for (const std::uint32_t value : {3600u, 600u, 86400u, negative_ttl})
        put32(out, value);
    return out;
}

}  // namespace silverrail::front::dns
