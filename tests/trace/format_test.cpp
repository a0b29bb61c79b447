// The file format: records are read as they were written; damage is skipped and reported.
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
        [&](TraceWriter& w) {
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

void records_are_read_as_they_were_written() {
    const auto records = some_records(20'000, 1);
    MemorySource source{file_of(records, 3000)};
    TraceReader reader{source};
    CHECK(reader.indexed() && reader.chunks().size() == 7 && reader.flags() == 0);
    const auto read = read_all(reader);
    CHECK(read.size() == records.size());
    for (std::size_t i = 0; i < read.size(); ++i)
        CHECK(same(read[i].record(), records[i].record()));
    CHECK(reader.damage().empty());
}

void only_records_of_wanted_types_are_read() {
    const auto records = some_records(20'000, 1);
    MemorySource source{file_of(records, 3000)};
    TraceReader reader{source};
    std::size_t sent = 0;
    std::size_t expected = 0;
    for (const OwnedRecord& k : records)
        expected += std::holds_alternative<model::AttemptSent>(k.record().body);
    reader.for_each({.types = types_of<model::AttemptSent>()},
                    [&](const Record& r, bool from_snapshot, const model::EffectiveState&) {
                        CHECK(std::holds_alternative<model::AttemptSent>(r.body));
                        sent += !from_snapshot;
                        return true;
                    });
    CHECK(sent == expected && sent > 500);
}

void a_file_cut_at_any_byte_yields_its_complete_chunks() {
    const auto records = some_records(24, 2);
    const Bytes whole = file_of(records, 8);
    for (std::size_t n = 0; n < whole.size(); ++n) {
        MemorySource source{whole.substr(0, n)};
        try {
            TraceReader reader{source};
            bool gap = false;
            const std::size_t found = check_part(read_all(reader), records, gap);
            CHECK(n >= 32);
            // Whole chunks before the cut are all there; the end that is missing is told of.
            std::size_t whole_chunks = 0;
            for (const auto& c : reader.chunks())
                whole_chunks += c.summary.new_records();
            CHECK(found == whole_chunks && found % 8 == 0 && !gap);
            CHECK(!reader.damage().empty());
        } catch (const Unreadable&) {
            CHECK(n < 32);
        }
    }
    MemorySource source{whole};
    TraceReader reader{source};
    CHECK(read_all(reader).size() == 24 && reader.damage().empty());
}

void a_flipped_bit_anywhere_is_noticed_and_loses_one_chunk_at_most() {
    const auto records = some_records(24, 3);
    const Bytes whole = file_of(records, 8);
    std::size_t told = 0;
    for (std::size_t n = 0; n < whole.size(); ++n) {
        Bytes spoilt = whole;
        spoilt[n] = static_cast<char>(spoilt[n] ^ (1 << (n % 8)));
        MemorySource source{std::move(spoilt)};
        try {
            TraceReader reader{source};
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

void additions_of_a_later_minor_version_are_skipped() {
    ChunkWriter builder;
    for (int i = 0; i < 5; ++i)
        builder.add({100 + i, 0, model::ServerListChanged{}}, 100 + i, false);
    auto parts = builder.finish(3);
    // The types stand as they are, since there are few: one becomes a type that nobody knows.
    const auto types =
        parts.body.find(Bytes(5, static_cast<char>(model::type_of<model::ServerListChanged>())));
    CHECK(types != Bytes::npos);
    parts.body[types + 2] = 50;
    parts.head += "what a later version adds";
    const auto block = [](ByteView kind, const Bytes& head, const Bytes& body) {
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
    TraceReader reader{source};
    CHECK(read_all(reader).size() == 4 && reader.unknown_records() == 1);
    for (const auto& d : reader.damage())
        CHECK(d.description.starts_with("no index"));
}

void other_major_versions_and_other_files_are_refused() {
    const auto with_major = [&](std::uint16_t major, ByteView magic) {
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
            TraceReader refused{bad};
            CHECK(false);
        } catch (const Unreadable& e) {
            CHECK(std::strstr(e.what(), c.says));
        }
    }
}

// Their checksums are right: only the decoder can notice.
void malformed_heads_and_bodies_are_refused_or_read_within_bounds() {
    ChunkWriter builder;
    RandomRecords random{9};
    for (int i = 0; i < 40; ++i) {
        const Record r = random.next();
        builder.add(r, r.at, false);
    }
    const auto parts = builder.finish(3);
    std::mt19937_64 generator{4};
    std::size_t refused = 0;
    for (int i = 0; i < 3000; ++i) {
        Bytes head = parts.head;
        Bytes body = parts.body;
        for (auto n = generator() % 3 + 1; n > 0; --n) {
            Bytes& hit = generator() % 2 ? head : body;
            hit[generator() % hit.size()] = static_cast<char>(generator());
        }
        if (generator() % 4 == 0)
            head.resize(generator() % head.size());
        if (generator() % 4 == 0)
            body.resize(generator() % body.size());
        const auto view = ChunkReader::open(head);
        Record r;
        bool from_snapshot = false;
        if (!view || !view->load(body)) {
            ++refused;
            continue;
        }
        std::size_t n = 0;
        while (view->next(r, from_snapshot))
            CHECK(++n <= kMaxChunkRecords);
    }
    CHECK(refused > 1500);
}

void numbers_are_decoded_as_they_were_encoded() {
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
        ByteView rest = b;
        std::uint64_t back = 0;
        CHECK(get_varint(rest, back) && unzigzag(back) == v && rest.empty());
        for (const std::int64_t w : kInts)
            CHECK(sum(w, difference(v, w)) == v);
    }
}

void malformed_varints_are_refused() {
    const struct {
        const char* bytes;
        std::size_t size;
    } kBad[] = {{"", 0},
                {"\x80", 1},
                {"\xff\xff\xff\xff\xff\xff\xff\xff\xff\x02", 10},
                {"\x80\x80\x80\x80\x80\x80\x80\x80\x80\x80\x01", 11}};
    for (const auto& c : kBad) {
        ByteView rest{c.bytes, c.size};
        std::uint64_t v = 0;
        CHECK(!get_varint(rest, v));
    }
}

void a_bloom_filter_contains_all_its_keys_and_few_others() {
    BloomFilter filter{1000};
    std::mt19937_64 generator{1};
    std::vector<std::uint64_t> keys(1000);
    for (auto& k : keys)
        filter.add(k = generator());
    for (const auto k : keys)
        CHECK(filter.may_contain(k));
    int wrong = 0;
    for (int i = 0; i < 10'000; ++i)
        wrong += filter.may_contain(generator());
    CHECK(wrong < 1500);
    CHECK(BloomFilter{Bytes{}}.may_contain(1));
}

void compressed_bytes_expand_to_their_exact_size_only() {
    ZstdCompressor zstd;
    const Bytes raw(5000, 'a');
    const auto packed = zstd.compress(raw, 3);
    CHECK(packed && zstd.decompress(*packed, raw.size()) == raw);
    CHECK(!zstd.decompress(*packed, raw.size() - 1) && !zstd.decompress("no frame", 8));
}

void every_chunk_begins_with_the_effective_state() {
    const std::string settings = "{}";
    const auto bytes = written(
        [&](TraceWriter& w) {
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
    TraceReader reader{source};
    CHECK(reader.chunks().size() == 4);
    const auto last = reader.read_chunk(3);
    CHECK(last && last->summary().snapshot_records == 7);
    model::EffectiveState effective_state;
    Record r;
    bool from_snapshot = false;
    while (last->next(r, from_snapshot))
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
    numbers_are_decoded_as_they_were_encoded();
    malformed_varints_are_refused();
    a_bloom_filter_contains_all_its_keys_and_few_others();
    compressed_bytes_expand_to_their_exact_size_only();
    records_are_read_as_they_were_written();
    only_records_of_wanted_types_are_read();
    a_file_cut_at_any_byte_yields_its_complete_chunks();
    a_flipped_bit_anywhere_is_noticed_and_loses_one_chunk_at_most();
    additions_of_a_later_minor_version_are_skipped();
    other_major_versions_and_other_files_are_refused();
    malformed_heads_and_bodies_are_refused_or_read_within_bounds();
    every_chunk_begins_with_the_effective_state();
    std::puts("format: records are read as they were written, damage is found");
}
