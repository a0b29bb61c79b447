// The tools, on synthetic traces of the real core and module: cut, merge, strip, summary, replay.
#include <cstdio>
#include <cstring>
#include <memory>

#include "lab/synthetic_trace/synthetic_trace.h"
#include "records.h"
#include "trace/output/value_text.h"
#include "trace/replay/replay.h"
#include "trace/tools/cut.h"
#include "trace/tools/merge.h"
#include "trace/tools/show.h"
#include "trace/tools/strip.h"
#include "trace/tools/summarize.h"

using namespace silverrail;
using namespace silverrail::trace;
using namespace silverrail::trace::model;

namespace {

constexpr std::int64_t kSecond = 1'000'000'000;

struct Traces {
    std::vector<std::unique_ptr<MemorySink>> sinks;
    std::vector<lab::SyntheticTrace> descriptions;
    const Bytes& operator[](std::size_t i) {
        return sinks[i]->bytes();
    }
};
Traces make(const lab::SyntheticTracePlan& plan) {
    Traces traces;
    const auto open_output = [&traces](const lab::RouterProcess& process) -> lab::TraceOutput {
        traces.sinks.push_back(std::make_unique<MemorySink>());
        return {*traces.sinks.back(), process.router_name};
    };
    traces.descriptions = lab::generate_synthetic_traces(plan, open_output);
    return traces;
}

struct Open {
    explicit Open(Bytes bytes) : source(std::move(bytes)), reader(source) {}
    MemorySource source;
    TraceReader reader;
};

Replay replayed(Open& trace, ReplayMode mode = ReplayMode::stop_at_first_difference) {
    Replay replay{parse_settings, mode};
    trace.reader.for_each({}, [&](const Record& r, bool from_snapshot, const EffectiveState&) {
        return from_snapshot || replay.add(r);
    });
    replay.finish();
    return replay;
}

void a_replay_finds_exactly_the_changed_decisions(const Bytes& trace) {
    Open whole{trace};
    const Replay same = replayed(whole);
    CHECK(!same.first_difference() && !same.stop() && same.events() > 4000 && same.decisions() > 2000);
    // One decision that was recorded otherwise is found, at its event, with its call.
    std::uint64_t changed_call = 0;
    int sends = 0;
    const auto spoil = [&](auto&& change) {
        return written([&](TraceWriter& w) {
            Open again{trace};
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
    Open target{spoil([](AttemptSent& s) { s.target = "s-elsewhere"; })};
    const Replay found = replayed(target);
    CHECK(found.first_difference() && found.first_difference()->kind == ActionDifference::target);
    CHECK(found.first_difference()->request == changed_call &&
          found.first_difference()->recorded_action.find("s-elsewhere") != std::string::npos);
    Open retention{spoil([](AttemptSent& s) { s.retention ^= 1; })};
    const Replay other = replayed(retention, ReplayMode::continue_after_difference);
    CHECK(other.differing_events() == 1 && other.events() == same.events());
    CHECK(other.differences().begin()->first.kind == ActionDifference::fill);
    // What is not whole is not compared past the hole.
    Open gap{written([&](TraceWriter& w) {
        Open again{trace};
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

void a_cut_keeps_all_records_of_its_time_and_stands_alone(const Bytes& trace) {
    Open whole{trace};
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
        Open again{trace};
        cut(again.reader, s, sink);
        return std::make_unique<Open>(std::move(sink.bytes()));
    };
    const auto has = [&](Open& o) {
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
    Open again{trace};
    const auto result = cut(again.reader, refused, sink);
    Open some{std::move(sink.bytes())};
    std::size_t found = 0;
    show(some.reader, {}, [&](const RequestTimeline& s, const Names& names) {
        CHECK(refused.matches(s, names.class_name(0, s.received.class_index)));
        ++found;
    });
    CHECK(expected > 5 && found == expected && result.requests == expected);
}

void a_stripped_trace_identifies_no_client_and_can_be_replayed(const Bytes& trace) {
    Open whole{trace};
    std::set<std::string> addresses;
    std::set<std::uint64_t> ids;
    std::set<std::uint64_t> objects;
    bool v4 = false, v6 = false, mapped = false;
    whole.reader.for_each({}, [&](const Record& r, bool, const EffectiveState&) {
        if (const auto* t = std::get_if<RequestReceived>(&r.body)) {
            addresses.emplace(t->client);
            ids.insert(t->client_request_number);
            objects.insert(t->object);
            v4 = v4 || t->client.size() == 4;
            v6 = v6 || t->client.starts_with('\xfd');
            mapped = mapped || t->client.starts_with(Text{"\0\0\0\0\0\0\0\0\0\0\xff\xff", 12});
        }
        return true;
    });
    CHECK(v4 && v6 && mapped && ids.size() > 1000);
    const auto strip_to = [&](StripOptions options) {
        MemorySink sink;
        Open again{trace};
        strip(again.reader, options, sink);
        return std::move(sink.bytes());
    };
    const std::string key(32, 'k');
    Open stripped{strip_to({.key = key, .objects = true, .shift_ns = -3600 * kSecond})};
    CHECK(stripped.reader.flags() & kStripped);
    // Every field of every record, of snapshots too, as bytes and as text.
    std::string everything;
    std::map<std::string, std::string> pseudonyms;
    std::size_t calls = 0;
    stripped.reader.for_each({}, [&](const Record& r, bool, const EffectiveState&) {
        std::visit(
            [&]<class T>(const T& body) {
                if constexpr (std::is_same_v<T, RouterStarted>)
                    return;  // the operators' settings
                T::fields(body, [&](const char*, const auto& v, Encoding) {
                    using F = std::decay_t<decltype(v)>;
                    if constexpr (std::is_same_v<F, Text>)
                        everything += std::string{v} + '\n';
                    else if constexpr (std::is_same_v<F, std::uint64_t>)
                        CHECK(v < 1'000'000 || (!ids.contains(v) && !objects.contains(v)));
                });
            },
            r.body);
        if (const auto* t = std::get_if<RequestReceived>(&r.body)) {
            CHECK(t->client.size() == 8 && t->client_request_id.empty() && t->entity_tag.empty());
            ++calls;
        }
        if (const auto* a = std::get_if<ResponseSent>(&r.body))
            CHECK(a->entity_tag.empty());
        return true;
    });
    CHECK(calls > 1000);
    for (const std::string& a : addresses) {
        CHECK(everything.find(address_text(a)) == std::string::npos);
        if (a.size() == 16)
            CHECK(everything.find(a) == std::string::npos);
    }
    // Two spellings of one address are one client; the same key gives the same names, another one others.
    const auto client_names = [](Bytes bytes) {
        Open o{std::move(bytes)};
        std::vector<std::string> names;
        o.reader.for_each({}, [&](const Record& r, bool from_snapshot, const EffectiveState&) {
            if (const auto* t = std::get_if<RequestReceived>(&r.body); t && !from_snapshot)
                names.emplace_back(t->client);
            return true;
        });
        return names;
    };
    const auto first = client_names(strip_to({.key = key}));
    CHECK(first == client_names(strip_to({.key = key})) &&
          first != client_names(strip_to({.key = std::string(32, 'x')})));
    MemorySink two;
    {
        TraceWriter w{two, 0, 0};
        for (const Text c :
             {Text{"\x0a\x01\x02\x03", 4}, Text{"\0\0\0\0\0\0\0\0\0\0\xff\xff\x0a\x01\x02\x03", 16}}) {
            RequestReceived t;
            t.client = c;
            t.request = 1;
            w.add({1, 0, t});
        }
        w.close();
    }
    MemorySink out;
    Open pair{std::move(two.bytes())};
    CHECK(strip(pair.reader, {.key = key}, out).clients == 1);
    // Without --objects the decisions can still be replayed.
    Open kept{strip_to({.key = key})};
    const Replay again = replayed(kept);
    CHECK(!again.first_difference() && !again.stop() && again.events() > 4000);
}

// Three routers, clocks up to a second apart and drifting, one of them restarted in between.
void merged_clocks_agree_and_no_record_is_lost() {
    lab::SyntheticTracePlan plan;
    plan.duration_s = 120;
    plan.requests_per_s = 12;
    plan.routers = 3;
    plan.max_skew_ms = 1000;
    plan.max_drift_ppm = 100;
    plan.restart = true;
    plan.purges_per_s = 3;
    plan.seed = 11;
    Traces traces = make(plan);
    CHECK(traces.descriptions.size() == 4);
    std::vector<std::unique_ptr<Open>> open;
    std::vector<MergeInput> inputs;
    for (std::size_t i = 0; i < 4; ++i) {
        open.push_back(std::make_unique<Open>(traces[i]));
        inputs.push_back({traces.descriptions[i].file, &open.back()->reader});
    }
    MemorySink sink;
    const MergeResult result = merge(inputs, {}, sink);
    CHECK(result.routers.size() == 4);
    std::size_t reference = 4;
    for (std::size_t i = 0; i < 4; ++i)
        if (result.routers[i].is_reference)
            reference = i;
    CHECK(reference < 4);
    const auto ahead = [&](std::size_t i, double at_s) {
        return traces.descriptions[i].clock_error.offset_ms +
               traces.descriptions[i].clock_error.drift_ppm * at_s / 1e3;
    };
    double spread = 0;
    int borne_out = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        const auto& s = result.routers[i];
        CHECK(s.router_name == traces.descriptions[i].router_name);
        for (const double at_s : {30.0, 100.0}) {
            const auto at =
                plan.begin_unix_ns + static_cast<std::int64_t>((at_s * 1e3 + ahead(i, at_s)) * 1e6);
            const double residual = static_cast<double>(s.estimate.correction_ns(at)) / 1e6 + ahead(i, at_s) -
                                    ahead(reference, at_s);
            CHECK(std::abs(residual) < 40);
        }
        // Copies' ages bear the purges out.
        if (s.estimate.min_delay_difference_ns) {
            CHECK(std::abs(*s.estimate.min_delay_difference_ns) < 60e6);
            ++borne_out;
        }
        spread = std::max(spread, std::abs(ahead(i, 0) - ahead(reference, 0)));
    }
    CHECK(borne_out >= 1 && spread > 300);  // there was something to bring together
    // All records are there, each router's in its own order, and all of them about in the order of time.
    Open merged{std::move(sink.bytes())};
    std::map<std::uint32_t, std::int64_t> last;
    std::int64_t newest = 0;
    std::uint64_t records = 0;
    merged.reader.for_each({}, [&](const Record& r, bool from_snapshot, const EffectiveState& f) {
        if (from_snapshot)
            return true;
        ++records;
        CHECK(r.at >= last[r.router_index]);
        last[r.router_index] = r.at;
        const std::int64_t at = f.unix_ns(r.router_index, r.at);
        CHECK(at > newest - 5'000'000);
        newest = std::max(newest, at);
        return true;
    });
    std::uint64_t written_records = 0;
    for (const auto& o : open)
        for (const auto& c : o->reader.chunks())
            written_records += c.summary.new_records();
    CHECK(records == written_records && records == result.records && last.size() == 4);
    // A call's number means another call at another router and after a restart: none is mixed up.
    std::uint64_t calls = 0;
    show(merged.reader, {},
         [&](const RequestTimeline& s, const Names&) { calls += s.received_at != kNoTime; });
    std::uint64_t truth = 0;
    for (const auto& t : traces.descriptions)
        truth += t.requests;
    CHECK(calls == truth);
    const Replay replay = replayed(merged);
    CHECK(!replay.first_difference() && !replay.stop());
    // Given offsets stand before estimates; where nothing is shared, it says so.
    MemorySink given_sink;
    const MergeResult given = merge(inputs, {{"n1", -250.0}}, given_sink);
    for (const auto& s : given.routers)
        if (s.router_name == "n1")
            CHECK(s.estimate.basis == ClockOffsetEstimate::Basis::given && s.estimate.offset_ns == -250e6);
    lab::SyntheticTracePlan quiet;
    quiet.duration_s = 2;
    quiet.requests_per_s = 20;
    quiet.routers = 2;
    quiet.purges_per_s = 0;
    Traces nothing = make(quiet);
    Open n0{nothing[0]};
    Open n1{nothing[1]};
    MemorySink unused;
    try {
        merge({{"n0", &n0.reader}, {"n1", &n1.reader}}, {}, unused);
        CHECK(false);
    } catch (const ToolError& e) {
        CHECK(std::strstr(e.what(), "0 purges") && std::strstr(e.what(), "--offset"));
    }
}

void a_summary_counts_every_request_once(const Bytes& trace, std::uint64_t calls) {
    Open whole{trace};
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
    Open again{trace};
    Summarizer parts{2 * kSecond};
    parts.add(again.reader);
    std::uint64_t in_parts = 0;
    for (const auto& i : parts.result().intervals)
        for (const auto& [name, c] : i.requests.classes())
            in_parts += c.received;
    CHECK(parts.result().intervals.size() == 5 && in_parts == calls);
    CHECK(json_of(r)["intervals"][0]["classes"].isMember("bulk-files"));
}

void times_are_parsed_and_printed_as_rfc_3339() {
    const struct {
        const char* text;
        std::int64_t ns;  // -1: no time
    } kCases[] = {
        {"1970-01-01T00:00:00Z", 0},
        {"2026-06-30T10:00:00Z", 1'782'813'600 * kSecond},
        {"2026-06-30T20:00:00.25+10:00", 1'782'813'600 * kSecond + 250'000'000},
        {"2026-06-30T10:00:00", -1},
        {"2026-06-31T10:00:00Z", -1},
        {"2026-06-30T25:00:00Z", -1},
        {"2026-06-30T10:00:00.Z", -1},
        {"2026-06-30 10:00:00Z", -1},
        {"", -1},
    };
    for (const auto& c : kCases)
        CHECK(parse_time(c.text).value_or(-1) == c.ns);
    CHECK(time_text(1'782'813'600 * kSecond + 123'456'789) == "2026-06-30T10:00:00.123456Z");
    CHECK(address_text(Text{"\x0a\0\0\x01", 4}) == "10.0.0.1" && address_text("") == "");
}

}  // namespace

int main() {
    lab::SyntheticTracePlan plan;
    plan.duration_s = 10;
    plan.requests_per_s = 150;
    plan.seed = 3;
    Traces traces = make(plan);
    CHECK(traces[0] == make(plan)[0]);  // the same plan, the same bytes
    times_are_parsed_and_printed_as_rfc_3339();
    a_replay_finds_exactly_the_changed_decisions(traces[0]);
    a_cut_keeps_all_records_of_its_time_and_stands_alone(traces[0]);
    a_stripped_trace_identifies_no_client_and_can_be_replayed(traces[0]);
    a_summary_counts_every_request_once(traces[0], traces.descriptions[0].requests);
    merged_clocks_agree_and_no_record_is_lost();
    std::puts("tools: cut, merged, stripped, summed up and replayed as it should be");
}
