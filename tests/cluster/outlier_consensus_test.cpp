// Publication of reports, and which servers a set of reports ejects.
#include "cluster/outliers/outlier_consensus.h"

#include <cstdio>

#include "../silverrail/check.h"

using namespace silverrail;
using namespace silverrail::cluster;
using namespace std::chrono_literals;

namespace {

constexpr UnixMs kNow = 1'800'000'000'000;

using Updates = std::vector<ReportUpdate>;

ReplicatedEntry entry_with(const std::string& value, UnixMs at) {
    const auto timestamp = hybrid_timestamp(at);
    return {{{"o@1", {1, 0, timestamp, value}}}, timestamp};
}

std::size_t no_other_reporters(const std::string&) {
    return 0;
}

const std::map<std::string, std::string> kOutlierA{{"box/a", "out"}};

void a_report_is_published_refreshed_changed_and_withdrawn() {
    ReportPublisher publisher{{.refresh_interval = 4000ms}, 1};
    CHECK((publisher.tick(0ms, kOutlierA, no_other_reporters) == Updates{{"box/a", "out"}}));
    CHECK(publisher.tick(3999ms, kOutlierA, no_other_reporters).empty());
    CHECK((publisher.tick(4000ms, kOutlierA, no_other_reporters) == Updates{{"box/a", "out"}}));
    CHECK((publisher.tick(4100ms, {{"box/a", "x"}}, no_other_reporters) == Updates{{"box/a", "x"}}));
    CHECK((publisher.tick(4200ms, {}, no_other_reporters) == Updates{{"box/a", std::nullopt}}));
    CHECK(publisher.tick(4300ms, {}, no_other_reporters).empty());
}

void a_report_is_not_published_while_enough_others_report_the_same() {
    ReportPublisher publisher{{.refresh_interval = 1000ms, .enough_reporters = 2, .max_delay = 500ms}, 2};
    std::size_t others = 2;
    const auto count = [&others](const std::string&) {
        return others;
    };
    for (Time t = 0ms; t < 3000ms; t += 50ms)
        CHECK(publisher.tick(t, kOutlierA, count).empty());
    CHECK(publisher.tick(3000ms, {}, count).empty());
    others = 1;
    bool published = false;
    for (Time t = 3100ms; t < 3700ms; t += 50ms)
        published = published || !publisher.tick(t, kOutlierA, count).empty();
    CHECK(published);
    others = 5;  // a published report is still refreshed
    CHECK((publisher.tick(9000ms, kOutlierA, count) == Updates{{"box/a", "out"}}));
}

void a_server_report_is_decoded_only_from_its_exact_encoding() {
    CHECK(decode_server_report("out") == ServerReport{});
    CHECK((decode_server_report("drain 7") == ServerReport{ServerReport::Kind::draining, 7}));
    CHECK(encode(ServerReport{}) == "out" && encode(*decode_server_report("drain 7")) == "drain 7");
    for (const char* value :
         {"", "x", "out ", "drain", "drain ", "drain x", "drain 07", "drain 7 ", "drain +7"})
        CHECK(!decode_server_report(value));
}

struct ConsensusCase {
    const char* what;
    std::vector<std::tuple<const char*, const char*, const char*, UnixMs>>
        reports;  // server, reporter, value, age
    std::vector<ServerObservation> servers;
    std::set<std::string> ejected;
};

std::vector<ConsensusCase> consensus_cases() {
    return {
        {"no reports", {}, {{"a", "z"}, {"b", "z"}}, {}},
        {"the report of one router", {{"a", "r1", "out", 0}}, {{"a", "z"}, {"b", "z"}}, {}},
        {"reports of two routers",
         {{"a", "r1", "out", 0}, {"a", "r2", "out", 900}},
         {{"a", "z"}, {"b", "z"}},
         {"a"}},
        {"one of two reports is too old",
         {{"a", "r1", "out", 0}, {"a", "r2", "out", 10'001}},
         {{"a", "z"}, {"b", "z"}},
         {}},
        {"one of two reporters is dead",
         {{"a", "r1", "out", 0}, {"a", "gone", "out", 0}},
         {{"a", "z"}, {"b", "z"}},
         {}},
        {"a router's own report does not count",
         {{"a", "r1", "out", 0}, {"a", "me", "out", 0}},
         {{"a", "z"}, {"b", "z"}},
         {}},
        {"a server that this router itself has detected as an outlier",
         {{"a", "r1", "out", 0}, {"a", "r2", "out", 0}},
         {{"a", "z", 0, true}, {"b", "z"}},
         {}},
        {"a server that is listed as leaving",
         {{"a", "r1", "out", 0}, {"a", "r2", "out", 0}},
         {{"a", "z", 0, false, true}, {"b", "z"}},
         {}},
        {"draining reports on the current process",
         {{"a", "r1", "drain 7", 0}, {"a", "r2", "drain 7", 0}},
         {{"a", "z", 7}, {"b", "z"}},
         {"a"}},
        {"draining reports on an earlier process",
         {{"a", "r1", "drain 6", 0}, {"a", "r2", "drain 6", 0}},
         {{"a", "z", 7}, {"b", "z"}},
         {}},
        {"a draining and an outlier report do not add up",
         {{"a", "r1", "drain 0", 0}, {"a", "r2", "out", 0}},
         {{"a", "z"}, {"b", "z"}},
         {}},
        {"half of a zone's servers",
         {{"a", "r1", "out", 0}, {"a", "r2", "out", 0}, {"b", "r1", "out", 0}, {"b", "r2", "out", 0}},
         {{"a", "z"}, {"b", "z"}, {"c", "z"}, {"d", "z"}},
         {"a", "b"}},
        {"more than half of one zone's servers, and half of another's",
         {{"a", "r1", "out", 0},
          {"a", "r2", "out", 0},
          {"b", "r1", "out", 0},
          {"b", "r2", "out", 0},
          {"y", "r1", "out", 0},
          {"y", "r2", "out", 0}},
         {{"a", "z"}, {"b", "z"}, {"c", "z"}, {"x", "w"}, {"y", "w"}},
         {"y"}},
        {"a server that is not listed", {{"q", "r1", "out", 0}, {"q", "r2", "out", 0}}, {{"a", "z"}}, {}},
    };
}

void a_quorum_of_reports_ejects_a_server_until_the_reports_end() {
    const std::map<std::string, std::string> alive{{"me", ""}, {"r1", ""}, {"r2", ""}};
    for (const auto& c : consensus_cases()) {
        OutlierConsensus consensus{"me", {}, 3};
        Replica::Entries entries;
        for (const auto& [server, reporter, value, age] : c.reports)
            entries[report_key(std::string{"box/"} + server, reporter)] = entry_with(value, kNow - age);
        const auto result = consensus.tick(0ms, kNow, c.servers, entries, alive);
        if (result.ejected != c.ejected)
            std::fprintf(stderr, "case: %s\n", c.what);
        CHECK(result.ejected == c.ejected);
        CHECK(consensus.counters().ejected == c.ejected.size() &&
              consensus.ejected_count() == c.ejected.size());
        CHECK(consensus.tick(1ms, kNow, c.servers, {}, alive).ejected.empty());
        CHECK(consensus.counters().restored == c.ejected.size());
    }
}

void outliers_and_draining_servers_are_reported_and_withdrawn() {
    OutlierConsensus consensus{"me", {}, 4};
    const std::map<std::string, std::string> alone{{"me", ""}};
    std::map<std::string, std::optional<std::string>> reported;
    const auto run = [&](Time from, const std::vector<ServerObservation>& servers) {
        for (Time t = from; t < from + 200ms; t += 20ms)
            for (const auto& update : consensus.tick(t, kNow + t.count(), servers, {}, alone).reports)
                reported[update.subject] = update.value;
    };
    run(0ms, {{"a", "z", 0, true}, {"b", "z", 9, false, true}, {"c", "z"}, {"t\tab", "z", 0, true}});
    CHECK((reported ==
           std::map<std::string, std::optional<std::string>>{{"box/a", "out"}, {"box/b", "drain 9"}}));
    run(1000ms, {{"a", "z"}, {"b", "z", 9, false, true}});
    CHECK(!reported["box/a"] && reported["box/b"] == "drain 9");
    CHECK(report_key(std::string(kMaxKeyLength, 'k'), "me").empty() && report_key("", "me").empty());
}

// In a replica whose values expire.
void expired_reports_and_their_writers_are_removed() {
    ReplicaSettings s{
        .channel = 1, .tombstone_retention = 120'000, .value_retention = 60'000, .writer_retention = 600'000};
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
    CHECK(b.is_set("box/x\ta") && b.writer_logs().contains("a@1") && a.digest() == b.digest());
    // An expired report is removed from both replicas and the digest; its writer is forgotten later.
    for (Time t = 5s; t < 100s; t += 1s)
        round(t);
    CHECK(!b.is_set("box/x\ta") && b.entries().empty() && b.digest() == ReplicaDigest{});
    for (Time t = 100s; t < 800s; t += 5s)
        round(t);
    CHECK(!b.writer_logs().contains("a@1") && b.heard_versions().empty());
    // A later report by the same writer is accepted.
    CHECK(a.set("box/y\ta", "out", kNow + 800'000));
    for (Time t = 800s; t < 805s; t += 500ms)
        round(t);
    CHECK(b.is_set("box/y\ta") && a.digest() == b.digest());
}

}  // namespace

int main() {
    a_report_is_published_refreshed_changed_and_withdrawn();
    a_report_is_not_published_while_enough_others_report_the_same();
    a_server_report_is_decoded_only_from_its_exact_encoding();
    a_quorum_of_reports_ejects_a_server_until_the_reports_end();
    outliers_and_draining_servers_are_reported_and_withdrawn();
    expired_reports_and_their_writers_are_removed();
    std::puts("outlier consensus: publication of reports, ejection by a quorum, removal of expired reports");
}
