#include "cluster/wire.h"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace silverrail::cluster::wire {

namespace {

constexpr std::size_t kDigestBytes = (kDigestBuckets + 1) * 8;

// msgpack-cxx refuses, while it reads, any array, map or string over these: an oversize count in a small
// datagram can't make it allocate.
msgpack::unpack_limit limits(bool stream) {
    static_assert(ReplicaMessage::kMaxUpdates <= MembershipMessage::kMaxRecords &&
                  ReplicaMessage::kMaxVersions <= MembershipMessage::kMaxRecords &&
                  kMaxKeyLength >= kMaxAddressLength && kMaxKeyLength >= kMaxValueLength &&
                  kMaxKeyLength >= kMaxOriginLength);
    const std::size_t records = stream ? MembershipMessage::kMaxRecords : kMostDatagramRecords;
    return msgpack::unpack_limit(records + 16, 0, kMaxKeyLength + 1, kDigestBytes, 0, 6);
}

struct Bad {
    Trouble trouble;
};

const msgpack::object& at(const msgpack::object& array, std::uint32_t i) {
    if (array.type != msgpack::type::ARRAY || i >= array.via.array.size)
        throw Bad{Trouble::undecodable};
    return array.via.array.ptr[i];
}

std::string text(const msgpack::object& o, std::size_t most) {
    if (o.type != msgpack::type::STR)
        throw Bad{Trouble::undecodable};
    if (o.via.str.size > most)
        throw Bad{Trouble::out_of_bounds};
    return {o.via.str.ptr, o.via.str.size};
}

std::uint64_t whole(const msgpack::object& o) {
    if (o.type != msgpack::type::POSITIVE_INTEGER)
        throw Bad{Trouble::undecodable};
    return o.via.u64;
}

void pack_record(msgpack::packer<msgpack::sbuffer>& p, const MemberRecord& r) {
    p.pack_array(8);
    p.pack(r.identity.name);
    p.pack(r.identity.address);
    p.pack(r.identity.zone);
    p.pack(r.identity.region);
    p.pack(r.start);
    p.pack(r.incarnation);
    p.pack(static_cast<std::uint8_t>(r.state));
    p.pack(r.reported_by);
}

MemberRecord record_of(const msgpack::object& o) {
    if (o.type != msgpack::type::ARRAY || o.via.array.size != 8)
        throw Bad{Trouble::undecodable};
    MemberRecord r;
    r.identity.name = text(at(o, 0), kMaxNameLength);
    r.identity.address = text(at(o, 1), kMaxAddressLength);
    r.identity.zone = text(at(o, 2), kMaxZoneLength);
    r.identity.region = text(at(o, 3), kMaxZoneLength);
    r.start = whole(at(o, 4));
    r.incarnation = whole(at(o, 5));
    const auto state = whole(at(o, 6));
    if (state > static_cast<std::uint64_t>(MemberState::left))
        throw Bad{Trouble::undecodable};
    r.state = static_cast<MemberState>(state);
    r.reported_by = text(at(o, 7), kMaxNameLength);
    return r;
}

// `words` numbers of eight bytes, little-endian.
void pack_words(msgpack::packer<msgpack::sbuffer>& p, const std::uint64_t* words, std::size_t n) {
    std::string bytes;
    for (std::size_t w = 0; w < n; ++w)
        for (int i = 0; i < 8; ++i)
            bytes += static_cast<char>(words[w] >> (8 * i));
    p.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    p.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

template <std::size_t N>
std::array<std::uint64_t, N> words_of(const msgpack::object& o) {
    if (o.type != msgpack::type::BIN || o.via.bin.size != N * 8)
        throw Bad{Trouble::undecodable};
    std::array<std::uint64_t, N> out{};
    for (std::size_t i = 0; i < N * 8; ++i)
        out[i / 8] |= std::uint64_t{static_cast<unsigned char>(o.via.bin.ptr[i])} << (8 * (i % 8));
    return out;
}

std::optional<MembershipDigest> digest_of(const msgpack::object& o) {
    if (o.type == msgpack::type::NIL)
        return std::nullopt;
    const auto words = words_of<kDigestBuckets + 1>(o);
    MembershipDigest out;
    out.members = words[0];
    std::copy(words.begin() + 1, words.end(), out.buckets.begin());
    return out;
}

constexpr std::uint8_t kReplicaKinds = 32;

bool yes(const msgpack::object& o) {
    if (o.type != msgpack::type::BOOLEAN)
        throw Bad{Trouble::undecodable};
    return o.via.boolean;
}

// The items of an array, at most `most`.
template <class Take>
void each(const msgpack::object& o, std::size_t most, Take take) {
    if (o.type != msgpack::type::ARRAY)
        throw Bad{Trouble::undecodable};
    if (o.via.array.size > most)
        throw Bad{Trouble::out_of_bounds};
    for (std::uint32_t i = 0; i < o.via.array.size; ++i)
        take(o.via.array.ptr[i]);
}

void pack_versions(msgpack::packer<msgpack::sbuffer>& p, const VersionVector& versions) {
    p.pack_array(static_cast<std::uint32_t>(versions.size()));
    for (const auto& [origin, version] : versions) {
        p.pack_array(2);
        p.pack(origin);
        p.pack(version);
    }
}

VersionVector versions_of(const msgpack::object& o) {
    VersionVector out;
    each(o, ReplicaMessage::kMaxVersions, [&out](const msgpack::object& item) {
        if (item.type != msgpack::type::ARRAY || item.via.array.size != 2)
            throw Bad{Trouble::undecodable};
        out.emplace(text(at(item, 0), kMaxOriginLength), whole(at(item, 1)));
    });
    return out;
}

// Two items: when it was changed, and its writes.
void pack_entry(msgpack::packer<msgpack::sbuffer>& p, const ReplicatedEntry& entry) {
    p.pack(entry.changed);
    p.pack_array(static_cast<std::uint32_t>(entry.writes.size()));
    for (const auto& [origin, write] : entry.writes) {
        p.pack_array(5);
        p.pack(origin);
        p.pack(write.set_version);
        p.pack(write.cleared_version);
        p.pack(write.timestamp);
        p.pack(write.value);
    }
}

ReplicatedEntry entry_of(const msgpack::object& changed, const msgpack::object& writes) {
    ReplicatedEntry entry;
    entry.changed = whole(changed);
    each(writes, kMaxWrites, [&entry](const msgpack::object& item) {
        if (item.type != msgpack::type::ARRAY || item.via.array.size != 5)
            throw Bad{Trouble::undecodable};
        entry.writes.emplace(text(at(item, 0), kMaxOriginLength),
                             OriginWrite{whole(at(item, 1)), whole(at(item, 2)), whole(at(item, 3)),
                                         text(at(item, 4), kMaxValueLength)});
    });
    return entry;
}

void pack_update(msgpack::packer<msgpack::sbuffer>& p, const ReplicaUpdate& u) {
    p.pack_array(5);
    p.pack(u.origin);
    p.pack(u.version);
    p.pack(u.key);
    pack_entry(p, u.entry);
}

ReplicaUpdate update_of(const msgpack::object& o) {
    if (o.type != msgpack::type::ARRAY || o.via.array.size != 5)
        throw Bad{Trouble::undecodable};
    ReplicaUpdate u;
    u.origin = text(at(o, 0), kMaxOriginLength);
    u.version = whole(at(o, 1));
    u.key = text(at(o, 2), kMaxKeyLength);
    u.entry = entry_of(at(o, 3), at(o, 4));
    return u;
}

ReplicaMessage replica_of(const msgpack::object& o, bool stream) {
    if (o.via.array.size != 13)
        throw Bad{Trouble::undecodable};
    ReplicaMessage m;
    const auto kind = whole(at(o, 1)) - kReplicaKinds;
    if (kind > static_cast<std::uint64_t>(ReplicaMessage::Kind::snapshot_page))
        throw Bad{Trouble::undecodable};
    m.kind = static_cast<ReplicaMessage::Kind>(kind);
    const auto channel = whole(at(o, 2));
    if (channel > 255)
        throw Bad{Trouble::out_of_bounds};
    m.channel = static_cast<std::uint8_t>(channel);
    m.sender = text(at(o, 3), kMaxNameLength);
    m.sender_address = text(at(o, 4), kMaxAddressLength);
    if (at(o, 5).type != msgpack::type::NIL)
        m.digest = words_of<kDigestBuckets>(at(o, 5));
    m.bucket_mask = whole(at(o, 6));
    m.versions = versions_of(at(o, 7));
    each(at(o, 8), stream ? ReplicaMessage::kMaxUpdates : kMostDatagramRecords,
         [&m](const msgpack::object& item) { m.updates.push_back(update_of(item)); });
    m.base_versions = versions_of(at(o, 9));
    m.cursor = text(at(o, 10), kMaxKeyLength);
    m.snapshot_needed = yes(at(o, 11));
    m.complete = yes(at(o, 12));
    return m;
}

}  // namespace

const char* name_of(Trouble trouble) {
    switch (trouble) {
        case Trouble::undecodable:
            return "undecodable";
        case Trouble::oversize:
            return "oversize";
        case Trouble::other_version:
            return "other_version";
        case Trouble::out_of_bounds:
            return "out_of_bounds";
    }
    return "?";
}

std::string encode(const MembershipMessage& m) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> p{buffer};
    p.pack_array(10);
    p.pack(kVersion);
    p.pack(static_cast<std::uint8_t>(m.kind));
    p.pack(m.sender);
    p.pack(m.sender_start);
    p.pack(m.sender_address);
    p.pack(m.sequence);
    p.pack(m.target);
    p.pack(m.target_address);
    p.pack_array(static_cast<std::uint32_t>(m.records.size()));
    for (const auto& r : m.records)
        pack_record(p, r);
    if (m.digest) {
        std::array<std::uint64_t, kDigestBuckets + 1> words{m.digest->members};
        std::copy(m.digest->buckets.begin(), m.digest->buckets.end(), words.begin() + 1);
        pack_words(p, words.data(), words.size());
    } else {
        p.pack_nil();
    }
    return {buffer.data(), buffer.size()};
}

std::string encode(const ReplicaMessage& m) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> p{buffer};
    p.pack_array(13);
    p.pack(kVersion);
    p.pack(static_cast<std::uint8_t>(kReplicaKinds + static_cast<std::uint8_t>(m.kind)));
    p.pack(m.channel);
    p.pack(m.sender);
    p.pack(m.sender_address);
    if (m.kind == ReplicaMessage::Kind::digest)
        pack_words(p, m.digest.data(), m.digest.size());
    else
        p.pack_nil();
    p.pack(m.bucket_mask);
    pack_versions(p, m.versions);
    p.pack_array(static_cast<std::uint32_t>(m.updates.size()));
    for (const auto& u : m.updates)
        pack_update(p, u);
    pack_versions(p, m.base_versions);
    p.pack(m.cursor);
    p.pack(m.snapshot_needed);
    p.pack(m.complete);
    return {buffer.data(), buffer.size()};
}

std::variant<MembershipMessage, ReplicaMessage, Trouble> decode(std::string_view bytes, bool stream) {
    if (bytes.size() > (stream ? kMostFrame : kMostDatagram))
        return Trouble::oversize;
    try {
        std::size_t offset = 0;
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limits(stream));
        if (offset != bytes.size())
            return Trouble::undecodable;  // something after the message
        const msgpack::object& o = handle.get();
        if (o.type != msgpack::type::ARRAY || o.via.array.size < 1)
            return Trouble::undecodable;
        if (whole(at(o, 0)) != kVersion)
            return Trouble::other_version;
        const auto kind = whole(at(o, 1));
        if (kind >= kReplicaKinds)
            return replica_of(o, stream);
        if (o.via.array.size != 10)
            return Trouble::undecodable;
        MembershipMessage m;
        if (kind > static_cast<std::uint64_t>(MembershipMessage::Kind::gossip))
            return Trouble::undecodable;
        m.kind = static_cast<MembershipMessage::Kind>(kind);
        m.sender = text(at(o, 2), kMaxNameLength);
        m.sender_start = whole(at(o, 3));
        m.sender_address = text(at(o, 4), kMaxAddressLength);
        const auto sequence = whole(at(o, 5));
        if (sequence > UINT32_MAX)
            return Trouble::out_of_bounds;
        m.sequence = static_cast<std::uint32_t>(sequence);
        m.target = text(at(o, 6), kMaxNameLength);
        m.target_address = text(at(o, 7), kMaxAddressLength);
        each(at(o, 8), stream ? MembershipMessage::kMaxRecords : kMostDatagramRecords,
             [&m](const msgpack::object& item) { m.records.push_back(record_of(item)); });
        m.digest = digest_of(at(o, 9));
        return m;
    } catch (const Bad& bad) {
        return bad.trouble;
    } catch (const msgpack::size_overflow&) {
        return Trouble::out_of_bounds;
    } catch (const std::exception&) {
        return Trouble::undecodable;
    }
}

std::string encode(const ReplicatedEntry& entry) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> p{buffer};
    p.pack_array(2);
    pack_entry(p, entry);
    return {buffer.data(), buffer.size()};
}

std::optional<ReplicatedEntry> decode_entry(std::string_view bytes) {
    try {
        std::size_t offset = 0;
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limits(false));
        const msgpack::object& o = handle.get();
        if (offset != bytes.size() || o.type != msgpack::type::ARRAY || o.via.array.size != 2)
            return std::nullopt;
        return entry_of(at(o, 0), at(o, 1));
    } catch (const Bad&) {
        return std::nullopt;
    } catch (const std::exception&) {
        return std::nullopt;
    }
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
