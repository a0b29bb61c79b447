// Replicated state of a fleet of real processes: servers that operators take offline and bring online again,
// on all routers, over restarts, partitions, damaged stores and bad updates.
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

// Every running member has `offline` servers taken offline by hand, and all hold the same versions of every
// writer.
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

// A ban on one router is in force on all, and so is its end; both over a restart of all.
void bans() {
    RouterFleet fleet{fleet_options(8)};
    start_all(fleet, 0, 8);
    CHECK(all_agree(fleet, 3s));
    auto began = TestClock::now();
    CHECK(accepted(fleet.control(3, "OFFLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 1); }, 2s));
    std::printf("bans: on all 8 after %lld ms\n", ms_since(began));
    CHECK(accepted(fleet.control(6, "OFFLINE b-2")) && accepted(fleet.control(0, "ONLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 1); }, 2s));
    // Every process killed at once: what was acknowledged is in force from the first moment after.
    for (std::size_t i = 0; i < 8; ++i)
        fleet.kill(i);
    start_all(fleet, 0, 8);
    CHECK(fleet.wait_until([&] { return fleet.agree() && all_offline(fleet, 1); }, 5s));
    CHECK(refused(fleet.control(5, "OFFLINE no-such")));
}

// One killed, away for 30 s of changes: it catches up with what it missed, not with all there is.
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
    // A change every two seconds or so, until the 30 s are over.
    while (TestClock::now() - killed < 30s) {
        CHECK(accepted(fleet.control(changes % 4, "OFFLINE " + lab::server_id(20 + changes))));
        ++changes;
        fleet.wait_for(2s);
    }
    CHECK(changes >= 10 && changes <= 18);
    fleet.start(5);
    const auto began = TestClock::now();
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 20 + changes); }, 2s));
    auto c = fleet.counters(5);
    std::printf("catch up: %zu changes missed, %llu fetched after %lld ms, %llu bytes in\n", changes,
                static_cast<unsigned long long>(c["replica.applied"]), ms_since(began),
                static_cast<unsigned long long>(c["peers.bytes_in"]));
    // Each missed change once, as news at most a few times more; none of the twenty from before.
    CHECK(c["replica.applied"] >= changes && c["replica.applied"] <= changes + 2 &&
          c["replica.full_copies"] == 0);
}

// Bans and unbans on both sides of a cut: after it one state on all, a ban that an unban had not seen in
// force.
void split_bans() {
    RouterFleet fleet{fleet_options(8)};
    start_all(fleet, 0, 8);
    CHECK(all_agree(fleet, 3s));
    CHECK(accepted(fleet.control(0, "OFFLINE b-0")) && accepted(fleet.control(1, "OFFLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 2); }, 2s));
    partition_at(fleet, 5);
    CHECK(accepted(fleet.control(0, "ONLINE b-0")));   // seen by all: gone everywhere
    CHECK(accepted(fleet.control(1, "ONLINE b-1")));   // but said again beyond the cut:
    CHECK(accepted(fleet.control(6, "OFFLINE b-1")));  // stays
    CHECK(accepted(fleet.control(2, "OFFLINE b-2")) && accepted(fleet.control(7, "OFFLINE b-3")));
    // Apart long enough for each side to have told all of its own.
    fleet.wait_until([&] { return fleet.counters(4)["bans.out"] == 1 && fleet.counters(5)["bans.out"] == 3; },
                     3s);
    CHECK(fleet.counters(4)["bans.out"] == 1 && fleet.counters(5)["bans.out"] == 3);
    fleet.proxy().clear_faults();
    const auto healed = TestClock::now();
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 3); }, 5s));
    std::printf("split bans: one state %lld ms after healing\n", ms_since(healed));
    CHECK(accepted(fleet.control(4, "ONLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_offline(fleet, 2); }, 2s));
}

// A store that is no store is set aside and named; its member has everything from the others again.
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

// Stale, from the future, malformed and oversize. `writer`: one of the fleet that has changed something.
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

// Bad updates are counted, nothing of them is applied, and the router serves on.
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
                         {"split_bans", split_bans},
                         {"damaged_store", damaged_store},
                         {"bad_updates", bad_updates}});
}
