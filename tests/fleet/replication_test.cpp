// The replicated state in a fleet of real processes: operators take servers offline and online, which has to
// take effect on all routers despite restarts, partitions, damaged stores and bad updates.
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "cluster/codec/message_codec.h"
#include "common.h"
#include "net/peer_transport.h"

namespace {

namespace asio = net::asio;
using udp = asio::ip::udp;

// Every running member has `offline` servers taken offline by an operator, and all hold the same versions of
// every writer.
bool all_offline(RouterFleet& fleet, std::size_t offline) {
    if (!all_counters_equal(fleet, "bans.out", offline))
        return false;
    std::optional<lab::CounterValues> first;
    for (std::size_t member = 0; member < fleet.members(); ++member) {
        if (!fleet.running(member))
            continue;
        const auto digest = fleet.replica_digest(member);
        if (!first)
            first = digest;
        if (digest != *first)
            return false;
    }
    return true;
}

// A ban made on one router takes effect on all, and so does its removal; both survive a restart of all
// routers.
void bans() {
    RouterFleet fleet{fleet_options(8)};
    start_all(fleet, 0, 8);
    CHECK(all_agree(fleet, 3s));
    auto start = TestClock::now();
    CHECK(accepted(fleet.control(3, "OFFLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 1); }, 2s));
    std::printf("bans: in effect on all 8 routers after %lld ms\n", ms_since(start));
    CHECK(accepted(fleet.control(6, "OFFLINE b-2")) && accepted(fleet.control(0, "ONLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 1); }, 2s));
    // All processes are killed at once: every acknowledged change is in effect again once they have
    // restarted.
    for (std::size_t i = 0; i < 8; ++i)
        fleet.kill(i);
    start_all(fleet, 0, 8);
    CHECK(fleet.wait_until([&] { return fleet.agree() && all_offline(fleet, 1); }, 5s));
    CHECK(refused(fleet.control(5, "OFFLINE no-such")));
}

// A router is killed and misses 30 s of changes: on its return it fetches only the changes that it missed,
// not the whole state.
void catch_up() {
    RouterFleet fleet{fleet_options(8)};
    start_all(fleet, 0, 8);
    CHECK(all_agree(fleet, 3s));
    for (std::size_t k = 0; k < 20; ++k)
        CHECK(accepted(fleet.control(k % 8, "OFFLINE " + lab::server_id(k))));
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 20); }, 4s));
    fleet.kill(5);
    const auto killed = TestClock::now();
    std::size_t changes = 0;
    // About one change every two seconds, for 30 s.
    while (TestClock::now() - killed < 30s) {
        CHECK(accepted(fleet.control(changes % 4, "OFFLINE " + lab::server_id(20 + changes))));
        ++changes;
        fleet.wait_for(2s);
    }
    CHECK(changes >= 10 && changes <= 18);
    fleet.start(5);
    const auto start = TestClock::now();
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 20 + changes); }, 2s));
    auto c = fleet.counters(5);
    std::printf("catch up: %zu changes missed, %llu fetched after %lld ms, %llu bytes in\n", changes,
                static_cast<unsigned long long>(c["replica.applied"]), ms_since(start),
                static_cast<unsigned long long>(c["peers.bytes_in"]));
    // Each missed change once, and up to two more by gossip; none of the twenty from before.
    CHECK(c["replica.applied"] >= changes && c["replica.applied"] <= changes + 2 &&
          c["replica.full_copies"] == 0);
}

// Bans are set and removed on both sides of a partition. After it all routers have the same state, and a ban
// that the removal had not seen is still in effect.
void concurrent_bans() {
    RouterFleet fleet{fleet_options(8)};
    start_all(fleet, 0, 8);
    CHECK(all_agree(fleet, 3s));
    CHECK(accepted(fleet.control(0, "OFFLINE b-0")) && accepted(fleet.control(1, "OFFLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 2); }, 2s));
    partition_at(fleet, 5);
    CHECK(accepted(fleet.control(0, "ONLINE b-0")));   // seen by all: removed everywhere
    CHECK(accepted(fleet.control(1, "ONLINE b-1")));   // but set again on the other side of the partition:
    CHECK(accepted(fleet.control(6, "OFFLINE b-1")));  // it stays
    CHECK(accepted(fleet.control(2, "OFFLINE b-2")) && accepted(fleet.control(7, "OFFLINE b-3")));
    // The partition lasts until each side has sent its changes to all of its own members.
    fleet.wait_until([&] { return fleet.counters(4)["bans.out"] == 1 && fleet.counters(5)["bans.out"] == 3; },
                     3s);
    CHECK(fleet.counters(4)["bans.out"] == 1 && fleet.counters(5)["bans.out"] == 3);
    fleet.proxy().clear_faults();
    const auto healed = TestClock::now();
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 3); }, 5s));
    std::printf("concurrent bans: the same state on all routers %lld ms after healing\n", ms_since(healed));
    CHECK(accepted(fleet.control(4, "ONLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 2); }, 2s));
}

// A damaged store file is renamed and named in the log; its router fetches the state from the others.
void damaged_store() {
    RouterFleet fleet{fleet_options(4)};
    start_all(fleet, 0, 4);
    CHECK(all_agree(fleet, 3s));
    for (std::size_t k = 0; k < 3; ++k)
        CHECK(accepted(fleet.control(k, "OFFLINE " + lab::server_id(k))));
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 3); }, 2s));
    fleet.kill(2);
    std::filesystem::path file;
    for (const auto& e : std::filesystem::directory_iterator{fleet.folder(2)}) {
        if (e.path().extension() == ".replica")
            file = e.path();
        if (e.path().extension() == ".bans")
            std::filesystem::remove(e.path());
    }
    CHECK(!file.empty());
    std::filesystem::remove(file.string() + "-wal");
    std::ofstream{file} << std::string(20'000, 'x');
    fleet.start(2);
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 3); }, 5s));
    CHECK(fleet.wait_until([&] { return fleet.log(2).find("replica-store-rejected") != std::string::npos; },
                           2s));
    CHECK(fleet.log(2).find(file.string()) != std::string::npos);
    CHECK(std::filesystem::exists(file.string() + ".refused"));
    CHECK(accepted(fleet.control(2, "HEALTH")));
}

cluster::ReplicaMessage update_message(const std::string& writer, std::uint64_t version,
                                       const std::string& key, std::int64_t changed_ms) {
    cluster::ReplicaMessage message;
    message.kind = cluster::ReplicaMessage::Kind::gossip;
    message.sender = "x";
    message.sender_address = "127.0.0.1:9";
    const auto changed = cluster::hybrid_timestamp(changed_ms);
    message.updates.push_back({writer, version, key, {{{writer, {version, 0, changed, ""}}}, changed}});
    return message;
}

// Updates that are stale, from the future, malformed and too large. `writer`: one of the fleet that has made
// a change.
std::vector<cluster::ReplicaMessage> bad_update_messages(const std::string& writer) {
    const std::int64_t now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                                    std::chrono::system_clock::now().time_since_epoch())
                                    .count();
    const auto stale = update_message(writer, 1, "ban/b-2", now_ms);
    const auto future = update_message("x@1", 1, "ban/b-3", now_ms + 3'600'000);
    auto malformed = update_message("x@1", 1, "ban/b-4", now_ms);
    malformed.updates.front().entry.changed = 0;
    auto oversize = update_message("x@1", 1, "ban/b-5", now_ms);
    oversize.updates.front().key = std::string(1'000, 'k');
    return {stale, future, malformed, oversize};
}

// Bad updates are counted and not applied, and the router keeps serving.
void bad_updates() {
    RouterFleet fleet{fleet_options(3)};
    start_all(fleet, 0, 3);
    CHECK(all_agree(fleet, 3s));
    CHECK(accepted(fleet.control(1, "OFFLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 1); }, 2s));
    const auto digest = fleet.replica_digest(0);
    const auto writer =
        std::find_if(digest.begin(), digest.end(), [](const auto& entry) { return entry.second > 0; });
    CHECK(writer != digest.end());
    asio::io_context io;
    const auto target = *net::PeerTransport::endpoint_of(fleet.peer_address(0));
    udp::socket sender{io, udp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
    for (const auto& message : bad_update_messages(writer->first))
        sender.send_to(asio::buffer(cluster::codec::encode(message)), target);
    CHECK(fleet.wait_until(
        [&] {
            auto counters = fleet.counters(0);
            return counters["replica.duplicates"] >= 1 && counters["replica.ahead"] >= 1 &&
                   counters["replica.refused"] >= 1 && counters["peers.refused_out_of_bounds"] >= 1;
        },
        3s));
    CHECK(fleet.counters(0)["bans.out"] == 1 && fleet.replica_digest(0) == digest && all_offline(fleet, 1));
    CHECK(accepted(fleet.control(0, "HEALTH")));
}

}  // namespace

int main(int argc, char** argv) {
    return run_scenario(argc, argv,
                        {{"bans", bans},
                         {"catch_up", catch_up},
                         {"concurrent_bans", concurrent_bans},
                         {"damaged_store", damaged_store},
                         {"bad_updates", bad_updates}});
}
