// What is said and what is heeded of servers: the voice's times, and a table of who says what.
#include "cluster/hearsay.h"

#include <cstdio>

#include "../silverrail/check.h"

using namespace silverrail;
using namespace silverrail::cluster;
using namespace std::chrono_literals;

namespace {

constexpr UnixMs kNow = 1'800'000'000'000;

ReplicatedEntry said(const std::string& value, UnixMs at) {
    const auto stamp = hybrid_timestamp(at);
    return {{{"o@1", {1, 0, stamp, value}}}, stamp};
}

void check_voice() {
    Voice voice{{.refresh = 4000ms}, 1};
    const auto nobody = [](const std::string&) {
        return std::size_t{0};
    };
    using Says = std::vector<Voice::Say>;
    const std::map<std::string, std::string> out{{"box/a", "out"}};
    CHECK((voice.tick(0ms, out, nobody) == Says{{"box/a", "out"}}));
    CHECK(voice.tick(3999ms, out, nobody).empty());
    CHECK((voice.tick(4000ms, out, nobody) == Says{{"box/a", "out"}}));             // again, before it ages
    CHECK((voice.tick(4100ms, {{"box/a", "x"}}, nobody) == Says{{"box/a", "x"}}));  // changed
    CHECK((voice.tick(4200ms, {}, nobody) == Says{{"box/a", std::nullopt}}));
    CHECK(voice.tick(4300ms, {}, nobody).empty());

    // Where enough others say it, it is not said, nor taken back; once some fall silent it is.
    Voice shy{{.refresh = 1000ms, .enough = 2, .spread = 500ms}, 2};
    std::size_t others = 2;
    const auto count = [&others](const std::string&) {
        return others;
    };
    for (Time t = 0ms; t < 3000ms; t += 50ms)
        CHECK(shy.tick(t, out, count).empty());
    CHECK(shy.tick(3000ms, {}, count).empty());
    others = 1;
    bool told = false;
    for (Time t = 3100ms; t < 3700ms; t += 50ms)
        told = told || !shy.tick(t, out, count).empty();
    CHECK(told);
    others = 5;  // who has spoken goes on
    CHECK((shy.tick(9000ms, out, count) == Says{{"box/a", "out"}}));
}

void check_heeded() {
    const struct {
        const char* what;
        std::vector<std::tuple<const char*, const char*, const char*, UnixMs>>
            reports;  // server, who, what, age
        std::vector<SeenServer> servers;
        std::set<std::string> out;
    } kCases[] = {
        {"nobody says anything", {}, {{"a", "z"}, {"b", "z"}}, {}},
        {"one router's word moves nobody", {{"a", "r1", "out", 0}}, {{"a", "z"}, {"b", "z"}}, {}},
        {"two do", {{"a", "r1", "out", 0}, {"a", "r2", "out", 900}}, {{"a", "z"}, {"b", "z"}}, {"a"}},
        {"one of them past its age",
         {{"a", "r1", "out", 0}, {"a", "r2", "out", 10'001}},
         {{"a", "z"}, {"b", "z"}},
         {}},
        {"one of them dead", {{"a", "r1", "out", 0}, {"a", "gone", "out", 0}}, {{"a", "z"}, {"b", "z"}}, {}},
        {"our own word does not count",
         {{"a", "r1", "out", 0}, {"a", "me", "out", 0}},
         {{"a", "z"}, {"b", "z"}},
         {}},
        {"who avoids it judges it by itself",
         {{"a", "r1", "out", 0}, {"a", "r2", "out", 0}},
         {{"a", "z", 0, true}, {"b", "z"}},
         {}},
        {"a box that our list lets go is nobody's affair",
         {{"a", "r1", "out", 0}, {"a", "r2", "out", 0}},
         {{"a", "z", 0, false, true}, {"b", "z"}},
         {}},
        {"a drain of the same process",
         {{"a", "r1", "drain 7", 0}, {"a", "r2", "drain 7", 0}},
         {{"a", "z", 7}, {"b", "z"}},
         {"a"}},
        {"a drain of the process before",
         {{"a", "r1", "drain 6", 0}, {"a", "r2", "drain 6", 0}},
         {{"a", "z", 7}, {"b", "z"}},
         {}},
        {"a drain and a failure are not the same word",
         {{"a", "r1", "drain 0", 0}, {"a", "r2", "out", 0}},
         {{"a", "z"}, {"b", "z"}},
         {}},
        {"half of a zone may go",
         {{"a", "r1", "out", 0}, {"a", "r2", "out", 0}, {"b", "r1", "out", 0}, {"b", "r2", "out", 0}},
         {{"a", "z"}, {"b", "z"}, {"c", "z"}, {"d", "z"}},
         {"a", "b"}},
        {"more than half: none of it, but another zone's",
         {{"a", "r1", "out", 0},
          {"a", "r2", "out", 0},
          {"b", "r1", "out", 0},
          {"b", "r2", "out", 0},
          {"y", "r1", "out", 0},
          {"y", "r2", "out", 0}},
         {{"a", "z"}, {"b", "z"}, {"c", "z"}, {"x", "w"}, {"y", "w"}},
         {"y"}},
        {"a box that we don't know", {{"q", "r1", "out", 0}, {"q", "r2", "out", 0}}, {{"a", "z"}}, {}},
    };
    for (const auto& c : kCases) {
        Hearsay h{"me", {}, 3};
        std::map<std::string, ReplicatedEntry> entries;
        for (const auto& [server, who, what, age] : c.reports)
            entries[report_key(std::string{"box/"} + server, who)] = said(what, kNow - age);
        const auto step = h.tick(0ms, kNow, c.servers, entries, {{"me", ""}, {"r1", ""}, {"r2", ""}});
        if (step.out != c.out)
            std::fprintf(stderr, "case: %s\n", c.what);
        CHECK(step.out == c.out);
        CHECK(h.counts().held_out == c.out.size() && h.out() == c.out.size());
        // All of it ends with the reports.
        CHECK(h.tick(1ms, kNow, c.servers, {}, {{"me", ""}, {"r1", ""}, {"r2", ""}}).out.empty());
        CHECK(h.counts().let_in == c.out.size());
    }
}

void check_said() {
    Hearsay h{"me", {}, 4};
    const std::map<std::string, std::string> alone{{"me", ""}};
    std::map<std::string, std::optional<std::string>> said_of;
    const auto run = [&](Time from, const std::vector<SeenServer>& servers) {
        for (Time t = from; t < from + 200ms; t += 20ms)
            for (const auto& s : h.tick(t, kNow + t.count(), servers, {}, alone).say)
                said_of[s.subject] = s.value;
    };
    run(0ms, {{"a", "z", 0, true}, {"b", "z", 9, false, true}, {"c", "z"}, {"t\tab", "z", 0, true}});
    CHECK((said_of ==
           std::map<std::string, std::optional<std::string>>{{"box/a", "out"}, {"box/b", "drain 9"}}));
    run(1000ms, {{"a", "z"}, {"b", "z", 9, false, true}});
    CHECK(!said_of["box/a"] && said_of["box/b"] == "drain 9");
    CHECK(report_key(std::string(kMaxKeyLength, 'k'), "me").empty() && report_key("", "me").empty());
}

// Runs that ended leave nothing behind in a replica whose values age.
void check_origins_end() {
    ReplicaSettings s{
        .channel = 1, .tombstone_retention = 120'000, .value_retention = 60'000, .origin_retention = 600'000};
    Replica a{"a", "a", "a@1", s, 1, 0ms}, b{"b", "b", "b@1", s, 2, 0ms};
    const auto round = [&](Time at) {
        const auto unix_now = kNow + at.count();
        for (auto* from : {&a, &b}) {
            std::vector<OutgoingReplicaMessage> out = from->tick(at, unix_now, {from == &a ? "b" : "a"});
            for (int hops = 0; !out.empty() && hops < 20; ++hops) {
                std::vector<OutgoingReplicaMessage> next;
                for (const auto& m : out)
                    for (auto& r : (m.address == "a" ? a : b).receive(m.message, at, unix_now))
                        next.push_back(std::move(r));
                out = std::move(next);
            }
        }
    };
    CHECK(a.set("box/x\ta", "out", kNow));
    for (Time t = 0ms; t < 5s; t += 500ms)
        round(t);
    CHECK(b.is_set("box/x\ta") && b.origins().contains("a@1") && a.digest() == b.digest());
    // Aged: gone from both, and from the summary; later the origin goes too.
    for (Time t = 5s; t < 100s; t += 1s)
        round(t);
    CHECK(!b.is_set("box/x\ta") && b.entries().empty() && b.digest() == ReplicaDigest{});
    for (Time t = 100s; t < 800s; t += 5s)
        round(t);
    CHECK(!b.origins().contains("a@1") && b.heard_versions().empty());
    // It speaks again under the same origin, and is heard.
    CHECK(a.set("box/y\ta", "out", kNow + 800'000));
    for (Time t = 800s; t < 805s; t += 500ms)
        round(t);
    CHECK(b.is_set("box/y\ta") && a.digest() == b.digest());
}

}  // namespace

int main() {
    check_voice();
    check_heeded();
    check_said();
    check_origins_end();
    std::puts("hearsay: as it should be");
}
