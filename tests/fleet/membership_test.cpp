// Membership of a fleet of real processes: joins, a crash, a stall, faulty links, a partition and its
// healing, a restart under the same name, concurrent joins, and malformed messages.
#include <csignal>
#include <filesystem>
#include <iterator>
#include <string>
#include <vector>

#include "cluster/codec/message_codec.h"
#include "common.h"
#include "net/peer_transport.h"

namespace {

namespace asio = net::asio;
using udp = asio::ip::udp;

// True if no running member has logged that it declared another one dead.
bool no_death(RouterFleet& fleet) {
    for (std::size_t i = 0; i < fleet.members(); ++i)
        if (fleet.running(i) && occurrences(fleet.log(i), "member-dead ") > 0)
            return false;
    return true;
}

// All members see each other soon after the start, and see that a member leaves.
void join() {
    RouterFleet fleet{fleet_options(8)};
    const auto began = TestClock::now();
    start_all(fleet, 0, 8);
    CHECK(all_agree(fleet, 3s));
    std::printf("join: 8 agree after %lld ms\n", ms_since(began));
    CHECK(fleet.membership(3).size() == 8);
    // A member that shuts down announces that it leaves, and is not declared dead.
    fleet.signal(7, SIGTERM);
    CHECK(fleet.wait_until([&] { return fleet.all_see(7, "left", {7}); }, 3s));
    CHECK(no_death(fleet));
}

// A killed member is declared dead.
void crash() {
    RouterFleet fleet{fleet_options(8)};
    start_all(fleet, 0, 8);
    CHECK(all_agree(fleet, 3s));
    fleet.kill(4);
    CHECK(fleet.wait_until([&] { return fleet.all_see(4, "dead"); }, 5s));
    CHECK(fleet.agree());
}

// A member that is stopped for 3 s is suspected, refutes the suspicion, and is not declared dead.
void stall() {
    RouterFleet fleet{fleet_options(8)};
    start_all(fleet, 0, 8);
    CHECK(all_agree(fleet, 3s));
    fleet.signal(2, SIGSTOP);
    const auto stopped = TestClock::now();
    bool suspected = false;
    fleet.wait_until(
        [&] {
            for (std::size_t i : {0, 5})
                suspected = suspected || fleet.membership(i)["m2"].state == "suspect";
            return TestClock::now() - stopped >= 3s;
        },
        4s);
    CHECK(suspected);
    fleet.signal(2, SIGCONT);
    CHECK(all_agree(fleet, 3s));
    CHECK(fleet.membership(0)["m2"].incarnation >= 1);  // it refuted
    // The log is read through a pipe and may arrive later than the views.
    CHECK(fleet.wait_until([&] { return occurrences(fleet.log(2), "member-refute ") >= 1; }, 2s));
    // The resumed member declares no other dead because of its stall, and is not declared dead either.
    CHECK(no_death(fleet));
}

// With loss, duplicates, delays and a link that is cut in one direction, no member is declared dead.
void bad_links() {
    RouterFleet fleet{fleet_options(8)};
    start_all(fleet, 0, 8);
    CHECK(all_agree(fleet, 3s));
    auto& proxy = fleet.proxy();
    proxy.set_faults(1, 2, {.cut = true});  // in one direction only
    for (std::size_t a = 0; a < 8; ++a)
        for (std::size_t b = 0; b < 8; ++b)
            if (a != b && !(a == 1 && b == 2))
                proxy.set_faults(a, b, {.loss = 0.2, .duplicate = 0.05});
    for (std::size_t b = 0; b < 8; ++b)
        if (b != 3)
            proxy.set_faults_both_ways(3, b, {.loss = 0.2, .delay = 200ms, .jitter = 50ms});
    // For ten seconds members may be suspected any number of times, but none is declared dead.
    fleet.wait_for(10s);
    CHECK(no_death(fleet));
    proxy.clear_faults();
    CHECK(all_agree(fleet, 5s));
    std::printf("bad links: %llu datagrams dropped, %llu passed\n",
                static_cast<unsigned long long>(proxy.dropped()),
                static_cast<unsigned long long>(proxy.passed()));
}

// Each side of a partition stops seeing the other as alive; after the healing all views agree again.
void partition() {
    RouterFleet fleet{fleet_options(8)};
    start_all(fleet, 0, 8);
    CHECK(all_agree(fleet, 3s));
    partition_at(fleet, 5);
    // For 10 s, each side considers the other first suspect, then dead.
    const auto cut = TestClock::now();
    bool apart = false;
    fleet.wait_until(
        [&] {
            apart = apart || (fleet.membership(0)["m6"].state != "alive" &&
                              fleet.membership(6)["m1"].state != "alive");
            return TestClock::now() - cut >= 10s;
        },
        11s);
    CHECK(apart);
    std::printf("partition: m0 sees m6 as %s, m6 sees m1 as %s\n", fleet.membership(0)["m6"].state.c_str(),
                fleet.membership(6)["m1"].state.c_str());
    fleet.proxy().clear_faults();
    const auto healed = TestClock::now();
    CHECK(all_agree(fleet, 5s));
    std::printf("partition: views agree %lld ms after healing\n", ms_since(healed));
}

// A process started under the name of a killed one is a new member.
void restart() {
    RouterFleet fleet{fleet_options(8)};
    start_all(fleet, 0, 8);
    CHECK(all_agree(fleet, 3s));
    const auto before = fleet.membership(0)["m5"].start;
    fleet.kill(5);
    fleet.start(5);
    // It has a later start, which supersedes any incarnation of the old process.
    CHECK(fleet.wait_until(
        [&] {
            for (std::size_t i = 0; i < 8; ++i)
                if (i != 5 && fleet.membership(i)["m5"].start <= before)
                    return false;
            return fleet.agree();
        },
        3s));
    CHECK(fleet.wait_until(
        [&] {
            return occurrences(fleet.log(0), "member-rejoin ") +
                       occurrences(fleet.log(1), "member-rejoin ") >=
                   1;
        },
        2s));
    CHECK(no_death(fleet));
}

// Four members join at the same time.
void concurrent_joins() {
    RouterFleet fleet{fleet_options(8)};
    start_all(fleet, 0, 4);
    CHECK(all_agree(fleet, 3s));
    start_all(fleet, 4, 8);
    CHECK(fleet.wait_until([&] { return fleet.agree() && fleet.membership(0).size() == 8; }, 5s));
}

std::size_t open_descriptors(pid_t pid) {
    const std::filesystem::directory_iterator all{"/proc/" + std::to_string(pid) + "/fd"};
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

// A ping under the name of m1 with a record of m0 whose incarnation m0 has never had.
cluster::MembershipMessage forged_ping(RouterFleet& fleet, const lab::MemberStatus& m0) {
    cluster::MembershipMessage message;
    message.kind = cluster::MembershipMessage::Kind::ping;
    message.sender = "m1";
    message.sender_address = fleet.proxy().address(1);
    message.target = "m0";
    message.records.push_back(
        {{"m0", fleet.proxy().address(0), "z0", "r1"}, m0.start, 99, cluster::MemberState::alive, ""});
    return message;
}

// Garbage, a truncated message, one that is too long, a replayed one, and the forged one.
std::vector<std::string> bad_datagrams(const cluster::MembershipMessage& forged) {
    const std::string forged_bytes = cluster::codec::encode(forged);
    cluster::MembershipMessage replay = forged;
    replay.records.clear();
    replay.sequence = 12345;
    const std::string replayed = cluster::codec::encode(replay);
    return {"garbage",
            forged_bytes.substr(0, forged_bytes.size() / 2),
            std::string(2000, 'x'),
            replayed,
            replayed,
            replayed,
            forged_bytes};
}

// Invalid datagrams and streams are rejected and counted, change nothing, and leave no descriptor open.
void bad_peers() {
    RouterFleet fleet{fleet_options(3)};
    start_all(fleet, 0, 3);
    CHECK(all_agree(fleet, 3s));
    asio::io_context io;
    const auto target = *net::PeerTransport::endpoint_of(fleet.peer_address(0));
    udp::socket sender{io, udp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
    const auto m0 = fleet.membership(0)["m0"];
    const auto descriptors_before = open_descriptors(fleet.pid(0));
    for (const auto& bytes : bad_datagrams(forged_ping(fleet, m0)))
        sender.send_to(asio::buffer(bytes), target);
    // Idle streams, and one with an incomplete frame, are closed after their timeout.
    std::vector<net::tcp::socket> silent;
    for (int i = 0; i < 20; ++i) {
        silent.emplace_back(io);
        net::error_code ignored;
        silent.back().connect(net::tcp::endpoint{target.address(), target.port()}, ignored);
    }
    const std::string half_a_frame = cluster::codec::frame_header(500) + "abc";
    asio::write(silent.front(), asio::buffer(half_a_frame));
    CHECK(fleet.wait_until(
        [&] {
            auto counters = fleet.counters(0);
            return counters["peers.refused_undecodable"] >= 2 && counters["peers.refused_records"] >= 1 &&
                   counters["peers.streams_turned_away"] >= 1;
        },
        3s));
    // At most eight of the twenty are kept open, besides up to eight outgoing streams to other members.
    CHECK(open_descriptors(fleet.pid(0)) <= descriptors_before + 8 + 8 + 1);
    CHECK(fleet.wait_until([&] { return open_descriptors(fleet.pid(0)) <= descriptors_before + 1; }, 4s));
    CHECK(fleet.membership(0)["m0"].incarnation == m0.incarnation);
    CHECK(accepted(fleet.control(0, "HEALTH")));
    CHECK(fleet.agree());
}

}  // namespace

int main(int argc, char** argv) {
    return run_scenario(argc, argv,
                        {{"join", join},
                         {"crash", crash},
                         {"stall", stall},
                         {"bad_links", bad_links},
                         {"partition", partition},
                         {"restart", restart},
                         {"concurrent_joins", concurrent_joins},
                         {"bad_peers", bad_peers}});
}
