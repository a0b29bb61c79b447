// Any bytes at all, as a trace: the reader may refuse or pass over, never crash. With clang and
// -DSILVERRAIL_FUZZ=ON this is a libFuzzer target; otherwise it runs the small corpus that it makes itself
// and thousands of spoilt copies of it, the same ones each time.
#include <cstdint>

#include "records.h"
#include "trace/tools/cut.h"
#include "trace/tools/show.h"

using namespace silverrail::trace;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const MemorySource source{Bytes{reinterpret_cast<const char*>(data), size}};
    try {
        TraceReader reader{source};
        std::uint64_t records = 0;
        reader.for_each({}, [&](const Record&, bool, const silverrail::trace::model::EffectiveState&) {
            return ++records < 100'000;
        });
        show(reader, {}, [](const silverrail::trace::model::RequestTimeline& s, const Names& names) {
            (void)text_of(s, names);
        });
        MemorySink out;
        cut(reader, {}, out);
    } catch (const Unreadable&) {}
    // Past the checksums: the same bytes as a chunk's head, and as its body after a good head's length.
    if (size < 4)
        return 0;
    const std::size_t split = (data[0] | data[1] << 8) % (size - 2);
    const Bytes head{reinterpret_cast<const char*>(data) + 2, split};
    const Bytes body{reinterpret_cast<const char*>(data) + 2 + split, size - 2 - split};
    if (const auto view = ChunkReader::open(head); view && view->load(body)) {
        Record r;
        bool from_snapshot = false;
        while (view->next(r, from_snapshot)) {}
    }
    return 0;
}

#ifndef SILVERRAIL_FUZZ
int main() {
    std::mt19937_64 generator{17};
    for (std::uint64_t seed = 0; seed < 8; ++seed) {
        RandomRecords random{seed};
        const Bytes file = written(
            [&](TraceWriter& w) {
                for (int i = 0; i < 12; ++i)
                    w.add(random.next());
            },
            {5, 0, 3});
        ChunkWriter builder;
        for (int i = 0; i < 6; ++i) {
            const Record r = random.next();
            builder.add(r, r.at, false);
        }
        const auto parts = builder.finish(3);
        Bytes bare;
        put_u16(bare, static_cast<std::uint16_t>(parts.head.size()));
        bare += parts.head + parts.body;
        for (const Bytes& whole : {file, bare})
            for (int i = 0; i < 250; ++i) {
                Bytes spoilt = whole;
                for (auto n = generator() % 4; n > 0; --n)
                    spoilt[generator() % spoilt.size()] = static_cast<char>(generator());
                if (generator() % 3 == 0)
                    spoilt.resize(generator() % spoilt.size());
                LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(spoilt.data()), spoilt.size());
            }
    }
    std::puts("reader: whatever comes, it stands");
}
#endif
