// The file: what is written is read, and what is spoilt is passed over, never taken for something else.
#include <cstdio>
#include <cstring>
#include <functional>

#include "records.h"

using namespace silverrail;
using namespace silverrail::trace;
using model::OwnedRecord;
using model::Record;

namespace {

std::vector<OwnedRecord> some_records(int count, std::uint64_t seed) {
    RandomRecords random{seed};
    std::vector<OwnedRecord> out;
    for (int i = 0; i < count; ++i)
        out.emplace_back(random.next());
    return out;
}

Bytes file_of(const std::vector<OwnedRecord>& records, std::size_t per_chunk) {
    return written(
        [&](Writer& w) {
            for (const OwnedRecord& k : records)
                w.add(k.record());
        },
        {per_chunk, 0, 3});
}

// Everything that was read is one of those written, in their order; gaps tell of what is not there.
std::size_t check_part(const std::vector<OwnedRecord>& read, const std::vector<OwnedRecord>& all, bool& gap) {
    std::size_t at = 0;
    std::size_t found = 0;
    for (const OwnedRecord& k : read) {
        std::size_t next = at;
        while (next < all.size() && !same(all[next].record(), k.record()))
            ++next;
        if (next == all.size()) {
            // Not written: only a gap that the reader itself tells of may be that.
            CHECK(std::holds_alternative<model::Gap>(k.record().body));
            gap = true;
            continue;
        }
        at = next + 1;
        ++found;
    }
    return found;
}

void check_round_trip() {
    const auto records = some_records(20'000, 1);
    MemorySource source{file_of(records, 3000)};
    Reader reader{source};
    CHECK(reader.indexed() && reader.chunks().size() == 7 && reader.flags() == 0);
    const auto read = read_all(reader);
    CHECK(read.size() == records.size());
    for (std::size_t i = 0; i < read.size(); ++i)
        CHECK(same(read[i].record(), records[i].record()));
    CHECK(reader.damage().empty());
    // Types that are not wanted are passed over, and the others are what they were.
    std::size_t sent = 0;
    std::size_t expected = 0;
    for (const OwnedRecord& k : records)
        expected += std::holds_alternative<model::AttemptSent>(k.record().body);
    reader.each({.wanted = types_of<model::AttemptSent>()},
                [&](const Record& r, bool held, const model::EffectiveState&) {
                    CHECK(std::holds_alternative<model::AttemptSent>(r.body));
                    sent += !held;
                    return true;
                });
    CHECK(sent == expected && sent > 500);
}

void check_every_cut() {
    const auto records = some_records(24, 2);
    const Bytes whole = file_of(records, 8);
    for (std::size_t n = 0; n < whole.size(); ++n) {
        MemorySource source{whole.substr(0, n)};
        try {
            Reader reader{source};
            bool gap = false;
            const std::size_t found = check_part(read_all(reader), records, gap);
            CHECK(n >= 32);
            // Whole chunks before the cut are all there; the end that is missing is told of.
            std::size_t whole_chunks = 0;
            for (const auto& c : reader.chunks())
                whole_chunks += c.summary.records - c.summary.held;
            CHECK(found == whole_chunks && found % 8 == 0 && !gap);
            CHECK(!reader.damage().empty());
        } catch (const Unreadable&) {
            CHECK(n < 32);
        }
    }
    MemorySource source{whole};
    Reader reader{source};
    CHECK(read_all(reader).size() == 24 && reader.damage().empty());
}

void check_every_flip() {
    const auto records = some_records(24, 3);
    const Bytes whole = file_of(records, 8);
    std::size_t told = 0;
    for (std::size_t n = 0; n < whole.size(); ++n) {
        Bytes spoilt = whole;
        spoilt[n] = static_cast<char>(spoilt[n] ^ (1 << (n % 8)));
        MemorySource source{std::move(spoilt)};
        try {
            Reader reader{source};
            bool gap = false;
            const std::size_t found = check_part(read_all(reader), records, gap);
            CHECK(found >= 16);  // two of three chunks, or all where the index or the header was hit
            CHECK(found == 24 || gap || !reader.damage().empty());
            told += !reader.damage().empty();
        } catch (const Unreadable&) {
            CHECK(n < 8);
        }
    }
    // Without its magic it is no trace; everything else was told of.
    CHECK(told + 8 == whole.size());
}

// A later minor version: more in a head, blocks of other kinds, other types of records.
void check_later_minor() {
    ChunkBuilder builder;
    for (int i = 0; i < 5; ++i)
        builder.add({100 + i, 0, model::ServerListChanged{}}, 100 + i, false);
    auto parts = builder.finish(3);
    // The types stand as they are, since there are few: one becomes a type that nobody knows.
    const auto types =
        parts.body.find(Bytes(5, static_cast<char>(model::type_of<model::ServerListChanged>())));
    CHECK(types != Bytes::npos);
    parts.body[types + 2] = 50;
    parts.head += "what a later version adds";
    const auto block = [](View kind, const Bytes& head, const Bytes& body) {
        Bytes out{kind};
        put_u32(out, static_cast<std::uint32_t>(head.size()));
        put_u32(out, static_cast<std::uint32_t>(body.size()));
        put_u32(out, 0);
        put_u64(out, checksum(head, checksum(out)));
        out += head + body;
        put_u64(out, checksum(body));
        return out;
    };
    const Bytes header = file_of({}, 10).substr(0, 32);
    MemorySource source{header + block("SLZZ", "other", "things") + block("SLCK", parts.head, parts.body)};
    Reader reader{source};
    CHECK(read_all(reader).size() == 4 && reader.unknown() == 1);
    for (const auto& d : reader.damage())
        CHECK(d.what.starts_with("no index"));

    const auto with_major = [&](std::uint16_t major, View magic) {
        Bytes h{magic};
        put_u16(h, major);
        put_u16(h, 0);
        put_u32(h, 0);
        put_u64(h, 0);
        put_u64(h, checksum(h));
        return h;
    };
    const struct {
        Bytes bytes;
        const char* says;
    } kRefused[] = {
        {with_major(2, {"SLTRACE\n", 8}), "major version 2"},
        {with_major(1, {"SLTRACK\n", 8}), "not a trace"},
        {"", "not a trace"},
        {"SLTRACE\n", "ends inside its header"},
    };
    for (const auto& c : kRefused) {
        MemorySource bad{c.bytes};
        try {
            Reader refused{bad};
            CHECK(false);
        } catch (const Unreadable& e) {
            CHECK(std::strstr(e.what(), c.says));
        }
    }
}

// Heads and bodies with good checksums and senseless insides must not be believed either.
void check_senseless_insides() {
    ChunkBuilder builder;
    RandomRecords random{9};
    for (int i = 0; i < 40; ++i) {
        const Record r = random.next();
        builder.add(r, r.at, false);
    }
    const auto parts = builder.finish(3);
    std::mt19937_64 dice{4};
    std::size_t refused = 0;
    for (int i = 0; i < 3000; ++i) {
        Bytes head = parts.head;
        Bytes body = parts.body;
        for (auto n = dice() % 3 + 1; n > 0; --n) {
            Bytes& hit = dice() % 2 ? head : body;
            hit[dice() % hit.size()] = static_cast<char>(dice());
        }
        if (dice() % 4 == 0)
            head.resize(dice() % head.size());
        if (dice() % 4 == 0)
            body.resize(dice() % body.size());
        const auto view = ChunkView::open(head);
        Record r;
        bool held = false;
        if (!view || !view->load(body)) {
            ++refused;
            continue;
        }
        std::size_t n = 0;
        while (view->next(r, held))
            CHECK(++n <= kMostRecords);
    }
    CHECK(refused > 1500);
}

void check_codec() {
    const std::int64_t kInts[] = {0,
                                  1,
                                  -1,
                                  63,
                                  -64,
                                  64,
                                  1'000'000,
                                  std::numeric_limits<std::int64_t>::max(),
                                  std::numeric_limits<std::int64_t>::min()};
    for (const std::int64_t v : kInts) {
        CHECK(unzigzag(zigzag(v)) == v);
        Bytes b;
        put_varint(b, zigzag(v));
        View rest = b;
        std::uint64_t back = 0;
        CHECK(get_varint(rest, back) && unzigzag(back) == v && rest.empty());
        for (const std::int64_t w : kInts)
            CHECK(sum(w, difference(v, w)) == v);
    }
    const struct {
        const char* bytes;
        std::size_t size;
    } kBad[] = {{"", 0},
                {"\x80", 1},
                {"\xff\xff\xff\xff\xff\xff\xff\xff\xff\x02", 10},
                {"\x80\x80\x80\x80\x80\x80\x80\x80\x80\x80\x01", 11}};
    for (const auto& c : kBad) {
        View rest{c.bytes, c.size};
        std::uint64_t v = 0;
        CHECK(!get_varint(rest, v));
    }
    Filter filter{1000};
    std::mt19937_64 dice{1};
    std::vector<std::uint64_t> keys(1000);
    for (auto& k : keys)
        filter.add(k = dice());
    for (const auto k : keys)
        CHECK(filter.may_hold(k));
    int wrong = 0;
    for (int i = 0; i < 10'000; ++i)
        wrong += filter.may_hold(dice());
    CHECK(wrong < 1500);
    CHECK(Filter{Bytes{}}.may_hold(1));
    Zstd zstd;
    const Bytes raw(5000, 'a');
    const auto packed = zstd.compressed(raw, 3);
    CHECK(packed && zstd.expanded(*packed, raw.size()) == raw);
    CHECK(!zstd.expanded(*packed, raw.size() - 1) && !zstd.expanded("no frame", 8));
}

// Each chunk opens with what is in force, so that any one of them stands alone.
void check_chunks_stand_alone() {
    const std::string settings = "{}";
    const auto bytes = written(
        [&](Writer& w) {
            model::RouterStarted start;
            start.router_name = "n1";
            start.settings = settings;
            start.offset = 1'000'000;
            w.add({1000, 0, start});
            w.add({1001, 0, model::ServerListChanged{2, true}});
            for (const char* id : {"s-a", "s-b"}) {
                model::ServerListEntry e;
                e.id = id;
                w.add({1001, 0, e});
            }
            w.add({1002, 0, model::PurgeReceived{false, 7, 3, 0, 0}});
            model::RequestReceived taken;
            taken.request = 5;
            taken.client_request_id = "kept";
            w.add({1003, 0, taken});
            model::AttemptSent sent;
            sent.request = 5;
            sent.target = "s-a";
            w.add({1004, 0, sent});
            for (int i = 0; i < 20; ++i)
                w.add({2000 + i, 0, model::TimerFired{1}});
        },
        {8, 0, 3});
    MemorySource source{bytes};
    Reader reader{source};
    CHECK(reader.chunks().size() == 4);
    const auto last = reader.load(3);
    CHECK(last && last->summary().held == 7);
    model::EffectiveState effective_state;
    Record r;
    bool held = false;
    while (last->next(r, held))
        effective_state.update(r);
    CHECK(effective_state.start(0) && effective_state.start(0)->router_name == "n1" &&
          effective_state.server_count(0) == 2);
    CHECK(effective_state.open_request(0, 5) &&
          effective_state.open_request(0, 5)->open_attempts.size() == 1);
    CHECK(std::get<model::RequestReceived>(effective_state.open_request(0, 5)->received.record().body)
              .client_request_id == "kept");
    CHECK(effective_state.unix_ns(0, 2000) == 1'002'000);
}

}  // namespace

int main() {
    check_codec();
    check_round_trip();
    check_every_cut();
    check_every_flip();
    check_later_minor();
    check_senseless_insides();
    check_chunks_stand_alone();
    std::puts("format: what is written is read, and nothing else");
}
