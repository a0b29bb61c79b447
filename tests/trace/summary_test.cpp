// Summaries of synthetic traces.
#include <cstdio>

#include "synthetic_traces.h"
#include "trace/tools/summarize.h"

using namespace silverrail;
using namespace silverrail::trace;
using namespace silverrail::trace::model;

namespace {

void a_summary_counts_every_request_once(const Bytes& trace, std::uint64_t calls) {
    OpenTrace whole{trace};
    Summarizer all;
    all.add(whole.reader);
    const auto& r = all.result();
    CHECK(r.intervals.size() == 1 && r.gaps == 0);
    std::uint64_t counted = 0;
    std::uint64_t outcomes = 0;
    for (const auto& [name, c] : r.intervals[0].requests.classes()) {
        counted += c.received;
        for (std::size_t i = 0; i < 7; ++i)
            outcomes += c.outcomes[i];
    }
    CHECK(counted == calls && outcomes == calls);
    OpenTrace again{trace};
    Summarizer parts{2 * kSecond};
    parts.add(again.reader);
    std::uint64_t in_parts = 0;
    for (const auto& i : parts.result().intervals)
        for (const auto& [name, c] : i.requests.classes())
            in_parts += c.received;
    CHECK(parts.result().intervals.size() == 5 && in_parts == calls);
    CHECK(json_of(r)["intervals"][0]["classes"].isMember("bulk-files"));
}

}  // namespace

int main() {
    const GeneratedTraces traces = generate_short_trace();
    a_summary_counts_every_request_once(traces[0], traces.descriptions[0].requests);
    std::puts("summary: every request is counted once");
}
