// The peers' bytes: a message and back, and a table of bad input, cut at every offset and flipped at every
// byte.
#include "cluster/wire.h"

#include <cstdio>
#include <string>

#include "../silverrail/check.h"

using namespace silverrail::cluster;
namespace wire = silverrail::cluster::wire;

namespace {

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

bool refused_as(const std::string& bytes, bool stream, wire::Trouble trouble) {
    const auto got = wire::decode(bytes, stream);
    const auto* t = std::get_if<wire::Trouble>(&got);
    return t && *t == trouble;
}

void check_round_trip() {
    for (std::size_t n : {0u, 1u, 6u, 16u}) {
        const auto m = sample(n);
        const auto bytes = wire::encode(m);
        const auto back = wire::decode(bytes, false);
        CHECK(std::holds_alternative<MembershipMessage>(back) && std::get<MembershipMessage>(back) == m);
    }
    auto push = sample(2);
    push.kind = MembershipMessage::Kind::push;
    push.digest.emplace().members = 77;
    for (std::size_t i = 0; i < kDigestBuckets; ++i)
        push.digest->buckets[i] = 0x0123456789abcdefULL * (i + 1);
    CHECK(std::get<MembershipMessage>(wire::decode(wire::encode(push), true)) == push);
    // A whole view goes on a stream, not in a datagram.
    const auto view = sample(600);
    const auto bytes = wire::encode(view);
    CHECK(bytes.size() > wire::kMostDatagram && bytes.size() < wire::kMostFrame);
    CHECK(std::get<MembershipMessage>(wire::decode(bytes, true)) == view);
    CHECK(refused_as(bytes, false, wire::Trouble::oversize));
    for (std::uint8_t k = 0; k <= static_cast<std::uint8_t>(ReplicaMessage::Kind::snapshot_page); ++k) {
        const auto m = replica_sample(static_cast<ReplicaMessage::Kind>(k));
        CHECK(std::get<ReplicaMessage>(wire::decode(wire::encode(m), true)) == m);
        const auto encoded = wire::encode(m);
        for (std::size_t cut = 0; cut < encoded.size(); ++cut)
            CHECK(std::holds_alternative<wire::Trouble>(wire::decode(encoded.substr(0, cut), true)));
        for (std::size_t at = 0; at < encoded.size(); ++at)
            for (int bit = 0; bit < 8; ++bit) {
                std::string b = encoded;
                b[at] = static_cast<char>(b[at] ^ (1 << bit));
                const auto got = wire::decode(b, true);
                if (const auto* r = std::get_if<ReplicaMessage>(&got))
                    CHECK(r->updates.size() <= 3 && r->cursor.size() <= kMaxKeyLength);
            }
    }
    // Over the bounds of a datagram, of a key, of a value, of an entry's writes.
    auto big = replica_sample(ReplicaMessage::Kind::gossip);
    while (big.updates.size() <= wire::kMostDatagramRecords)
        big.updates.push_back(big.updates.front());
    CHECK(refused_as(wire::encode(big), false, wire::Trouble::out_of_bounds) ||
          refused_as(wire::encode(big), false, wire::Trouble::oversize));
    big = replica_sample(ReplicaMessage::Kind::delta_exchange);
    big.updates[0].key = std::string(kMaxKeyLength + 1, 'k');
    CHECK(refused_as(wire::encode(big), true, wire::Trouble::out_of_bounds));
    big = replica_sample(ReplicaMessage::Kind::delta_exchange);
    big.updates[0].entry.writes.begin()->second.value = std::string(kMaxValueLength + 1, 'v');
    CHECK(refused_as(wire::encode(big), true, wire::Trouble::out_of_bounds));
    big = replica_sample(ReplicaMessage::Kind::delta_exchange);
    for (std::size_t i = 0; i <= kMaxWrites; ++i)
        big.updates[0].entry.writes[std::string{"o"}.append(std::to_string(i))] = {1, 0, 1, ""};
    CHECK(refused_as(wire::encode(big), true, wire::Trouble::out_of_bounds));
    const unsigned char header[4] = {0x00, 0x01, 0x02, 0x03};
    CHECK(wire::frame_length(header) == 0x010203u);
    const auto h = wire::frame_header(0x0a0b0c0d);
    CHECK(wire::frame_length(reinterpret_cast<const unsigned char*>(h.data())) == 0x0a0b0c0du);
}

void check_bad_input() {
    const std::string good = wire::encode(sample(3));
    std::string other_version = good;
    other_version[1] = 2;  // [10-array, version 1, ...]: the version is the second byte
    std::string long_name = wire::encode([] {
        auto m = sample(1);
        m.records[0].identity.name = std::string(65, 'n');
        return m;
    }());
    std::string long_address = wire::encode([] {
        auto m = sample(0);
        m.sender_address = std::string(65, 'a');
        return m;
    }());
    const struct {
        const char* what;
        std::string bytes;
        bool stream;
        wire::Trouble trouble;
    } kCases[] = {
        {"empty", "", false, wire::Trouble::undecodable},
        {"garbage", "\xc1\xc1\xc1", false, wire::Trouble::undecodable},
        {"a number, not a message", "\x2a", false, wire::Trouble::undecodable},
        {"another version", other_version, false, wire::Trouble::other_version},
        {"trailing bytes", good + std::string(1, '\0'), false, wire::Trouble::undecodable},
        {"a datagram too long", std::string(wire::kMostDatagram + 1, '\x90'), false, wire::Trouble::oversize},
        {"an array that claims 2^32-1 items", "\xdd\xff\xff\xff\xff", false, wire::Trouble::out_of_bounds},
        {"a string that claims 4 GB", std::string("\x9a\x01\x00\xdb\xff\xff\xff\xff", 8), false,
         wire::Trouble::undecodable},
        {"a string longer than any field", std::string("\x9a\x01\x00\xd9\xc8", 5) + std::string(200, 'a'),
         false, wire::Trouble::out_of_bounds},
        {"a name too long", long_name, false, wire::Trouble::out_of_bounds},
        {"an address too long", long_address, false, wire::Trouble::out_of_bounds},
        {"too many records for a datagram", wire::encode(sample(17)), false, wire::Trouble::out_of_bounds},
        {"a digest too short", good.substr(0, good.size() - 1) + std::string("\xc4\x02zz"), false,
         wire::Trouble::undecodable},
        {"a digest too long",
         good.substr(0, good.size() - 1) + std::string("\xc5\x02\x09") + std::string(521, 'z'), false,
         wire::Trouble::out_of_bounds},
        {"a state that is none",
         [&] {
             auto m = sample(1);
             std::string b = wire::encode(m);
             // The record's state sits just before its last string ("" here: 0xa0) and the message's nil.
             CHECK(b[b.size() - 3] == static_cast<char>(MemberState::alive));
             b[b.size() - 3] = 9;
             return b;
         }(),
         false, wire::Trouble::undecodable},
    };
    for (const auto& c : kCases) {
        if (!refused_as(c.bytes, c.stream, c.trouble)) {
            std::fprintf(stderr, "%s: not refused as it should be\n", c.what);
            CHECK(false);
        }
    }
    // Cut at every offset: never a message, never a crash.
    for (std::size_t cut = 0; cut < good.size(); ++cut)
        CHECK(std::holds_alternative<wire::Trouble>(wire::decode(good.substr(0, cut), false)));
    // Every byte flipped: either refused, or a message within every bound (never more than was there).
    for (std::size_t at = 0; at < good.size(); ++at)
        for (int bit = 0; bit < 8; ++bit) {
            std::string b = good;
            b[at] = static_cast<char>(b[at] ^ (1 << bit));
            const auto got = wire::decode(b, false);
            if (const auto* m = std::get_if<MembershipMessage>(&got)) {
                CHECK(m->records.size() <= wire::kMostDatagramRecords && m->sender.size() <= kMaxNameLength);
                for (const auto& r : m->records)
                    CHECK(r.identity.address.size() <= kMaxAddressLength);
            }
        }
}

}  // namespace

int main() {
    check_round_trip();
    check_bad_input();
    std::puts("wire: every message back as it was; bad bytes refused by kind, at every cut and flip");
}
