// An engine with a clock, timers, an attempt sender and response sinks that are controlled by the test.
#pragma once

#include <map>

#include "../silverrail/check.h"
#include "core/engine.h"
#include "sample_settings.h"

namespace silverrail::core::test {

using namespace std::chrono_literals;

inline constexpr routing::ObjectId kObjectId{0x7f3a9c21e0b4d655};
inline constexpr routing::GroupId kGroup{17};

struct ManualClock : Clock {
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
    Span step{};  // offset of this machine's wall clock
};

struct ManualTimers : Timers {
    explicit ManualTimers(ManualClock& c) : clock(c) {}
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
    ManualClock& clock;
    std::map<std::pair<Time, Handle>, std::function<void()>> due;
    Handle last = 0;
};

// Keeps each attempt in flight until the test ends it.
struct ManualSender : AttemptSender {
    void start(AttemptRequest request, AttemptEvents& e) override {
        events = &e;
        in_flight.push_back(std::move(request));
        if (fails_connects) {
            const auto key = in_flight.back().key;
            in_flight.pop_back();
            e.ended(key, {.attempt_status = AttemptStatus::connect_failed});
        }
    }
    void cancel(const AttemptKey& key) override {
        std::erase_if(in_flight, [&](const AttemptRequest& request) { return request.key == key; });
        ++cancelled;
    }
    void discard_connections(const ServerId& server) override {
        discarded.push_back(server.address);
    }
    void end(std::size_t i, AttemptResult result) {
        const auto key = in_flight.at(i).key;
        in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(i));
        events->ended(key, std::move(result));
    }
    void end_all(AttemptStatus status) {
        while (!in_flight.empty())
            end(0, {.attempt_status = status});
    }
    std::optional<Span> first_byte(const AttemptKey& key) {
        return events->before_first_byte(key);
    }
    std::optional<Span> first_byte(std::size_t i) {
        return first_byte(in_flight.at(i).key);
    }
    std::vector<AttemptRequest> in_flight;
    std::vector<std::string> discarded;
    AttemptEvents* events = nullptr;
    bool fails_connects = false;
    int cancelled = 0;
};

struct RecordingSink : ResponseSink {
    void reply(ClientResponse r) override {
        ++count;
        response = std::move(r);
    }
    bool has(ClientResponse::Kind kind) const {
        return count == 1 && response.kind == kind;
    }
    int count = 0;
    ClientResponse response;
};

// An engine with two servers in its own zone, s-a and s-b, a parent and an origin.
struct Fixture {
    explicit Fixture(routing::Settings routing_settings = settings())
        : engine(std::move(routing_settings), 7, 20, clock, timers, sender, log) {
        list({listed("s-a", "127.0.0.1:1"), listed("s-b", "127.0.0.1:2"),
              listed("s-parent", "127.0.0.1:3", "parent"), listed("s-origin", "127.0.0.1:4", "origin")},
             true);
    }
    void list(std::vector<Server> servers, bool complete = false) {
        engine.apply(ServerChange{complete, std::move(servers)});
    }
    // Sets `id` to the request's id, or resets it if the request was answered at once.
    std::shared_ptr<RecordingSink> submit(const char* class_name = "pages", Span timeout = 2s,
                                          bool redirected = false) {
        ClientRequest request;
        request.class_name = class_name;
        request.object = "7f3a9c21e0b4d655";
        request.object_id = kObjectId;
        request.group = kGroup;
        request.deadline = clock.now() + timeout;
        request.write = request.class_name != "pages";
        if (request.class_name == "order")
            request.idempotency_key = "952b4cf81bd4b06d";
        request.redirected = redirected;
        auto reply = std::make_shared<RecordingSink>();
        id = engine.submit(std::move(request), reply);
        return reply;
    }
    void enable_response_cache() {
        engine.enable_response_cache(
            {.bytes = 1 << 20, .uplink = {.per_response_bytes_per_s = 1e6, .total_bytes_per_s = 1e6}});
        coverage().set_complete(clock.now());
        coverage().set_live(clock.now() - 1h);
    }
    // A purge of another group, which discovery tells `delay` after it was issued.
    void receive_unrelated_purge(Span delay = 200ms) {
        const std::int64_t issued_ms = clock.true_unix_ms() - delay / 1ms;
        engine.apply(PurgeNotice{std::nullopt, routing::GroupId{3}, issued_ms}, 60s);
    }
    cache::PurgeCoverage& coverage() {
        return *engine.purge_coverage();
    }
    // Ends the first attempt in flight with a response that the origin generated at `generated_ms`.
    void respond(std::int64_t generated_ms, const char* body = "bytes") {
        sender.end(0, {.attempt_status = AttemptStatus::success,
                       .body = body,
                       .tag = "tag",
                       .generated_ms = generated_ms});
    }
    // Ends the first attempt in flight with a cache hit.
    void respond_with_hit() {
        sender.end(
            0, {.attempt_status = AttemptStatus::success, .cache_status = CacheStatus::hit, .body = "bytes"});
    }
    ManualClock clock;
    ManualTimers timers{clock};
    ManualSender sender;
    Log log;
    Engine engine;
    std::optional<RequestId> id;
};

}  // namespace silverrail::core::test
