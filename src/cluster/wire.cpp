#include "cluster/wire.h"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace silverrail::cluster::wire {

namespace {

constexpr std::size_t kDigestBytes = (kBuckets + 1) * 8;

// msgpack-cxx refuses, while it reads, any array, map or string over these: an oversize count in a small
// datagram can't make it allocate.
msgpack::unpack_limit limits(bool stream) {
    const std::size_t records = stream ? Message::kMostRecords : kMostDatagramRecords;
    return msgpack::unpack_limit(records + 16, 0, kLongestAddress + 1, kDigestBytes, 0, 4);
}

struct Bad {
    Trouble trouble;
};

const msgpack::object& at(const msgpack::object& array, std::uint32_t i) {
    if (array.type != msgpack::type::ARRAY || i >= array.via.array.size) throw Bad{Trouble::undecodable};
    return array.via.array.ptr[i];
}

std::string text(const msgpack::object& o, std::size_t most) {
    if (o.type != msgpack::type::STR) throw Bad{Trouble::undecodable};
    if (o.via.str.size > most) throw Bad{Trouble::out_of_bounds};
    return {o.via.str.ptr, o.via.str.size};
}

std::uint64_t whole(const msgpack::object& o) {
    if (o.type != msgpack::type::POSITIVE_INTEGER) throw Bad{Trouble::undecodable};
    return o.via.u64;
}

void pack_record(msgpack::packer<msgpack::sbuffer>& p, const Record& r) {
    p.pack_array(8);
    p.pack(r.who.name);
    p.pack(r.who.address);
    p.pack(r.who.zone);
    p.pack(r.who.region);
    p.pack(r.start);
    p.pack(r.incarnation);
    p.pack(static_cast<std::uint8_t>(r.state));
    p.pack(r.by);
}

Record record_of(const msgpack::object& o) {
    if (o.type != msgpack::type::ARRAY || o.via.array.size != 8) throw Bad{Trouble::undecodable};
    Record r;
    r.who.name = text(at(o, 0), kLongestName);
    r.who.address = text(at(o, 1), kLongestAddress);
    r.who.zone = text(at(o, 2), kLongestPlace);
    r.who.region = text(at(o, 3), kLongestPlace);
    r.start = whole(at(o, 4));
    r.incarnation = whole(at(o, 5));
    const auto state = whole(at(o, 6));
    if (state > static_cast<std::uint64_t>(State::left)) throw Bad{Trouble::undecodable};
    r.state = static_cast<State>(state);
    r.by = text(at(o, 7), kLongestName);
    return r;
}

std::optional<Digest> digest_of(const msgpack::object& o) {
    if (o.type == msgpack::type::NIL) return std::nullopt;
    if (o.type != msgpack::type::BIN || o.via.bin.size != kDigestBytes) throw Bad{Trouble::undecodable};
    Digest out{};
    for (std::size_t i = 0; i < kDigestBytes; ++i)
        (i < 8 ? out.roster : out.buckets[i / 8 - 1]) |=
            std::uint64_t{static_cast<unsigned char>(o.via.bin.ptr[i])} << (8 * (i % 8));
    return out;
}

}  // namespace

const char* name_of(Trouble trouble) {
    switch (trouble) {
        case Trouble::undecodable: return "undecodable";
        case Trouble::oversize: return "oversize";
        case Trouble::other_version: return "other_version";
        case Trouble::out_of_bounds: return "out_of_bounds";
    }
    return "?";
}

std::string encode(const Message& m) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> p{buffer};
    p.pack_array(10);
    p.pack(kVersion);
    p.pack(static_cast<std::uint8_t>(m.kind));
    p.pack(m.from);
    p.pack(m.from_start);
    p.pack(m.from_address);
    p.pack(m.seq);
    p.pack(m.target);
    p.pack(m.target_address);
    p.pack_array(static_cast<std::uint32_t>(m.records.size()));
    for (const auto& r : m.records) pack_record(p, r);
    if (m.digest) {
        std::string bytes;
        const auto put = [&bytes](std::uint64_t word) {
            for (int i = 0; i < 8; ++i) bytes += static_cast<char>(word >> (8 * i));
        };
        put(m.digest->roster);
        for (const auto word : m.digest->buckets) put(word);
        p.pack_bin(static_cast<std::uint32_t>(bytes.size()));
        p.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
    } else {
        p.pack_nil();
    }
    return {buffer.data(), buffer.size()};
}

std::variant<Message, Trouble> decode(std::string_view bytes, bool stream) {
    if (bytes.size() > (stream ? kMostFrame : kMostDatagram)) return Trouble::oversize;
    try {
        std::size_t offset = 0;
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limits(stream));
        if (offset != bytes.size()) return Trouble::undecodable;  // something after the message
        const msgpack::object& o = handle.get();
        if (o.type != msgpack::type::ARRAY || o.via.array.size < 1) return Trouble::undecodable;
        if (whole(at(o, 0)) != kVersion) return Trouble::other_version;
        if (o.via.array.size != 10) return Trouble::undecodable;
        Message m;
        const auto kind = whole(at(o, 1));
        if (kind > static_cast<std::uint64_t>(Message::Kind::gossip)) return Trouble::undecodable;
        m.kind = static_cast<Message::Kind>(kind);
        m.from = text(at(o, 2), kLongestName);
        m.from_start = whole(at(o, 3));
        m.from_address = text(at(o, 4), kLongestAddress);
        const auto seq = whole(at(o, 5));
        if (seq > UINT32_MAX) return Trouble::out_of_bounds;
        m.seq = static_cast<std::uint32_t>(seq);
        m.target = text(at(o, 6), kLongestName);
        m.target_address = text(at(o, 7), kLongestAddress);
        const auto& records = at(o, 8);
        if (records.type != msgpack::type::ARRAY) return Trouble::undecodable;
        if (records.via.array.size > (stream ? Message::kMostRecords : kMostDatagramRecords))
            return Trouble::out_of_bounds;
        m.records.reserve(records.via.array.size);
        for (std::uint32_t i = 0; i < records.via.array.size; ++i)
            m.records.push_back(record_of(records.via.array.ptr[i]));
        m.digest = digest_of(at(o, 9));
        return m;
    } catch (const Bad& bad) { return bad.trouble; } catch (const msgpack::size_overflow&) {
        return Trouble::out_of_bounds;
    } catch (const std::exception&) { return Trouble::undecodable; }
}

std::string frame_header(std::size_t length) {
    const auto n = static_cast<std::uint32_t>(length);
    return {static_cast<char>(n >> 24), static_cast<char>(n >> 16), static_cast<char>(n >> 8),
            static_cast<char>(n)};
}

std::uint32_t frame_length(const unsigned char h[4]) {
    return (std::uint32_t{h[0]} << 24) | (std::uint32_t{h[1]} << 16) | (std::uint32_t{h[2]} << 8) | h[3];
}

}  // namespace silverrail::cluster::wire
