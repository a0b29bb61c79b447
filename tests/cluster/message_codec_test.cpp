// Encoding and decoding of messages between routers, also of malformed input: a table of cases, truncation at
// every offset and a flip of every bit.
#include "cluster/codec/message_codec.h"

#include <cstdio>
#include <string>
#include <vector>

#include "../silverrail/check.h"

using namespace silverrail::cluster;
namespace codec = silverrail::cluster::codec;

namespace {

constexpr auto kDatagram = codec::Transport::datagram;
constexpr auto kStream = codec::Transport::stream;

MembershipMessage sample(std::size_t records) {
    MembershipMessage m;
    m.kind = MembershipMessage::Kind::ping_req;
    m.sender = "r-17";
    m.sender_start = 1'796'000'000'123;
    m.sender_address = "127.0.0.17:7946";
    m.sequence = 4'000'000'000u;
    m.target = "r-3";
    m.target_address = "127.0.0.3:7946";
    for (std::size_t i = 0; i < records; ++i)
        m.records.push_back({{"r-" + std::to_string(i), "127.0.0.1:" + std::to_string(7000 + i), "z2", "r1"},
                             1'796'000'000'000 + i,
                             i * 3,
                             static_cast<MemberState>(i % 4),
                             i % 2 ? "r-1" : ""});
    return m;
}

ReplicaMessage replica_sample(ReplicaMessage::Kind kind) {
    ReplicaMessage m;
    m.kind = kind;
    m.channel = 1;
    m.sender = "r-17";
    m.sender_address = "127.0.0.17:7946";
    if (kind == ReplicaMessage::Kind::digest)
        for (std::size_t i = 0; i < kDigestBuckets; ++i)
            m.digest[i] = 0x0123456789abcdefULL * (i + 1);
    m.bucket_mask = 0xfedcba9876543210ULL;
    m.versions = {{"a@1", 3}, {"b@2", 70'000}};
    m.base_versions = {{"a@1", 2}};
    m.cursor = "ban/x";
    m.snapshot_needed = true;
    m.complete = false;
    for (std::uint64_t i = 1; i < 4; ++i)
        m.updates.push_back({"a@1",
                             i,
                             std::string{"ban/"}.append(std::to_string(i)),
                             {{{"a@1", {i, 0, 1'800'000'000'000 << 16, "v"}}, {"b@2", {7, 7, 0, ""}}},
                              1'800'000'000'001 << 16}});
    return m;
}

bool rejected_as(const std::string& bytes, codec::Transport transport, codec::DecodeError error) {
    const auto decoded = codec::decode(bytes, transport);
    const auto* got = std::get_if<codec::DecodeError>(&decoded);
    return got && *got == error;
}

bool is_rejected(const std::string& bytes, codec::Transport transport) {
    return std::holds_alternative<codec::DecodeError>(codec::decode(bytes, transport));
}

std::string with_bit_flipped(std::string bytes, std::size_t at, int bit) {
    bytes[at] = static_cast<char>(bytes[at] ^ (1 << bit));
    return bytes;
}

void a_membership_message_survives_a_round_trip() {
    for (std::size_t records : {0u, 1u, 6u, 16u}) {
        const auto message = sample(records);
        const auto decoded = codec::decode(codec::encode(message), kDatagram);
        CHECK(std::holds_alternative<MembershipMessage>(decoded) &&
              std::get<MembershipMessage>(decoded) == message);
    }
    auto push = sample(2);
    push.kind = MembershipMessage::Kind::push;
    push.digest.emplace().members = 77;
    for (std::size_t i = 0; i < kDigestBuckets; ++i)
        push.digest->buckets[i] = 0x0123456789abcdefULL * (i + 1);
    CHECK(std::get<MembershipMessage>(codec::decode(codec::encode(push), kStream)) == push);
}

void a_full_view_fits_a_stream_but_not_a_datagram() {
    const auto view = sample(600);
    const auto bytes = codec::encode(view);
    CHECK(bytes.size() > codec::kMaxDatagramBytes && bytes.size() < codec::kMaxFrameBytes);
    CHECK(std::get<MembershipMessage>(codec::decode(bytes, kStream)) == view);
    CHECK(rejected_as(bytes, kDatagram, codec::DecodeError::oversize));
}

void a_replica_message_survives_a_round_trip_and_is_rejected_if_truncated() {
    for (std::uint8_t k = 0; k <= static_cast<std::uint8_t>(ReplicaMessage::Kind::snapshot_page); ++k) {
        const auto message = replica_sample(static_cast<ReplicaMessage::Kind>(k));
        const auto encoded = codec::encode(message);
        CHECK(std::get<ReplicaMessage>(codec::decode(encoded, kStream)) == message);
        for (std::size_t length = 0; length < encoded.size(); ++length)
            CHECK(is_rejected(encoded.substr(0, length), kStream));
        for (std::size_t at = 0; at < encoded.size(); ++at)
            for (int bit = 0; bit < 8; ++bit) {
                const auto decoded = codec::decode(with_bit_flipped(encoded, at, bit), kStream);
                if (const auto* got = std::get_if<ReplicaMessage>(&decoded))
                    CHECK(got->updates.size() <= 3 && got->cursor.size() <= kMaxKeyLength);
            }
    }
}

void a_replica_message_out_of_bounds_is_rejected() {
    auto big = replica_sample(ReplicaMessage::Kind::gossip);
    while (big.updates.size() <= codec::kMaxDatagramRecords)
        big.updates.push_back(big.updates.front());
    CHECK(rejected_as(codec::encode(big), kDatagram, codec::DecodeError::out_of_bounds) ||
          rejected_as(codec::encode(big), kDatagram, codec::DecodeError::oversize));
    big = replica_sample(ReplicaMessage::Kind::delta_exchange);
    big.updates[0].key = std::string(kMaxKeyLength + 1, 'k');
    CHECK(rejected_as(codec::encode(big), kStream, codec::DecodeError::out_of_bounds));
    big = replica_sample(ReplicaMessage::Kind::delta_exchange);
    big.updates[0].entry.writes.begin()->second.value = std::string(kMaxValueLength + 1, 'v');
    CHECK(rejected_as(codec::encode(big), kStream, codec::DecodeError::out_of_bounds));
    big = replica_sample(ReplicaMessage::Kind::delta_exchange);
    for (std::size_t i = 0; i <= kMaxWrites; ++i)
        big.updates[0].entry.writes[std::string{"o"}.append(std::to_string(i))] = {1, 0, 1, ""};
    CHECK(rejected_as(codec::encode(big), kStream, codec::DecodeError::out_of_bounds));
}

void a_frame_header_holds_the_length_big_endian() {
    const unsigned char header[4] = {0x00, 0x01, 0x02, 0x03};
    CHECK(codec::frame_length(header) == 0x010203u);
    const auto encoded = codec::frame_header(0x0a0b0c0d);
    CHECK(codec::frame_length(reinterpret_cast<const unsigned char*>(encoded.data())) == 0x0a0b0c0du);
}

struct BadInput {
    const char* what;
    std::string bytes;
    codec::DecodeError error;
};

std::vector<BadInput> bad_datagrams() {
    const std::string good = codec::encode(sample(3));
    std::string other_version = good;
    other_version[1] = 2;  // byte 0 is the array header, byte 1 the version
    std::string long_name = codec::encode([] {
        auto m = sample(1);
        m.records[0].identity.name = std::string(65, 'n');
        return m;
    }());
    std::string long_address = codec::encode([] {
        auto m = sample(0);
        m.sender_address = std::string(65, 'a');
        return m;
    }());
    return {
        {"empty", "", codec::DecodeError::undecodable},
        {"garbage", "\xc1\xc1\xc1", codec::DecodeError::undecodable},
        {"a number, not a message", "\x2a", codec::DecodeError::undecodable},
        {"another version", other_version, codec::DecodeError::other_version},
        {"trailing bytes", good + std::string(1, '\0'), codec::DecodeError::undecodable},
        {"a datagram that is too long", std::string(codec::kMaxDatagramBytes + 1, '\x90'),
         codec::DecodeError::oversize},
        {"an array that claims 2^32-1 items", "\xdd\xff\xff\xff\xff", codec::DecodeError::out_of_bounds},
        {"a string that claims 4 GB", std::string("\x9a\x01\x00\xdb\xff\xff\xff\xff", 8),
         codec::DecodeError::undecodable},
        {"a string longer than any field", std::string("\x9a\x01\x00\xd9\xc8", 5) + std::string(200, 'a'),
         codec::DecodeError::out_of_bounds},
        {"a name that is too long", long_name, codec::DecodeError::out_of_bounds},
        {"an address that is too long", long_address, codec::DecodeError::out_of_bounds},
        {"too many records for a datagram", codec::encode(sample(17)), codec::DecodeError::out_of_bounds},
        {"a digest that is too short", good.substr(0, good.size() - 1) + std::string("\xc4\x02zz"),
         codec::DecodeError::undecodable},
        {"a digest that is too long",
         good.substr(0, good.size() - 1) + std::string("\xc5\x02\x09") + std::string(521, 'z'),
         codec::DecodeError::out_of_bounds},
        {"an unknown member state",
         [&] {
             auto m = sample(1);
             std::string b = codec::encode(m);
             // The record's state precedes its last string (here empty: 0xa0) and the nil digest.
             CHECK(b[b.size() - 3] == static_cast<char>(MemberState::alive));
             b[b.size() - 3] = 9;
             return b;
         }(),
         codec::DecodeError::undecodable},
    };
}

void a_bad_datagram_is_rejected_with_the_right_error() {
    for (const auto& bad : bad_datagrams()) {
        if (!rejected_as(bad.bytes, kDatagram, bad.error)) {
            std::fprintf(stderr, "%s: not rejected with the expected error\n", bad.what);
            CHECK(false);
        }
    }
}

void a_truncated_datagram_is_rejected() {
    const auto good = codec::encode(sample(3));
    for (std::size_t length = 0; length < good.size(); ++length)
        CHECK(is_rejected(good.substr(0, length), kDatagram));
}

void a_datagram_with_a_flipped_bit_is_rejected_or_within_bounds() {
    const auto good = codec::encode(sample(3));
    for (std::size_t at = 0; at < good.size(); ++at)
        for (int bit = 0; bit < 8; ++bit) {
            const auto decoded = codec::decode(with_bit_flipped(good, at, bit), kDatagram);
            const auto* got = std::get_if<MembershipMessage>(&decoded);
            if (!got)
                continue;
            CHECK(got->records.size() <= codec::kMaxDatagramRecords && got->sender.size() <= kMaxNameLength);
            for (const auto& record : got->records)
                CHECK(record.identity.address.size() <= kMaxAddressLength);
        }
}

}  // namespace

int main() {
    a_membership_message_survives_a_round_trip();
    a_full_view_fits_a_stream_but_not_a_datagram();
    a_replica_message_survives_a_round_trip_and_is_rejected_if_truncated();
    a_replica_message_out_of_bounds_is_rejected();
    a_frame_header_holds_the_length_big_endian();
    a_bad_datagram_is_rejected_with_the_right_error();
    a_truncated_datagram_is_rejected();
    a_datagram_with_a_flipped_bit_is_rejected_or_within_bounds();
    std::puts("message codec: round trips, malformed, truncated and bit-flipped messages");
}
