// The fleet's view: every transition of a record by a table, then probes, suspicion, refutes, stalls and a
// small fleet delivered by hand.
#include "cluster/members.h"

#include <cstdio>
#include <deque>
#include <map>

#include "../silverrail/check.h"

using namespace silverrail::cluster;
using namespace std::chrono_literals;

namespace {

Identity who(const std::string& name) {
    return {name, name + ":7946", "z1", "r1"};
}

Settings quick() {
    Settings s;
    s.probe_interval = 100ms;
    s.probe_timeout = 40ms;
    s.push_pull_interval = 10'000ms;
    s.dead_keep = 5'000ms;
    return s;
}

Message from(const std::string& name, Message::Kind kind, std::vector<Record> records,
             std::uint32_t seq = 1) {
    Message m;
    m.kind = kind;
    m.from = name;
    m.from_start = 1;
    m.from_address = name + ":7946";
    m.seq = seq;
    m.records = std::move(records);
    return m;
}

Record rec(const std::string& name, std::uint64_t start, std::uint64_t incarnation, State state,
           const std::string& by = "") {
    return {who(name), start, incarnation, state, by};
}

bool has(const std::vector<Event>& events, Event::Kind kind, const std::string& name) {
    for (const auto& e : events)
        if (e.kind == kind && e.name == name)
            return true;
    return false;
}

// Every way a record held of a member meets one that comes in.
void check_transitions() {
    using K = Event::Kind;
    using S = State;
    const struct {
        Record held;
        Record incoming;
        S state;
        std::uint64_t incarnation;
        std::optional<K> event;
    } kCases[] = {
        // alive held
        {rec("b", 1, 3, S::alive), rec("b", 1, 2, S::suspect, "c"), S::alive, 3, {}},  // stale suspicion
        {rec("b", 1, 3, S::alive), rec("b", 1, 3, S::suspect, "c"), S::suspect, 3, K::suspect},
        {rec("b", 1, 3, S::alive), rec("b", 1, 4, S::suspect, "c"), S::suspect, 4, K::suspect},
        {rec("b", 1, 3, S::alive), rec("b", 1, 3, S::alive), S::alive, 3, {}},
        {rec("b", 1, 3, S::alive), rec("b", 1, 4, S::alive), S::alive, 4, {}},
        {rec("b", 1, 3, S::alive), rec("b", 1, 2, S::dead, "c"), S::alive, 3, {}},
        {rec("b", 1, 3, S::alive), rec("b", 1, 3, S::dead, "c"), S::dead, 3, K::dead},
        {rec("b", 1, 3, S::alive), rec("b", 1, 3, S::left), S::left, 3, K::left},
        // suspect held
        {rec("b", 1, 3, S::suspect, "c"),
         rec("b", 1, 3, S::alive),
         S::suspect,
         3,
         {}},  // no refute at the same
        {rec("b", 1, 3, S::suspect, "c"), rec("b", 1, 4, S::alive), S::alive, 4, K::refute},
        {rec("b", 1, 3, S::suspect, "c"), rec("b", 1, 3, S::dead, "d"), S::dead, 3, K::dead},
        {rec("b", 1, 3, S::suspect, "c"), rec("b", 1, 2, S::dead, "d"), S::suspect, 3, {}},
        // dead held
        {rec("b", 1, 3, S::dead, "c"), rec("b", 1, 3, S::alive), S::dead, 3, {}},
        {rec("b", 1, 3, S::dead, "c"), rec("b", 1, 4, S::alive), S::alive, 4, K::alive_again},
        {rec("b", 1, 3, S::dead, "c"), rec("b", 1, 9, S::suspect, "d"), S::dead, 3, {}},
        {rec("b", 1, 3, S::dead, "c"), rec("b", 1, 3, S::left), S::dead, 3, {}},
        // left held
        {rec("b", 1, 3, S::left), rec("b", 1, 3, S::dead, "c"), S::left, 3, {}},
        {rec("b", 1, 3, S::left), rec("b", 1, 4, S::alive), S::alive, 4, K::alive_again},
        // a later run of the same name is a new member, whatever the old one's incarnation
        {rec("b", 1, 9, S::dead, "c"), rec("b", 2, 0, S::alive), S::alive, 0, K::rejoin},
        {rec("b", 1, 9, S::alive), rec("b", 2, 0, S::alive), S::alive, 0, K::rejoin},
        // an earlier run is gone for good
        {rec("b", 2, 0, S::alive), rec("b", 1, 9, S::dead, "c"), S::alive, 0, {}},
        {rec("b", 2, 0, S::alive), rec("b", 1, 9, S::alive), S::alive, 0, {}},
    };
    int row = 0;
    for (const auto& c : kCases) {
        ++row;
        Members me{who("a"), 1, quick(), 7, {}, 0ms};
        me.receive(from("x", Message::Kind::ping, {rec("b", c.held.start, c.held.incarnation, S::alive)}),
                   0ms);
        if (c.held.state != S::alive)
            me.receive(from("x", Message::Kind::ping, {c.held}), 0ms);
        CHECK(me.view().at("b").record.state == c.held.state);
        me.take_events();
        me.receive(from("x", Message::Kind::ping, {c.incoming}), 1ms);
        const auto& got = me.view().at("b").record;
        const auto events = me.take_events();
        if (got.state != c.state || got.incarnation != c.incarnation ||
            events.size() != (c.event ? 1u : 0u) || (c.event && events.front().kind != *c.event)) {
            std::fprintf(stderr, "row %d: %s/%llu, %zu events\n", row, name_of(got.state),
                         static_cast<unsigned long long>(got.incarnation), events.size());
            CHECK(false);
        }
    }
    // Nobody joins by being suspected or declared dead.
    Members me{who("a"), 1, quick(), 7, {}, 0ms};
    me.receive(
        from("x", Message::Kind::ping, {rec("q", 1, 0, S::suspect, "x"), rec("r", 1, 0, S::dead, "x")}), 0ms);
    CHECK(me.view().empty());
    me.receive(from("x", Message::Kind::ping, {rec("q", 1, 0, S::alive)}), 0ms);
    CHECK(me.view().size() == 1 && has(me.take_events(), Event::Kind::join, "q"));
}

// What is said of ourselves: refuted when it is a suspicion, refused when only we could have said it.
void check_self() {
    Members me{who("a"), 5, quick(), 7, {}, 0ms};
    me.receive(from("x", Message::Kind::ping, {rec("a", 5, 0, State::suspect, "x")}), 0ms);
    CHECK(me.self().incarnation == 1 && me.self().state == State::alive);
    CHECK(has(me.take_events(), Event::Kind::refute, "a"));
    CHECK(me.health() == 1);
    me.receive(from("x", Message::Kind::ping, {rec("a", 5, 1, State::dead, "x")}), 0ms);
    CHECK(me.self().incarnation == 2);
    // The refute rides on the next message out.
    Message ping = from("x", Message::Kind::ping, {});
    ping.target = "a";
    const auto out = me.receive(ping, 1ms);
    CHECK(out.size() == 1 && out[0].message.kind == Message::Kind::ack && out[0].address == "x:7946");
    bool told = false;
    for (const auto& r : out[0].message.records)
        told |= r.who.name == "a" && r.incarnation == 2;
    CHECK(told);

    // Forged: an incarnation ahead of ours, or a run after ours; the whole message is dropped.
    const struct {
        Record forged;
    } kForged[] = {
        {rec("a", 5, 7, State::alive)}, {rec("a", 6, 0, State::alive)}, {rec("a", 5, 9, State::dead, "x")}};
    for (const auto& c : kForged) {
        const auto refused = me.counts().refused;
        me.receive(from("x", Message::Kind::ping, {rec("z", 1, 0, State::alive), c.forged}), 2ms);
        CHECK(me.counts().refused == refused + 1);
        CHECK(!me.view().contains("z") && me.self().incarnation == 2);
    }
    // Out of bounds: long names, long places, a message from ourselves.
    Record long_name = rec(std::string(65, 'n'), 1, 0, State::alive);
    Record long_zone = rec("z", 1, 0, State::alive);
    long_zone.who.zone = std::string(33, 'z');
    for (const auto& bad : {long_name, long_zone}) {
        me.receive(from("x", Message::Kind::ping, {bad}), 3ms);
        CHECK(!me.view().contains("z") && me.view().size() <= 1);
    }
    const auto refused = me.counts().refused;
    me.receive(from("a", Message::Kind::ping, {rec("z", 1, 0, State::alive)}), 3ms);
    CHECK(me.counts().refused == refused + 1 && !me.view().contains("z"));
    // An earlier run of our name is spoken of: nothing changes, and this run is told again.
    me.receive(from("x", Message::Kind::ping, {rec("a", 4, 30, State::dead, "x")}), 4ms);
    CHECK(me.self().start == 5 && me.self().incarnation == 2 && me.self().state == State::alive);
}

Members with_peers(const std::vector<std::string>& names, Settings settings = quick()) {
    Members me{who("a"), 1, settings, 11, {}, 0ms};
    std::vector<Record> records;
    for (const auto& n : names)
        records.push_back(rec(n, 1, 0, State::alive));
    me.receive(from("x", Message::Kind::pull, records), 0ms);
    me.take_events();
    return me;
}

// Run the clock on, every millisecond, and gather what is sent.
std::vector<Send> run(Members& me, Time from_, Time to) {
    std::vector<Send> all;
    for (Time t = from_; t <= to; t += 1ms)
        for (auto& s : me.tick(t))
            all.push_back(std::move(s));
    return all;
}

// A probe unanswered: k others are asked, then a suspicion, then death at the longest wait.
void check_probe_and_suspicion() {
    auto me = with_peers({"b", "c", "d", "e"});
    const auto sent = run(me, 0ms, 99ms);
    std::vector<Send> pings;
    for (const auto& s : sent)
        if (s.message.kind == Message::Kind::ping)
            pings.push_back(s);
    CHECK(pings.size() == 1);
    const auto target = pings[0].message.target;
    auto asks = run(me, 100ms, 150ms);
    std::size_t indirect = 0;
    for (const auto& s : asks)
        indirect += s.message.kind == Message::Kind::ping_req && s.message.target == target;
    CHECK(indirect == 3);
    // Helpers say they heard nothing: no blame on our own health for them.
    for (const auto& s : asks)
        if (s.message.kind == Message::Kind::ping_req)
            me.receive(from(s.address.substr(0, 1), Message::Kind::nack, {}, s.message.seq), 151ms);
    run(me, 151ms, 260ms);
    CHECK(me.view().at(target).record.state == State::suspect);
    CHECK(me.view().at(target).record.by == "a");
    CHECK(me.health() == 1);  // the failed probe, not the nacks
    const auto ceiling = me.suspicion_ceiling();
    CHECK(ceiling == 6 * me.suspicion_floor() && me.suspicion_floor() == 400ms);
    const auto since = me.view().at(target).since;
    // A target that answers in time costs nothing.
    auto well = with_peers({"b"});
    for (const auto& s : run(well, 0ms, 99ms))
        if (s.message.kind == Message::Kind::ping)
            well.receive(from("b", Message::Kind::ack, {}, s.message.seq), 50ms);
    run(well, 100ms, 400ms);
    CHECK(well.view().at("b").record.state != State::dead && well.counts().acks >= 1);

    // Confirmations from others shorten the wait: two of three give most of the way to the floor.
    me.receive(from("c", Message::Kind::ping, {rec(target, 1, 0, State::suspect, "c")}), since + 1ms);
    me.receive(from("d", Message::Kind::ping, {rec(target, 1, 0, State::suspect, "d")}), since + 2ms);
    me.receive(from("d", Message::Kind::ping, {rec(target, 1, 0, State::suspect, "d")}),
               since + 3ms);  // again
    const auto wait = me.view().at(target).deadline - since;
    CHECK(wait < ceiling && wait > me.suspicion_floor());
    run(me, 261ms, since + wait - 1ms);
    CHECK(me.view().at(target).record.state == State::suspect);
    run(me, since + wait, since + wait);
    CHECK(me.view().at(target).record.state == State::dead);
    CHECK(has(me.take_events(), Event::Kind::dead, target));
    // Dead records are forgotten after their time, and their rumours with them.
    run(me, since + wait + 1ms, since + wait + 5'000ms);
    CHECK(!me.view().contains(target));
}

// A probe done for another: a ping on its behalf, the ack passed back under its number, or a nack in time.
void check_relay() {
    auto me = with_peers({"b", "c"});
    Message ask = from("b", Message::Kind::ping_req, {}, 77);
    ask.target = "c";
    ask.target_address = "c:7946";
    auto out = me.receive(ask, 10ms);
    CHECK(out.size() == 1 && out[0].address == "c:7946" && out[0].message.kind == Message::Kind::ping);
    const auto seq = out[0].message.seq;
    out = me.receive(from("c", Message::Kind::ack, {}, seq), 20ms);
    CHECK(out.size() == 1 && out[0].address == "b:7946" && out[0].message.kind == Message::Kind::ack &&
          out[0].message.seq == 77);
    // Unanswered: a nack at the probe's timeout, not later and not twice.
    out = me.receive(ask, 30ms);
    bool nacked = false;
    for (Time t = 31ms; t <= 200ms; t += 1ms)
        for (const auto& s : me.tick(t))
            if (s.message.kind == Message::Kind::nack) {
                CHECK(!nacked && s.message.seq == 77 && s.address == "b:7946" && t <= 71ms);
                nacked = true;
            }
    CHECK(nacked);
}

// A stall of our own (SIGSTOP): the probe under way ends without blame, suspicions wait on by the stall.
void check_stall() {
    auto me = with_peers({"b", "c", "d"});
    run(me, 0ms, 110ms);  // a probe is out
    me.receive(from("c", Message::Kind::ping, {rec("d", 1, 0, State::suspect, "c")}), 110ms);
    const auto deadline = me.view().at("d").deadline;
    me.tick(3'110ms);  // three seconds later
    CHECK(me.counts().stalls == 1);
    for (const auto& [name, member] : me.view())
        CHECK(name == "d" || member.record.state == State::alive);
    CHECK(me.view().at("d").deadline >= deadline + 2'900ms);
    CHECK(me.view().at("d").record.state == State::suspect);
}

// A whole view: answered with ours; a death in it is only a suspicion here.
void check_push_pull() {
    auto me = with_peers({"b", "c"});
    // Only news: taken, and nothing to answer.
    auto out = me.receive(
        from("b", Message::Kind::push, {rec("c", 1, 0, State::dead, "b"), rec("e", 1, 0, State::alive)}),
        5ms);
    CHECK(out.empty());
    CHECK(me.view().at("c").record.state == State::suspect && me.view().at("e").record.state == State::alive);
    // A digest of nobody: all there is goes back.
    Message ask = from("b", Message::Kind::push, {});
    ask.digest = Digest{};
    out = me.receive(ask, 6ms);
    CHECK(out.size() == 1 && out[0].stream() && out[0].message.kind == Message::Kind::pull);
    CHECK(out[0].message.records.size() == 4 && out[0].message.digest == me.digest());
    // A digest like ours: none does. One that differs in one member: that member's bucket alone.
    ask.digest = me.digest();
    out = me.receive(ask, 7ms);
    CHECK(out.size() == 1 && out[0].message.records.empty());
    auto twin = with_peers({"b", "c", "e"});
    CHECK(twin.digest() == me.digest());  // suspect or alive, learned in another order: the same view
    twin.receive(from("x", Message::Kind::ping, {rec("e", 2, 0, State::alive)}), 7ms);
    ask.digest = twin.digest();
    out = me.receive(ask, 8ms);
    CHECK(out.size() == 1 && !out[0].message.records.empty() && out[0].message.records.size() < 4);
    bool has_e = false;
    for (const auto& r : out[0].message.records)
        has_e |= r.who.name == "e";
    CHECK(has_e);
    // Who asked tells back what the other lacks, once, without a digest: there it ends.
    out[0].message.from = "y";  // both are called "a" here, and nobody hears itself
    out = twin.receive(out[0].message, 9ms);
    CHECK(out.size() == 1 && out[0].message.kind == Message::Kind::push && !out[0].message.digest);
    out[0].message.from = "y";
    out = me.receive(out[0].message, 10ms);
    CHECK(out.empty() && me.digest() == twin.digest());
    // With one held dead, each push-pull period asks it as well: the way back from a partition.
    auto settings = quick();
    settings.push_pull_interval = 50ms;
    auto cut = with_peers({"b", "c"}, settings);
    cut.receive(from("b", Message::Kind::ping, {rec("c", 1, 0, State::dead, "b")}), 1ms);
    std::set<std::string> pushed;
    for (const auto& s : run(cut, 1ms, 60ms))
        if (s.message.kind == Message::Kind::push)
            pushed.insert(s.address);
    CHECK(pushed.contains("c:7946") && pushed.contains("b:7946"));
    // Alone, a member pushes to a seed.
    Members lone{who("a"), 1, quick(), 3, {"seed:1"}, 0ms};
    const auto first = lone.tick(0ms);
    CHECK(first.size() == 1 && first[0].address == "seed:1" && first[0].message.digest &&
          first[0].message.records.empty());
    // No answer: again about a probe interval later, not a whole push-pull interval.
    std::size_t again = 0;
    for (const auto& s : run(lone, 1ms, 130ms))
        again += s.message.kind == Message::Kind::push;
    CHECK(again == 1);
    // A full view is bounded.
    auto small = quick();
    small.most_members = 2;
    Members bounded{who("a"), 1, small, 3, {}, 0ms};
    bounded.receive(
        from("x", Message::Kind::pull,
             {rec("b", 1, 0, State::alive), rec("c", 1, 0, State::alive), rec("d", 1, 0, State::alive)}),
        0ms);
    CHECK(bounded.view().size() == 2 && bounded.counts().refused == 1);
}

// A small fleet, every message delivered at once but to those held back: one killed is dead in every view,
// one that leaves is left, not dead, and one stopped and woken refutes.
void check_small_fleet() {
    const std::vector<std::string> names{"m0", "m1", "m2", "m3", "m4", "m5"};
    std::map<std::string, Members> fleet;
    for (std::size_t i = 0; i < names.size(); ++i)
        fleet.emplace(names[i], Members{{names[i], names[i], "z", "r"}, 1, quick(), i + 1, {"m0"}, 0ms});
    std::set<std::string> down, stopped;
    std::deque<Send> wire;
    auto step = [&](Time t) {
        for (auto& [name, m] : fleet)
            if (!down.contains(name) && !stopped.contains(name))
                for (auto& s : m.tick(t))
                    wire.push_back(std::move(s));
        for (std::size_t hops = 0; !wire.empty() && hops < 10'000; ++hops) {
            auto s = std::move(wire.front());
            wire.pop_front();
            if (down.contains(s.address) || stopped.contains(s.address) || !fleet.contains(s.address))
                continue;
            for (auto& r : fleet.at(s.address).receive(s.message, t))
                wire.push_back(std::move(r));
        }
    };
    auto agree = [&](const std::string& name, State state) {
        for (auto& [n, m] : fleet)
            if (!down.contains(n) && n != name &&
                (!m.view().contains(name) || m.view().at(name).record.state != state))
                return false;
        return true;
    };
    Time t = 0ms;
    for (; t < 3'000ms && !agree("m5", State::alive); t += 5ms)
        step(t);
    CHECK(agree("m5", State::alive));
    for (auto& [n, m] : fleet)
        CHECK(m.view().size() == names.size() - 1);
    down.insert("m3");
    const auto killed = t;
    for (; t < killed + 10'000ms && !agree("m3", State::dead); t += 5ms)
        step(t);
    CHECK(agree("m3", State::dead));
    for (auto& [n, m] : fleet)
        if (!down.contains(n))
            CHECK(m.counts().deaths <= 1);
    // Stopped for less than the floor of suspicion (400 ms here), then woken: alive everywhere, and it blamed
    // nobody.
    stopped.insert("m4");
    const auto stop = t;
    for (; t < stop + 300ms; t += 5ms)
        step(t);
    stopped.clear();
    const auto deaths = fleet.at("m4").counts().deaths;
    for (const auto until = t + 2'000ms; t < until; t += 5ms)
        step(t);
    CHECK(agree("m4", State::alive));
    CHECK(fleet.at("m4").counts().deaths == deaths && fleet.at("m4").counts().stalls == 1);
    // A planned leave is no failure.
    for (auto& s : fleet.at("m2").leave(t))
        wire.push_back(std::move(s));
    down.insert("m2");
    for (const auto until = t + 2'000ms; t < until; t += 5ms)
        step(t);
    CHECK(agree("m2", State::left));
}

}  // namespace

int main() {
    check_transitions();
    check_self();
    check_probe_and_suspicion();
    check_relay();
    check_stall();
    check_push_pull();
    check_small_fleet();
    std::puts(
        "members: every transition by the table, suspicion, refutes and stalls as SWIM and Lifeguard say");
}
