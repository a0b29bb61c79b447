// The core alone, with a clock, timers, a sender and clients of the test's own: what each stage guards.
#include <map>

#include "check.h"
#include "config/config.h"
#include "core/engine.h"
#include "lifecycle.h"
#include "net/clock.h"
#include "settings.h"
#include "test_fixture.h"

using namespace silverrail;
using namespace silverrail::core;
using namespace std::chrono_literals;

namespace {

struct HandClock : Clock {
    Time now() const override {
        return Time{1000s} + passed;
    }
    std::int64_t unix_ms() const override {
        return true_unix_ms() + step / 1ms;
    }
    std::int64_t true_unix_ms() const {
        return 1'764'576'000'000 + passed / 1ms;
    }
    Span passed{};
    Span step{};  // of this machine's wall clock
};

struct HandTimers : Timers {
    explicit HandTimers(HandClock& c) : clock(c) {}
    Handle at(Time when, std::function<void()> action) override {
        due.emplace(std::pair{when, ++last}, std::move(action));
        return last;
    }
    void cancel(Handle handle) override {
        std::erase_if(due, [&](const auto& e) { return e.first.second == handle; });
    }
    void pass(Span span) {
        const Time until = clock.now() + span;
        while (!due.empty() && due.begin()->first.first <= until) {
            auto node = due.extract(due.begin());
            clock.passed += std::max(Span{}, node.key().first - clock.now());
            node.mapped()();
        }
        clock.passed += until - clock.now();
    }
    HandClock& clock;
    std::map<std::pair<Time, Handle>, std::function<void()>> due;
    Handle last = 0;
};

// Holds each attempt until the test lets it go or end.
struct HandSender : AttemptSender {
    void start(Order order, AttemptEvents& e) override {
        events = &e;
        out.push_back(std::move(order));
        if (refuses_at_once) {
            const auto key = out.back().key;
            out.pop_back();
            e.ended(key, {.attempt_status = AttemptStatus::connect_failed});
        }
    }
    void cancel(const AttemptKey& key) override {
        std::erase_if(out, [&](const Order& o) { return o.key == key; });
        ++cancelled;
    }
    void forget(const ServerId& server) override {
        forgotten.push_back(server.address);
    }
    void end(std::size_t i, AttemptEnd how) {
        const auto key = out.at(i).key;
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
        events->ended(key, std::move(how));
    }
    std::vector<Order> out;
    std::vector<std::string> forgotten;
    AttemptEvents* events = nullptr;
    bool refuses_at_once = false;
    int cancelled = 0;
};

struct Reply : ReplySink {
    void reply(Answer a) override {
        ++count;
        answer = std::move(a);
    }
    int count = 0;
    Answer answer;
};

struct Bench {
    Bench() {
        change({test::listed("s-a", "127.0.0.1:1"), test::listed("s-b", "127.0.0.1:2"),
                test::listed("s-parent", "127.0.0.1:3", "parent"),
                test::listed("s-origin", "127.0.0.1:4", "origin")},
               true);
    }
    void change(std::vector<Server> servers, bool complete = false) {
        engine.apply(ServerChange{complete, std::move(servers)});
    }
    std::shared_ptr<Reply> ask(const char* class_name = "pages", Span wait = 2s, bool redirected = false) {
        Call call;
        call.class_name = class_name;
        call.object = "7f3a9c21e0b4d655";
        call.object_id = silverrail::routing::ObjectId{0x7f3a9c21e0b4d655};
        call.group = silverrail::routing::GroupId{17};
        call.deadline = clock.now() + wait;
        call.write = call.class_name != "pages";
        if (call.class_name == "order")
            call.idempotency_key = "952b4cf81bd4b06d";
        call.redirected = redirected;
        auto reply = std::make_shared<Reply>();
        id = engine.take(std::move(call), reply);
        return reply;
    }
    HandClock clock;
    HandTimers timers{clock};
    HandSender sender;
    Log log;
    Engine engine{test::settings(), 7, 20, clock, timers, sender, log};
    std::optional<RequestId> id;
};

void one_answer_by_the_deadline() {
    struct Case {
        const char* class_name;
        AttemptStatus attempt_status;
        Answer::Kind kind;  // once nothing more can be tried
        std::size_t attempts;
    };
    using Kind = Answer::Kind;
    const Case cases[] = {
        {"pages", AttemptStatus::success, Kind::served, 1},
        {"pages", AttemptStatus::reset, Kind::refused, 6},
        {"pages", AttemptStatus::connect_failed, Kind::refused, 6},
        {"lodge", AttemptStatus::reset, Kind::failed, 1},  // may have run
        {"lodge", AttemptStatus::error, Kind::failed, 1},
        {"lodge", AttemptStatus::timeout, Kind::failed, 1},
        {"lodge", AttemptStatus::connect_failed, Kind::refused, 6},  // never ran
    };
    for (const Case& c : cases) {
        Bench b;
        const auto reply = b.ask(c.class_name);
        std::size_t attempts = 0;
        while (!b.sender.out.empty()) {
            ++attempts;
            b.sender.end(0, {.attempt_status = c.attempt_status, .body = "bytes"});
        }
        CHECK(reply->count == 1 && reply->answer.kind == c.kind && attempts <= c.attempts);
        CHECK((c.attempts == 1) == (attempts == 1));
        CHECK(b.engine.open() == 0);
    }
    // Silence: at the deadline, and never twice.
    for (const char* class_name : {"pages", "lodge"}) {
        Bench b;
        const auto reply = b.ask(class_name, 700ms);
        b.timers.pass(699ms);
        CHECK(reply->count == 0);
        b.timers.pass(3ms);
        CHECK(reply->count == 1 && reply->answer.timed_out);
        CHECK((reply->answer.kind == Answer::Kind::failed) == (std::string_view{class_name} == "lodge"));
        CHECK(b.sender.out.empty() && b.engine.open() == 0);
    }
    // A sender that fails before it returns does not confuse the order of events.
    Bench b;
    b.sender.refuses_at_once = true;
    const auto reply = b.ask();
    CHECK(reply->count == 1 && reply->answer.kind == Answer::Kind::refused && b.engine.open() == 0);
    CHECK(reply->answer.hold_off == 250ms);
}

void admission() {
    Bench b;
    CHECK(b.ask("nowhere")->answer.kind == Answer::Kind::failed);
    CHECK(b.ask("pages", 0s)->answer.timed_out);
    std::vector<std::shared_ptr<Reply>> replies;
    for (int i = 0; i < 21; ++i)
        replies.push_back(b.ask("lodge"));
    CHECK(replies[19]->count == 0 && replies[20]->count == 1);
    CHECK(replies[20]->answer.kind == Answer::Kind::refused && replies[20]->answer.hold_off > 0s);
    CHECK(b.engine.counters().not_admitted == 1);
}

// The wait for a connection may be long: what was right when it was decided is looked at again.
void first_bytes() {
    {
        Bench b;
        (void)b.ask();
        const auto key = b.sender.out.at(0).key;
        CHECK(b.sender.events->before_first_byte(key) == Span{});
        b.change({test::listed(b.sender.out[0].target.address, b.sender.out[0].address, "small-box",
                               silverrail::routing::Condition::draining)});
        // The grace may be short, or half over when the list is heard: not a byte from here on.
        CHECK(!b.sender.events->before_first_byte(key));
        b.timers.pass(1600ms);
        CHECK(!b.sender.events->before_first_byte(key));
    }
    {
        Bench b;
        (void)b.ask();
        const auto key = b.sender.out.at(0).key;
        b.change({test::listed("s-parent", "127.0.0.1:3", "parent", silverrail::routing::Condition::gone)});
        CHECK(!b.sender.events->before_first_byte(key));  // a source is named too
    }
    // A keyed request's repeats end with the window that its first attempt began, whatever they wait for.
    for (const Span waited : {800ms, 900ms}) {
        Bench b;
        const auto reply = b.ask("order");
        b.timers.pass(50ms);
        b.sender.end(0, {.attempt_status = AttemptStatus::reset});  // it may have run
        const auto key = b.sender.out.at(0).key;
        b.timers.pass(waited - 50ms);
        CHECK(b.sender.events->before_first_byte(key).has_value() == (waited == 800ms));
        b.sender.end(0, {.attempt_status = AttemptStatus::not_sent});
        if (waited == 900ms)
            CHECK(b.sender.out.empty() && reply->answer.kind == Answer::Kind::refused);
    }
    {
        Bench b;
        (void)b.ask();
        const auto key = b.sender.out.at(0).key;
        // A stamp of this moment from elsewhere: without one a purge counts from its telling.
        b.engine.apply(PurgeNotice{{}, silverrail::routing::GroupId{99}, b.clock.unix_ms()});
        b.engine.apply(PurgeNotice{{}, silverrail::routing::GroupId{17}, b.clock.unix_ms() - 120});
        b.timers.pass(80ms);
        CHECK(b.sender.events->before_first_byte(key) == Span{200ms});
        b.engine.abandon(*b.id);
        CHECK(!b.sender.events->before_first_byte(key));  // nobody waits for it any more
        CHECK(b.sender.cancelled == 1 && b.engine.open() == 0);
    }
}

void servers_by_id() {
    Bench b;
    b.change({test::listed("s-a", "127.0.0.1:1", "small-box", silverrail::routing::Condition::draining)});
    CHECK(b.sender.forgotten.empty());  // what is open there comes to its end
    b.timers.pass(1s);
    b.change({test::listed("s-a", "127.0.0.1:1", "small-box", silverrail::routing::Condition::gone)});
    CHECK(b.sender.forgotten == std::vector<std::string>{"s-a"});
    auto again = test::listed("s-b", "127.0.0.1:2");
    again.started_ms = b.clock.unix_ms();
    b.change({again});
    b.change({again});  // told twice, restarted once
    CHECK((b.sender.forgotten == std::vector<std::string>{"s-a", "s-b"}));
}

// The wall clock steps while servers start and objects are purged: ages stay what they are.
void clock_steps() {
    const auto started = [](const Bench& b, Span ago) {
        auto server = test::listed("s-b", "127.0.0.1:2");
        server.started_ms = b.clock.true_unix_ms() - ago / 1ms;
        return server;
    };
    const auto started_at = [](Bench& b) {
        std::optional<Time> found;
        b.engine.each_server([&](const Server& server, bool) {
            if (server.entry.id.address == "s-b")
                found = server.entry.started_at;
        });
        CHECK(found);
        return *found;
    };
    const auto purge = [](Bench& b, Span ago, Span oldest = Span::max()) {
        b.engine.apply(PurgeNotice{{}, silverrail::routing::GroupId{17}, b.clock.true_unix_ms() - ago / 1ms},
                       oldest);
    };
    const auto asked_for = [](Bench& b) {
        (void)b.ask();
        return b.sender.events->before_first_byte(b.sender.out.back().key);
    };
    for (const Span step : {Span{-1h}, Span{-3s}, Span{3s}, Span{1h}}) {
        Bench b;
        purge(b, 0s);  // a first reading of both clocks
        b.change({started(b, 2500ms)});
        const Time began = b.clock.now() - 2500ms;
        CHECK(started_at(b) == began);
        b.timers.pass(10s);
        b.clock.step = step;
        // Told again, it has not started again; told for the first time, not earlier than it did.
        b.change({started(b, 12500ms)});
        CHECK(started_at(b) == began);
        b.change({started(b, 1s)});
        CHECK(started_at(b) >= b.clock.now() - 1s && started_at(b) <= b.clock.now());
        // A purge binds at least by its age, and by no more than the news was late.
        purge(b, 200ms);
        b.timers.pass(1s);
        const auto oldest = asked_for(b);
        CHECK(oldest && *oldest >= 1s && *oldest <= 1200ms);
        b.clock.step = {};
        b.timers.pass(1s);
        const auto later = asked_for(b);
        CHECK(later && *later >= 2s && *later <= 2200ms);
        CHECK(b.engine.counters().clock_steps == 2);
        // An answer from elsewhere shows how late it is at least: exact again where the clock had been
        // behind.
        b.sender.end(0, {.attempt_status = AttemptStatus::success,
                         .body = "b",
                         .tag = "t",
                         .made_ms = b.clock.true_unix_ms()});
        purge(b, 150ms);
        CHECK(asked_for(b) == Span{150ms});
    }
    // Ahead from its start: what is known then counts from its telling, until stamps prove more.
    for (const Span ahead : {Span{1s}, Span{30s}, Span{1h}}) {
        Bench b;
        b.clock.step = ahead;
        purge(b, 500ms);
        b.timers.pass(300ms);
        CHECK(asked_for(b) == Span{300ms});
        b.sender.end(0, {.attempt_status = AttemptStatus::success,
                         .body = "b",
                         .tag = "t",
                         .made_ms = b.clock.true_unix_ms()});
        CHECK(asked_for(b) == Span{800ms});
    }
    {
        Bench b;  // cleared everywhere by itself, and forgotten
        b.clock.step = 1s;
        purge(b, 500ms);
        b.timers.pass(7'600ms);
        CHECK(asked_for(b) == Span{});
    }
    // The same of news, and of starts, which nothing shows but when discovery was last heard.
    Bench ahead;
    ahead.clock.step = 1h;
    purge(ahead, 200ms, 10s);
    ahead.timers.pass(1s);
    CHECK(asked_for(ahead) == Span{1s} && ahead.engine.counters().clock_doubts == 1);
    ahead.engine.apply(ServerChange{false, {started(ahead, 1s)}}, 10s);
    CHECK(started_at(ahead) == ahead.clock.now() && ahead.engine.counters().clock_doubts == 2);
}

// A process that begins with its clock behind learns from the first answers how late it is at least: no copy
// of its own counts as younger than it is.
void clock_behind_from_the_start() {
    for (const Span behind : {Span{1s}, Span{30s}, Span{1h}}) {
        Bench b;
        b.clock.step = -behind;
        b.engine.keep_copies({.bytes = 1 << 20, .link = {.flow_bytes_per_s = 1e6, .link_bytes_per_s = 1e6}});
        b.engine.told_of_purges(true);
        const auto answer = [&](std::int64_t made_ms) {
            b.sender.end(0, {.attempt_status = AttemptStatus::success,
                             .body = "bytes",
                             .tag = "tag",
                             .made_ms = made_ms});
        };
        (void)b.ask();
        answer(b.clock.true_unix_ms() - 500);  // shows how late it is at least
        b.clock.passed += 29s;                 // past fresh time and grace
        const auto next = b.ask();
        CHECK(next->count == 0 && b.sender.out.size() == 1);
        answer(b.clock.true_unix_ms() - 27'700);
        b.clock.passed += 400ms;
        const auto late = b.ask();
        CHECK(late->count == 0 && b.sender.out.size() == 1);
        while (!b.sender.out.empty())
            b.sender.end(0, {.attempt_status = AttemptStatus::connect_failed});
        CHECK(late->answer.kind == Answer::Kind::refused);
    }
    // What is too far ahead to be a clock's step tells nothing: the copies that are held go on answering.
    Bench b;
    b.engine.keep_copies({.bytes = 1 << 20, .link = {.flow_bytes_per_s = 1e6, .link_bytes_per_s = 1e6}});
    b.engine.told_of_purges(true);
    const std::int64_t far_ahead = b.clock.unix_ms() + 100 * 24 * 3'600'000LL;
    for (const std::int64_t made_ms : {b.clock.unix_ms(), far_ahead}) {
        const auto asked = b.ask("lodge");
        b.sender.end(
            0, {.attempt_status = AttemptStatus::success, .body = "done", .tag = "tag", .made_ms = made_ms});
        CHECK(asked->count == 1);
    }
    (void)b.ask();
    b.sender.end(
        0, {.attempt_status = AttemptStatus::success, .body = "b", .tag = "t", .made_ms = b.clock.unix_ms()});
    CHECK(b.ask()->count == 1 && b.engine.counters().own_fresh == 1);
}

void referrals() {
    Bench b;
    auto reply = b.ask("pages", 1s, true);
    CHECK(reply->answer.kind == Answer::Kind::redirected && !reply->answer.server_address.empty());
    CHECK(b.sender.out.empty() && b.engine.open() == 0);
    b.engine.apply(PurgeNotice{silverrail::routing::ObjectId{0x7f3a9c21e0b4d655}, {}, b.clock.unix_ms()});
    reply = b.ask("pages", 1s, true);
    CHECK(reply->answer.kind == Answer::Kind::refused && reply->answer.hold_off > 0s);
    CHECK(b.engine.counters().not_carried == 1);
}

void phases() {
    using Phase = Lifecycle::Phase;
    Lifecycle life;
    std::vector<Phase> seen;
    life.on_change([&](Phase p) { seen.push_back(p); });
    CHECK(!life.ready());
    CHECK(life.enter(Phase::ready) && life.ready() && life.enter(Phase::draining));
    CHECK(!life.enter(Phase::ready) && !life.enter(Phase::draining) && !life.ready());
    CHECK((seen == std::vector{Phase::ready, Phase::draining}));
}

// The same settings as the simulator's wire gives them and as the platform's file does.
void settings_from_both_wires() {
    const auto json = config::parse_json(R"({"listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","settings":{
        "allowed":{"cancel":true,"conn-idle":15000000000,"connect-timeout":400000000,"max-retry-after":500000000,
            "retry-after":true,"try-limit":6},
        "balancers":4,"classes":[{"aim":400000000,"aim-stretch":1.6,"effect":"pure","give-up":5000000000,
            "group":"all","late-worth":0.15,"name":"bulk-files","window":5000000000,"worth":2.0},
            {"aim":700000000,"effect":"side_effect","give-up":3000000000,"group":"zone","name":"lodge"}],
        "dcs":["north","edge-1"],"kinds":["small-box","parent","origin"],"weights":"rough","zone":"edge-1",
        "family-info":{"bypass-allowed":false,"class-grace":[0,20000000000],"cleared-within":6000000000,
            "detail":"all","heed-within":500000000,"max-age":[0,8000000000],"one-flow-kb-per-s":2800.0,
            "origin-kind":2,"parent-limit-factor":2.0,"parent-warms-in":21000000000,"pipe-kb-per-s":[0.0,40368.5],
            "second-tier-kind":1,"segmented":[false,true],"shares-fills":true,"stale-earns":[0.7,0.5],
            "uncached":[false,true],"upper-cold-from":0.068,"zone-balancers":[0,2]},
        "invariants":{"cold":14000000000,"cold-from":0.26,"fall":3000000000,"tip-multiple":2.0}}})");
    const auto from_file = config::parse_config(*json);
    const std::string pairs =
        "allowed.cancel=true allowed.max-retry-after=500000000 allowed.retry-after=true allowed.try-limit=6 "
        "balancers=4 classes.count=2 classes.0.aim=400000000 classes.0.aim-stretch=1.6 "
        "classes.0.effect=pure "
        "classes.0.give-up=5000000000 classes.0.group=all classes.0.late-worth=0.15 "
        "classes.0.name=bulk-files "
        "classes.0.window=5000000000 classes.0.worth=2.0 classes.1.aim=700000000 "
        "classes.1.effect=side_effect "
        "classes.1.give-up=3000000000 classes.1.group=zone classes.1.name=lodge dcs=north,edge-1 "
        "kinds=small-box,parent,origin weights=rough zone=edge-1 family-info.bypass-allowed=false "
        "family-info.class-grace=0,20000000000 family-info.cleared-within=6000000000 family-info.detail=all "
        "family-info.heed-within=500000000 family-info.max-age=0,8000000000 "
        "family-info.one-flow-kb-per-s=2800.0 "
        "family-info.origin-kind=2 family-info.parent-limit-factor=2.0 "
        "family-info.parent-warms-in=21000000000 "
        "family-info.pipe-kb-per-s=0.0,40368.5 family-info.second-tier-kind=1 "
        "family-info.segmented=false,true "
        "family-info.shares-fills=true family-info.stale-earns=0.7,0.5 family-info.uncached=false,true "
        "family-info.upper-cold-from=0.068 family-info.zone-balancers=0,2 invariants.cold=14000000000 "
        "invariants.cold-from=0.26 invariants.fall=3000000000 invariants.tip-multiple=2.0";
    const auto a =
        silverrail::routing::adapter::parse_settings(silverrail::routing::adapter::split(pairs, ' '));
    const auto& b = from_file.settings;
    const auto all = [](const silverrail::routing::Settings& s) {
        return std::tuple{s.zone,
                          s.routers,
                          s.routers_in_zone,
                          s.parent_kind,
                          s.origin_kind,
                          s.server_weights,
                          s.flow_kb_per_s,
                          s.zone_link_kb_per_s,
                          s.outcome_detail,
                          s.cancellation_supported,
                          s.retry_after,
                          s.direct,
                          s.joins,
                          s.max_retry_after,
                          s.max_attempts,
                          s.purge_effective_within,
                          s.purge_complete_within,
                          s.slow_start_share,
                          s.slow_start_duration,
                          s.overload_multiple,
                          s.overload_window,
                          s.parent_slow_start_share,
                          s.parent_slow_start_duration,
                          s.parent_overload_multiple};
    };
    const auto each = [](const silverrail::routing::ClassSettings& c) {
        return std::tuple{
            c.name,        c.latency_objective, c.objective_stretch, c.client_timeout, c.priority_weight,
            c.late_weight, c.idempotency,       c.key_scope,         c.window,         c.max_age,
            c.grace,       c.stale_weight,      c.segmented,         c.uncached};
    };
    CHECK(all(a) == all(b) && a.classes.size() == 2 && b.classes.size() == 2);
    for (std::size_t i = 0; i < 2; ++i)
        CHECK(each(a.classes[i]) == each(b.classes[i]));
    CHECK(b.parent_kind == "parent" && b.routers_in_zone == 2 && b.classes[1].uncached);
    CHECK(from_file.connect_timeout == 400ms && from_file.seed == 0x8c1f30d27a5be964);
    auto broken = *json;
    broken["settings"]["classes"][0]["aim"] = "soon";
    try {
        (void)config::parse_config(broken);
        CHECK(!"read");
    } catch (const config::ConfigError& e) {
        CHECK(std::string_view{e.what()}.find("settings.classes.0.aim") != std::string_view::npos);
    }
}

// A copy of the router's own answers without an attempt while purges are sure to be heard of, and takes the
// place of a refusal past its fresh time; what was asked for before a purge is not kept after it.
void own_copies() {
    Bench b;
    b.engine.keep_copies({.bytes = 1 << 20, .link = {.flow_bytes_per_s = 1e6, .link_bytes_per_s = 1e6}});
    b.engine.told_of_purges(true);
    const auto server_answers = [&](std::int64_t made_ms) {
        b.sender.end(
            0, {.attempt_status = AttemptStatus::success, .body = "bytes", .tag = "tag", .made_ms = made_ms});
    };
    const auto first = b.ask();
    server_answers(b.clock.unix_ms());
    const auto second = b.ask();
    CHECK(first->count == 1 && second->count == 1 && !b.id && b.sender.out.empty());
    CHECK(second->answer.kind == Answer::Kind::served && second->answer.body == "bytes");
    CHECK(second->answer.tag == "tag" && b.engine.counters().own_fresh == 1);
    b.ask("pages", 2s, true);  // a client that goes to the server by itself gets a name
    CHECK(b.engine.counters().redirected == 1 && b.engine.counters().own_fresh == 1);

    b.clock.passed += 9s;  // past its fresh time: the server is asked, and the copy stands in for a refusal
    const auto third = b.ask();
    CHECK(third->count == 0 && b.sender.out.size() == 1);
    while (!b.sender.out.empty())
        b.sender.end(0, {.attempt_status = AttemptStatus::connect_failed});
    CHECK(third->count == 1 && third->answer.kind == Answer::Kind::served);
    CHECK(b.engine.counters().own_stale == 1 && b.engine.counters().refused == 0);

    b.engine.told_of_purges(false);
    const auto fourth = b.ask();
    while (!b.sender.out.empty())
        b.sender.end(0, {.attempt_status = AttemptStatus::connect_failed});
    CHECK(fourth->answer.kind == Answer::Kind::refused);

    b.engine.told_of_purges(true);
    b.clock.passed += 9s;
    const auto asked = b.ask();
    const auto before = b.clock.unix_ms();
    b.clock.passed += 5ms;
    b.engine.apply(PurgeNotice{std::nullopt, silverrail::routing::GroupId{17}, before + 1});
    server_answers(before);  // on its way while the purge was told
    CHECK(asked->count == 1);
    const auto after = b.ask();
    CHECK(after->count == 0 && b.sender.out.size() == 1);
}

// An answer that was long on its way is older than a purge that is past already at the servers: it goes to
// its client, who asked before the purge was told, and to nobody else.
void long_answers_and_purges() {
    struct Case {
        const char* name;
        Span wait;    // the client's
        Span told;    // after the call was taken
        Span issued;  // before it was told
        Span answer;  // after the call was taken
    };
    // Copies are cleared within 6 s and purges heeded within half a second; calls last 5 s by the settings.
    const Case cases[] = {
        {"on its way while the purge was told", 5s, 1s, 1s, 2s},
        {"past the time in which boxes clear", 5s, 1s, 4s, 4700ms},
        {"told as late as can be", 5s, 100ms, 7s, 4700ms},
        {"of a call that outlasts the settings'", 10s, 100ms, 7s, 9900ms},
    };
    for (const Case& c : cases) {
        Bench b;
        b.engine.keep_copies({.bytes = 1 << 20, .link = {.flow_bytes_per_s = 1e6, .link_bytes_per_s = 1e6}});
        b.engine.told_of_purges(true);
        const auto asked = b.ask("pages", c.wait);
        b.clock.passed += c.told;
        const auto issued = b.clock.unix_ms() - c.issued / 1ms;
        b.engine.apply(PurgeNotice{silverrail::routing::ObjectId{0x7f3a9c21e0b4d655}, {}, issued});
        b.clock.passed += c.answer - c.told;
        b.sender.end(
            0,
            {.attempt_status = AttemptStatus::success, .body = "old", .tag = "tag", .made_ms = issued - 1});
        CHECK(asked->answer.kind == Answer::Kind::served && asked->answer.body == "old");
        // Neither as a fresh copy nor in place of a refusal.
        const auto next = b.ask();
        CHECK(next->count == 0 && b.sender.out.size() == 1);
        while (!b.sender.out.empty())
            b.sender.end(0, {.attempt_status = AttemptStatus::connect_failed});
        CHECK(next->answer.kind == Answer::Kind::refused);
    }
}

// Out by hand: nothing new from the next byte on, whatever the list says, until it is called back.
void out_by_hand() {
    Bench b;
    const auto bans = [](std::initializer_list<const char*> ids) {
        members::Bans of;
        for (const char* id : ids)
            CHECK(of.add(ServerId{id}));
        return of;
    };
    const auto back_to_good = [&](const std::shared_ptr<Reply>& reply) {
        CHECK(b.sender.out.size() == 1);
        b.sender.end(
            0, {.attempt_status = AttemptStatus::success, .cache_status = CacheStatus::hit, .body = "bytes"});
        CHECK(reply->count == 1 && reply->answer.kind == Answer::Kind::served);
    };
    const auto first = b.ask();
    const ServerId home = b.sender.out.at(0).target;
    const char* other = home.address == "s-a" ? "s-b" : "s-a";
    // Between decision and first byte: turned back, a write too, and sent to the other server instead.
    const auto write = b.ask("lodge");
    CHECK(b.sender.out.size() == 2 && b.sender.out[1].target == home);
    b.engine.set_bans(bans({home.address.c_str()}));
    CHECK(b.sender.forgotten == std::vector{home.address});
    for (int i = 0; i < 2; ++i) {
        CHECK(!b.sender.events->before_first_byte(b.sender.out.at(0).key));
        b.sender.end(0, {.attempt_status = AttemptStatus::not_sent});
        CHECK(b.sender.out.back().target.address == other);
        CHECK(b.sender.events->before_first_byte(b.sender.out.back().key));
    }
    while (!b.sender.out.empty())
        b.sender.end(
            0, {.attempt_status = AttemptStatus::success, .cache_status = CacheStatus::hit, .body = "b"});
    CHECK(first->answer.kind == Answer::Kind::served && write->answer.kind == Answer::Kind::served);
    CHECK(b.engine.counters().hosts_down == 1 && b.engine.counters().hosts_listed == 4);
    // The list drops it, lists it again, and lists it as just started: it stays out.
    using silverrail::routing::Condition;
    b.change({test::listed(home.address, "127.0.0.1:1", "small-box", Condition::gone)});
    b.change({test::listed(home.address, "127.0.0.1:1")});
    auto started = test::listed(home.address, "127.0.0.1:1");
    started.entry.started_at = b.clock.now();
    b.change({started});
    auto asked = b.ask();
    CHECK(b.sender.out.at(0).target.address == other);
    back_to_good(asked);
    // Back: its home again within half a second, and cold: with its share of the budget spent, the other one
    // takes over.
    b.clock.passed += 1s;
    b.engine.set_bans(bans({}));
    CHECK(b.engine.counters().hosts_down == 0);
    b.clock.passed += 500ms;
    asked = b.ask();
    CHECK(b.sender.out.at(0).target == home);
    back_to_good(asked);
    std::size_t at_home = 0;
    for (int i = 0; i < 19; ++i)
        b.ask();
    for (const Order& order : b.sender.out)
        at_home += order.target == home ? 1 : 0;
    CHECK(at_home > 0 && at_home < 19);
    while (!b.sender.out.empty())
        b.sender.end(0, {.attempt_status = AttemptStatus::cancelled});
    // As a source: a fill that names it is turned back and finds another source.
    b.clock.passed += 30s;
    asked = b.ask();
    CHECK(b.sender.out.size() == 1 && b.sender.out[0].source == ServerId{"s-parent"});
    b.engine.set_bans(bans({"s-parent"}));
    CHECK(!b.sender.events->before_first_byte(b.sender.out[0].key));
    b.sender.end(0, {.attempt_status = AttemptStatus::not_sent});
    CHECK(b.sender.out.size() == 1 && b.sender.out[0].source != ServerId{"s-parent"});
    back_to_good(asked);
    CHECK(b.engine.open() == 0);
}

// Zones by weight, and servers held out on others' word: what the module is shown, and what is held back at
// the first byte.
void steered() {
    Bench b;
    auto far = test::listed("s-far", "127.0.0.1:5");
    far.entry.zone = "edge-2";
    b.change({far});
    const auto asked = [&b](std::size_t n) {
        std::map<std::string, std::size_t> out;
        for (std::size_t i = 0; i < n; ++i) {
            Call call;
            call.class_name = "pages";
            call.object = std::to_string(i);
            call.object_id = silverrail::routing::ObjectId{7919 * i + 1};
            call.deadline = b.clock.now() + 2s;
            b.engine.take(std::move(call), std::make_shared<Reply>());
            if (b.sender.out.empty())
                continue;  // refused: what is cold bears little
            ++out[b.sender.out.back().target.address];
            b.sender.end(
                0, {.attempt_status = AttemptStatus::success, .cache_status = CacheStatus::hit, .body = "b"});
        }
        return out;
    };
    CHECK(!asked(60).contains("s-far") && b.engine.sent_away().empty());
    // Half stays, half goes: one server there bears as much as two here.
    b.engine.steer({{"edge-1", 0.5}, {"edge-2", 1.0}});
    auto to = asked(400);
    CHECK(to["s-far"] > 150 && to["s-far"] < 250 && to["s-a"] > 60 && to["s-b"] > 60);
    CHECK(b.engine.sent_away().at("edge-2") == to["s-far"]);
    // All goes: what was on its way to the own zone is held back, and nothing new goes there.
    const auto on_its_way = b.ask();
    const ServerId home = b.sender.out.at(0).target;
    b.engine.steer({{"edge-1", 0.0}, {"edge-2", 1.0}});
    if (home.address != "s-far") {
        CHECK(!b.sender.events->before_first_byte(b.sender.out.at(0).key));
        b.sender.end(0, {.attempt_status = AttemptStatus::not_sent});
    }
    CHECK(b.sender.out.at(0).target.address == "s-far");
    b.sender.end(0,
                 {.attempt_status = AttemptStatus::success, .cache_status = CacheStatus::hit, .body = "b"});
    CHECK(on_its_way->answer.kind == Answer::Kind::served);
    CHECK(asked(50)["s-far"] == 50 && b.engine.counters().hosts_down == 2);
    // Back: the own zone's servers count as just started.
    b.engine.steer({});
    CHECK(b.engine.counters().hosts_down == 0);
    to = asked(60);
    CHECK(!to.contains("s-far"));
    // Held out on others' word: as a ban, until they say otherwise; the list changes nothing of it.
    Bench c;
    c.engine.hold_out({ServerId{"s-a"}});
    c.change({test::listed("s-a", "127.0.0.1:1")});
    CHECK(c.engine.counters().hosts_down == 1 && c.sender.forgotten == std::vector<std::string>{"s-a"});
    (void)c.ask();
    CHECK(c.sender.out.at(0).target.address == "s-b");
    c.engine.hold_out({});
    CHECK(c.engine.counters().hosts_down == 0);
}

}  // namespace

int main() {
    one_answer_by_the_deadline();
    admission();
    first_bytes();
    servers_by_id();
    clock_steps();
    clock_behind_from_the_start();
    referrals();
    phases();
    settings_from_both_wires();
    own_copies();
    long_answers_and_purges();
    out_by_hand();
    steered();
    std::puts("core: every case holds");
}
