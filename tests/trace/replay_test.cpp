// The replay, on synthetic traces of the real core and decision module.
#include "trace/replay/replay.h"

#include <cstdio>

#include "synthetic_traces.h"

using namespace silverrail;
using namespace silverrail::trace;
using namespace silverrail::trace::model;

namespace {

void a_replay_finds_exactly_the_changed_decisions(const Bytes& trace) {
    OpenTrace whole{trace};
    const Replay same = replayed(whole);
    CHECK(!same.first_difference() && !same.stop() && same.events() > 4000 && same.decisions() > 2000);
    // One decision that was recorded otherwise is found, at its event, with its call.
    std::uint64_t changed_call = 0;
    int sends = 0;
    const auto spoil = [&](auto&& change) {
        return written([&](TraceWriter& w) {
            OpenTrace again{trace};
            sends = 0;
            again.reader.for_each({}, [&](const Record& r, bool from_snapshot, const EffectiveState&) {
                Record copy = r;
                if (auto* s = std::get_if<AttemptSent>(&copy.body); s && !from_snapshot && ++sends == 1000) {
                    changed_call = s->request;
                    change(*s);
                }
                if (!from_snapshot)
                    w.add(copy);
                return true;
            });
        });
    };
    OpenTrace target{spoil([](AttemptSent& s) { s.target = "s-elsewhere"; })};
    const Replay found = replayed(target);
    CHECK(found.first_difference() && found.first_difference()->kind == ActionDifference::target);
    CHECK(found.first_difference()->request == changed_call &&
          found.first_difference()->recorded_action.find("s-elsewhere") != std::string::npos);
    OpenTrace retention{spoil([](AttemptSent& s) { s.retention ^= 1; })};
    const Replay other = replayed(retention, ReplayMode::continue_after_difference);
    CHECK(other.differing_events() == 1 && other.events() == same.events());
    CHECK(other.differences().begin()->first.kind == ActionDifference::fill);
    // What is not whole is not compared past the hole.
    OpenTrace gap{written([&](TraceWriter& w) {
        OpenTrace again{trace};
        std::size_t n = 0;
        again.reader.for_each({}, [&](const Record& r, bool from_snapshot, const EffectiveState&) {
            if (!from_snapshot && ++n == 3000)
                w.add({r.at, 0, Gap{5, r.at, r.at}});
            if (!from_snapshot)
                w.add(r);
            return n < 6000;
        });
    })};
    const Replay stopped = replayed(gap);
    CHECK(stopped.stop() && describe(*stopped.stop()).starts_with("5 records") &&
          !stopped.first_difference());
}

}  // namespace

int main() {
    const GeneratedTraces traces = generate_short_trace();
    a_replay_finds_exactly_the_changed_decisions(traces[0]);
    std::puts("replay: finds what differs, and nothing else");
}
