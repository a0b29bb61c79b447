// Cuts of synthetic traces.
#include "trace/tools/cut.h"

#include <cstdio>
#include <limits>
#include <memory>

#include "synthetic_traces.h"
#include "trace/tools/show.h"

using namespace silverrail;
using namespace silverrail::trace;
using namespace silverrail::trace::model;

namespace {

void a_cut_keeps_all_records_of_its_time_and_stands_alone(const Bytes& trace) {
    OpenTrace whole{trace};
    const std::int64_t first = whole.reader.chunks().front().summary.first_unix_ns;
    // An answer in the middle: the cut ends right at it, and begins right at it.
    std::int64_t edge = 0;
    std::uint64_t edge_call = 0;
    std::size_t before = 0;
    std::size_t all = 0;
    whole.reader.for_each({}, [&](const Record& r, bool from_snapshot, const EffectiveState& f) {
        if (from_snapshot)
            return true;
        ++all;
        const std::int64_t at = f.unix_ns(r.router_index, r.at);
        if (edge == 0) {
            const auto* a = std::get_if<ResponseSent>(&r.body);
            if (a && at > first + 4 * kSecond && f.open_request(0, a->request)) {
                edge = at;
                edge_call = a->request;
            } else {
                ++before;
            }
        }
        return true;
    });
    CHECK(edge != 0);
    const auto part = [&](std::int64_t from, std::int64_t to) {
        Selection s;
        s.from_unix_ns = from;
        s.to_unix_ns = to;
        MemorySink sink;
        OpenTrace again{trace};
        cut(again.reader, s, sink);
        return std::make_unique<OpenTrace>(std::move(sink.bytes()));
    };
    const auto has = [&](OpenTrace& o) {
        bool found = false;
        o.reader.for_each({}, [&](const Record& r, bool from_snapshot, const EffectiveState&) {
            const auto* a = std::get_if<ResponseSent>(&r.body);
            found = found || (!from_snapshot && a && a->request == edge_call);
            return true;
        });
        return found;
    };
    constexpr auto kMax = std::numeric_limits<std::int64_t>::max();
    constexpr auto kMin = std::numeric_limits<std::int64_t>::min();
    const auto head = part(kMin, edge);
    const auto tail = part(edge, kMax);
    CHECK(!has(*head) && has(*tail) && (tail->reader.flags() & kCut));
    // Nothing is lost or doubled between the two, and each has all of its own in order.
    const auto a = read_all(head->reader);
    const auto b = read_all(tail->reader);
    const auto both = read_all(whole.reader);
    CHECK(a.size() + b.size() == both.size() && both.size() == all && a.size() <= before);
    for (std::size_t i = 0; i < both.size(); ++i)
        CHECK(same((i < a.size() ? a[i] : b[i - a.size()]).record(), both[i].record()));
    // The tail stands alone: router, servers and the call that was open at the edge are known from its head.
    const auto chunk = tail->reader.read_chunk(0);
    EffectiveState f;
    Record r;
    bool from_snapshot = false;
    while (chunk->next(r, from_snapshot) && from_snapshot)
        f.update(r);
    CHECK(f.start(0) && f.server_count(0) == 14 && f.open_request(0, edge_call));
    bool shown = false;
    show(tail->reader, {}, [&](const RequestTimeline& s, const Names& names) {
        if (s.request != edge_call)
            return;
        shown = true;
        CHECK(s.open_at_start && s.answered() &&
              names.class_name(0, s.received.class_index).find('-') != std::string::npos);
    });
    CHECK(shown);
    // By class and outcome, the same calls as `show` finds.
    Selection refused;
    refused.classes = {"portal-pages", "bulk-files"};
    refused.outcomes = {"refused", "failed", "error", "reset", "abandoned"};
    std::size_t expected = 0;
    show(whole.reader, refused, [&](const RequestTimeline&, const Names&) { ++expected; });
    MemorySink sink;
    OpenTrace again{trace};
    const auto result = cut(again.reader, refused, sink);
    OpenTrace some{std::move(sink.bytes())};
    std::size_t found = 0;
    show(some.reader, {}, [&](const RequestTimeline& s, const Names& names) {
        CHECK(refused.matches(s, names.class_name(0, s.received.class_index)));
        ++found;
    });
    CHECK(expected > 5 && found == expected && result.requests == expected);
}

}  // namespace

int main() {
    const GeneratedTraces traces = generate_short_trace();
    a_cut_keeps_all_records_of_its_time_and_stands_alone(traces[0]);
    std::puts("cut: complete, and each part stands alone");
}
