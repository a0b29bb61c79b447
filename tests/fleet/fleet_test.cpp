// Several real processes of the program, their peer traffic through the fault relay: joins, a crash, a stall,
// bad links, a partition and its healing, a restart under the same name, many joining at once, and bad peers.
// What was shared of bans, servers and drains. One scenario a run, named by the first argument, so that ctest
// runs them side by side.

#include <signal.h>

#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

#include "cluster/codec/message_codec.h"
#include "common.h"
#include "lab/farm.h"
#include "net/peer_transport.h"

using namespace silverrail;
using namespace std::chrono_literals;
using lab::Fleet;

namespace {

// No member of the fleet has declared anyone dead.
bool no_death(Fleet& fleet) {
    for (std::size_t i = 0; i < 8; ++i)
        if (fleet.running(i) && lines(fleet.log(i), "member-dead ") > 0)
            return false;
    return true;
}

void join() {
    Fleet fleet{options(8)};
    const auto began = std::chrono::steady_clock::now();
    start_all(fleet, 0, 8);
    CHECK(agreed(fleet, 3s));
    std::printf("join: 8 agree after %lld ms\n",
                static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                           std::chrono::steady_clock::now() - began)
                                           .count()));
    CHECK(fleet.view(3).size() == 8);
    // A planned leave is told, not found out.
    fleet.signal(7, SIGTERM);
    CHECK(fleet.wait_until([&] { return fleet.everyone_sees(7, "left", {7}); }, 3s));
    CHECK(no_death(fleet));
}

void crash() {
    Fleet fleet{options(8)};
    start_all(fleet, 0, 8);
    CHECK(agreed(fleet, 3s));
    fleet.kill(4);
    CHECK(fleet.wait_until([&] { return fleet.everyone_sees(4, "dead"); }, 5s));
    CHECK(fleet.agree());
}

void stall() {
    Fleet fleet{options(8)};
    start_all(fleet, 0, 8);
    CHECK(agreed(fleet, 3s));
    fleet.signal(2, SIGSTOP);
    const auto stopped = std::chrono::steady_clock::now();
    bool suspected = false;
    fleet.wait_until(
        [&] {
            for (std::size_t i : {0, 5})
                suspected = suspected || fleet.view(i)["m2"].state == "suspect";
            return std::chrono::steady_clock::now() - stopped >= 3s;
        },
        4s);
    CHECK(suspected);
    fleet.signal(2, SIGCONT);
    CHECK(agreed(fleet, 3s));
    CHECK(fleet.view(0)["m2"].incarnation >= 1);  // it refuted
    // Its log comes over a pipe, maybe after the views.
    CHECK(fleet.wait_until([&] { return lines(fleet.log(2), "member-refute ") >= 1; }, 2s));
    // Woken, it blamed nobody for the time it did not run, and nobody took it for dead.
    CHECK(no_death(fleet));
}

void bad_links() {
    Fleet fleet{options(8)};
    start_all(fleet, 0, 8);
    CHECK(agreed(fleet, 3s));
    auto& relay = fleet.relay();
    relay.set(1, 2, {.cut = true});  // one way only
    for (std::size_t a = 0; a < 8; ++a)
        for (std::size_t b = 0; b < 8; ++b)
            if (a != b && !(a == 1 && b == 2))
                relay.set(a, b, {.loss = 0.2, .duplicate = 0.05});
    for (std::size_t b = 0; b < 8; ++b)
        if (b != 3)
            relay.set_both(3, b, {.loss = 0.2, .delay = 200ms, .jitter = 50ms});
    // Ten seconds of it: nobody is declared dead, however often suspected.
    fleet.wait_until([] { return false; }, 10s);
    CHECK(no_death(fleet));
    relay.clear();
    CHECK(agreed(fleet, 5s));
    std::printf("bad links: %llu datagrams dropped, %llu passed\n",
                static_cast<unsigned long long>(relay.dropped()),
                static_cast<unsigned long long>(relay.passed()));
}

void partition() {
    Fleet fleet{options(8)};
    start_all(fleet, 0, 8);
    CHECK(agreed(fleet, 3s));
    for (std::size_t a = 0; a < 5; ++a)
        for (std::size_t b = 5; b < 8; ++b)
            fleet.relay().set_both(a, b, {.cut = true});
    // Each side loses sight of the other (suspect, then dead), for 10 s.
    const auto cut = std::chrono::steady_clock::now();
    bool apart = false;
    fleet.wait_until(
        [&] {
            apart = apart || (fleet.view(0)["m6"].state != "alive" && fleet.view(6)["m1"].state != "alive");
            return std::chrono::steady_clock::now() - cut >= 10s;
        },
        11s);
    CHECK(apart);
    std::printf("partition: m0 holds m6 %s, m6 holds m1 %s\n", fleet.view(0)["m6"].state.c_str(),
                fleet.view(6)["m1"].state.c_str());
    fleet.relay().clear();
    const auto healed = std::chrono::steady_clock::now();
    CHECK(agreed(fleet, 5s));
    std::printf("partition: one view %lld ms after healing\n",
                static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                           std::chrono::steady_clock::now() - healed)
                                           .count()));
}

void restart() {
    Fleet fleet{options(8)};
    start_all(fleet, 0, 8);
    CHECK(agreed(fleet, 3s));
    const auto before = fleet.view(0)["m5"].start;
    fleet.kill(5);
    fleet.start(5);
    // A new member under the old name: a later start, whatever incarnation the old one had.
    CHECK(fleet.wait_until(
        [&] {
            for (std::size_t i = 0; i < 8; ++i)
                if (i != 5 && fleet.view(i)["m5"].start <= before)
                    return false;
            return fleet.agree();
        },
        3s));
    CHECK(fleet.wait_until(
        [&] { return lines(fleet.log(0), "member-rejoin ") + lines(fleet.log(1), "member-rejoin ") >= 1; },
        2s));
    CHECK(no_death(fleet));
}

void crowd() {
    Fleet fleet{options(8)};
    start_all(fleet, 0, 4);
    CHECK(agreed(fleet, 3s));
    start_all(fleet, 4, 8);  // four at once
    CHECK(fleet.wait_until([&] { return fleet.agree() && fleet.view(0).size() == 8; }, 5s));
}

// Every running member has `out` servers out by hand, and holds the same numbers of every origin.
bool all_out(Fleet& fleet, std::size_t out) {
    std::optional<std::map<std::string, std::uint64_t>> first;
    for (std::size_t i = 0; i < fleet.members(); ++i) {
        if (!fleet.running(i))
            continue;
        auto c = fleet.counters(i);
        if (!c.contains("bans.out") || c["bans.out"] != out)
            return false;
        auto d = fleet.digest(i);
        if (!first)
            first = d;
        if (d != *first)
            return false;
    }
    return true;
}

// A ban on one router is in force on all, and so is its end; both over a restart of all.
void bans() {
    Fleet fleet{options(8)};
    start_all(fleet, 0, 8);
    CHECK(agreed(fleet, 3s));
    auto began = std::chrono::steady_clock::now();
    CHECK(ack(fleet.call(3, "OFFLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_out(fleet, 1); }, 2s));
    std::printf("bans: on all 8 after %lld ms\n", since(began));
    CHECK(ack(fleet.call(6, "OFFLINE b-2")) && ack(fleet.call(0, "ONLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_out(fleet, 1); }, 2s));
    // Every process killed at once: what was acknowledged is in force from the first moment after.
    for (std::size_t i = 0; i < 8; ++i)
        fleet.kill(i);
    start_all(fleet, 0, 8);
    CHECK(fleet.wait_until([&] { return fleet.agree() && all_out(fleet, 1); }, 5s));
    CHECK(fleet.call(5, "OFFLINE no-such").rfind("NAK", 0) == 0);
}

// One killed, away for 30 s of changes: it catches up with what it missed, not with all there is.
void catch_up() {
    Fleet fleet{options(8)};
    start_all(fleet, 0, 8);
    CHECK(agreed(fleet, 3s));
    for (std::size_t k = 0; k < 20; ++k)
        CHECK(ack(fleet.call(k % 8, "OFFLINE " + Fleet::server(k))));
    CHECK(fleet.wait_until([&] { return all_out(fleet, 20); }, 4s));
    fleet.kill(5);
    const auto killed = std::chrono::steady_clock::now();
    std::size_t changes = 0;
    // A change every two seconds or so, until the 30 s are over.
    while (std::chrono::steady_clock::now() - killed < 30s) {
        CHECK(ack(fleet.call(changes % 4, "OFFLINE " + Fleet::server(20 + changes))));
        ++changes;
        fleet.wait_until([] { return false; }, 2s);
    }
    CHECK(changes >= 10 && changes <= 18);
    fleet.start(5);
    const auto began = std::chrono::steady_clock::now();
    CHECK(fleet.wait_until([&] { return all_out(fleet, 20 + changes); }, 2s));
    auto c = fleet.counters(5);
    std::printf("catch up: %zu changes missed, %llu fetched after %lld ms, %llu bytes in\n", changes,
                static_cast<unsigned long long>(c["replica.applied"]), since(began),
                static_cast<unsigned long long>(c["peers.bytes_in"]));
    // Each missed change once, as news at most a few times more; none of the twenty from before.
    CHECK(c["replica.applied"] >= changes && c["replica.applied"] <= changes + 2 &&
          c["replica.full_copies"] == 0);
}

// Bans and unbans on both sides of a cut: after it one state on all, a ban that an unban had not seen in
// force.
void split_bans() {
    Fleet fleet{options(8)};
    start_all(fleet, 0, 8);
    CHECK(agreed(fleet, 3s));
    CHECK(ack(fleet.call(0, "OFFLINE b-0")) && ack(fleet.call(1, "OFFLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_out(fleet, 2); }, 2s));
    for (std::size_t a = 0; a < 5; ++a)
        for (std::size_t b = 5; b < 8; ++b)
            fleet.relay().set_both(a, b, {.cut = true});
    CHECK(ack(fleet.call(0, "ONLINE b-0")));   // seen by all: gone everywhere
    CHECK(ack(fleet.call(1, "ONLINE b-1")));   // but said again beyond the cut:
    CHECK(ack(fleet.call(6, "OFFLINE b-1")));  // stays
    CHECK(ack(fleet.call(2, "OFFLINE b-2")) && ack(fleet.call(7, "OFFLINE b-3")));
    // Apart long enough for each side to have told all of its own.
    fleet.wait_until([&] { return fleet.counters(4)["bans.out"] == 1 && fleet.counters(5)["bans.out"] == 3; },
                     3s);
    CHECK(fleet.counters(4)["bans.out"] == 1 && fleet.counters(5)["bans.out"] == 3);
    fleet.relay().clear();
    const auto healed = std::chrono::steady_clock::now();
    CHECK(fleet.wait_until([&] { return all_out(fleet, 3); }, 5s));
    std::printf("split bans: one state %lld ms after healing\n", since(healed));
    CHECK(ack(fleet.call(4, "ONLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_out(fleet, 2); }, 2s));
}

// A store that is no store is set aside and named; its member has everything from the others again.
void damaged_store() {
    Fleet fleet{options(4)};
    start_all(fleet, 0, 4);
    CHECK(agreed(fleet, 3s));
    for (std::size_t k = 0; k < 3; ++k)
        CHECK(ack(fleet.call(k, "OFFLINE " + Fleet::server(k))));
    CHECK(fleet.wait_until([&] { return all_out(fleet, 3); }, 2s));
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
    CHECK(fleet.wait_until([&] { return all_out(fleet, 3); }, 5s));
    CHECK(fleet.wait_until([&] { return fleet.log(2).find("replica-store-rejected") != std::string::npos; },
                           2s));
    CHECK(fleet.log(2).find(file.string()) != std::string::npos);
    CHECK(std::filesystem::exists(file.string() + ".refused"));
    CHECK(fleet.call(2, "HEALTH").rfind("ACK", 0) == 0);
}

// Stale, future, oversize and malformed updates: counted, nothing applied, the router serves on.
void bad_updates() {
    Fleet fleet{options(3)};
    start_all(fleet, 0, 3);
    CHECK(agreed(fleet, 3s));
    CHECK(ack(fleet.call(1, "OFFLINE b-1")));
    CHECK(fleet.wait_until([&] { return all_out(fleet, 1); }, 2s));
    const auto digest = fleet.digest(0);
    const auto author =
        std::find_if(digest.begin(), digest.end(), [](const auto& d) { return d.second > 0; });
    CHECK(author != digest.end());
    namespace asio = net::asio;
    asio::io_context io;
    const auto at = *net::PeerTransport::endpoint_of(fleet.peer_address(0));
    asio::ip::udp::socket u{io, asio::ip::udp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
    const auto unix_now = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
    const auto news = [&](const std::string& origin, std::uint64_t number, const std::string& key,
                          long long when) {
        cluster::ReplicaMessage m;
        m.kind = cluster::ReplicaMessage::Kind::gossip;
        m.sender = "x";
        m.sender_address = "127.0.0.1:9";
        const auto stamp = cluster::hybrid_timestamp(when);
        m.updates.push_back({origin, number, key, {{{origin, {number, 0, stamp, ""}}}, stamp}});
        return m;
    };
    const auto stale = news(author->first, 1, "ban/b-2", unix_now);
    const auto future = news("x@1", 1, "ban/b-3", unix_now + 3'600'000);
    auto malformed = news("x@1", 1, "ban/b-4", unix_now);
    malformed.updates.front().entry.changed = 0;
    auto oversize = news("x@1", 1, "ban/b-5", unix_now);
    oversize.updates.front().key = std::string(1'000, 'k');
    for (const auto& m : {stale, future, malformed, oversize})
        u.send_to(asio::buffer(cluster::codec::encode(m)), at);
    CHECK(fleet.wait_until(
        [&] {
            auto c = fleet.counters(0);
            return c["replica.duplicates"] >= 1 && c["replica.ahead"] >= 1 && c["replica.refused"] >= 1 &&
                   c["peers.refused_out_of_bounds"] >= 1;
        },
        3s));
    CHECK(fleet.counters(0)["bans.out"] == 1 && fleet.digest(0) == digest && all_out(fleet, 1));
    CHECK(fleet.call(0, "HEALTH").rfind("ACK", 0) == 0);
}

// Eight routers before six servers of one zone.
lab::Fleet::Options before(const lab::Farm& farm, std::size_t leaving_for) {
    auto o = options(8);
    o.servers = [&farm, leaving_for](std::size_t i) {
        std::vector<Fleet::Options::ServerRecord> out;
        for (std::size_t k = 0; k < 6; ++k)
            out.push_back({Fleet::server(k), farm.address(k, i), "edge-1", "small-box",
                           k == 2 && i < leaving_for ? "leaving" : "active"});
        return out;
    };
    return o;
}

// Members `first` to below `to` are asked for `count` objects each; all are answered, once. Objects anew each
// time: a router has copies of its own.
void ask_all(Fleet& fleet, std::size_t first, std::size_t to, std::uint64_t count) {
    static std::uint64_t object = 0;
    for (std::size_t i = first; i < to; ++i)
        for (std::uint64_t k = 0; k < count; ++k)
            CHECK(fleet.ask(i, "pages", ++object) == 200);
}

// What two routers learned of a server holds the others off it; what one learned moves nobody.
void learned() {
    lab::Farm farm{6, 8};
    Fleet fleet{before(farm, 0)};
    start_all(fleet, 0, 8);
    CHECK(agreed(fleet, 3s));
    ask_all(fleet, 0, 8, 40);
    CHECK(farm.asked_since({1}, {}) > 8);
    // Router 0's link alone: it keeps away by itself, the others go on.
    farm.set_link(1, 0, false);
    ask_all(fleet, 0, 1, 60);
    CHECK(fleet.wait_until([&] { return fleet.counters(7)["reports.keys"] >= 1; }, 2s));
    const auto one = std::chrono::steady_clock::now();
    ask_all(fleet, 1, 8, 40);
    CHECK(farm.asked_since({1}, one) > 7);
    for (std::size_t i = 1; i < 8; ++i)
        CHECK(fleet.counters(i)["hearsay.held_out"] == 0);
    // Router 1's too: now it is more than one link.
    farm.set_link(1, 1, false);
    ask_all(fleet, 1, 2, 60);
    const auto two = std::chrono::steady_clock::now();
    const auto held = [&](std::size_t out) {
        for (std::size_t i = 2; i < 8; ++i)
            if (fleet.counters(i)["hearsay.out"] != out)
                return false;
        return true;
    };
    CHECK(fleet.wait_until([&] { return held(1); }, 2s));
    std::printf("learned: the other six keep away after %lld ms\n", since(two));
    const auto away = std::chrono::steady_clock::now();
    ask_all(fleet, 2, 8, 40);
    CHECK(farm.asked_since({1}, away) == 0);
    // Both links back: their trials succeed, they take their word back, and the server is used again.
    farm.set_link(1, 0, true);
    farm.set_link(1, 1, true);
    CHECK(fleet.wait_until(
        [&] {
            ask_all(fleet, 0, 2, 20);
            return held(0);
        },
        12s));
    const auto back = std::chrono::steady_clock::now();
    ask_all(fleet, 2, 8, 60);
    CHECK(farm.asked_since({1}, back) > 6);
    // A reporter killed is no reporter: its word ends with it.
    farm.set_link(1, 0, false);
    farm.set_link(1, 1, false);
    ask_all(fleet, 0, 2, 60);
    CHECK(fleet.wait_until([&] { return held(1); }, 2s));
    fleet.kill(0);
    CHECK(fleet.wait_until([&] { return held(0); }, 8s));
}

// Two routers were told that a server drains, the others were not yet: nothing new goes there from any.
void drains() {
    lab::Farm farm{6, 8};
    Fleet fleet{before(farm, 2)};
    start_all(fleet, 0, 8);
    const auto began = std::chrono::steady_clock::now();
    CHECK(fleet.wait_until(
        [&] {
            for (std::size_t i = 2; i < 8; ++i)
                if (fleet.counters(i)["hearsay.out"] != 1)
                    return false;
            return true;
        },
        5s));
    std::printf("drains: held out by all %lld ms after the start\n", since(began));
    const auto told = std::chrono::steady_clock::now();
    ask_all(fleet, 0, 8, 40);
    CHECK(farm.asked_since({2}, told) == 0 && farm.asked_since({0, 1, 3, 4, 5}, told) == 8 * 40);
}

std::size_t descriptors(pid_t pid) {
    std::size_t n = 0;
    for ([[maybe_unused]] const auto& e :
         std::filesystem::directory_iterator{"/proc/" + std::to_string(pid) + "/fd"})
        ++n;
    return n;
}

void bad_peers() {
    Fleet fleet{options(3)};
    start_all(fleet, 0, 3);
    CHECK(agreed(fleet, 3s));
    namespace asio = net::asio;
    asio::io_context io;
    const auto at = *net::PeerTransport::endpoint_of(fleet.peer_address(0));
    asio::ip::udp::socket u{io, asio::ip::udp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
    cluster::MembershipMessage forged;
    forged.kind = cluster::MembershipMessage::Kind::ping;
    forged.sender = "m1";
    forged.sender_address = fleet.relay().address(1);
    forged.target = "m0";
    const auto m0 = fleet.view(0)["m0"];
    forged.records.push_back(
        {{"m0", fleet.relay().address(0), "z0", "r1"}, m0.start, 99, cluster::MemberState::alive, ""});
    const std::string forged_bytes = cluster::codec::encode(forged);
    cluster::MembershipMessage replay = forged;
    replay.records.clear();
    replay.sequence = 12345;
    const std::string replayed = cluster::codec::encode(replay);
    const std::string sends[] = {"garbage",
                                 forged_bytes.substr(0, forged_bytes.size() / 2),
                                 std::string(2000, 'x'),
                                 replayed,
                                 replayed,
                                 replayed,
                                 forged_bytes};
    const auto base = descriptors(fleet.pid(0));
    for (const auto& bytes : sends)
        u.send_to(asio::buffer(bytes), at);
    // Streams that stay silent, and one that sends half a frame: let go within their time.
    std::vector<net::tcp::socket> silent;
    for (int i = 0; i < 20; ++i) {
        silent.emplace_back(io);
        net::error_code ignored;
        silent.back().connect(net::tcp::endpoint{at.address(), at.port()}, ignored);
    }
    const std::string half = cluster::codec::frame_header(500) + "abc";
    asio::write(silent.front(), asio::buffer(half));
    CHECK(fleet.wait_until(
        [&] {
            auto c = fleet.counters(0);
            return c["peers.refused_undecodable"] >= 2 && c["peers.refused_records"] >= 1 &&
                   c["peers.streams_turned_away"] >= 1;
        },
        3s));
    // Of the twenty at most eight are held; up to eight of its own to the others may be open in that moment.
    CHECK(descriptors(fleet.pid(0)) <= base + 8 + 8 + 1);
    CHECK(fleet.wait_until([&] { return descriptors(fleet.pid(0)) <= base + 1; }, 4s));
    // Nothing of it was applied: our incarnation is our own, and the router still serves.
    CHECK(fleet.view(0)["m0"].incarnation == m0.incarnation);
    CHECK(fleet.call(0, "HEALTH").rfind("ACK", 0) == 0);
    CHECK(fleet.agree());
}

}  // namespace

int main(int argc, char** argv) {
    return play(argc, argv,
                {{"join", join},
                 {"crash", crash},
                 {"stall", stall},
                 {"bad_links", bad_links},
                 {"partition", partition},
                 {"restart", restart},
                 {"crowd", crowd},
                 {"bad_peers", bad_peers},
                 {"bans", bans},
                 {"catch_up", catch_up},
                 {"split_bans", split_bans},
                 {"damaged_store", damaged_store},
                 {"bad_updates", bad_updates},
                 {"learned", learned},
                 {"drains", drains}});
}
