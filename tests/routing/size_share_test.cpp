// The largest requests of a class succeed about as often as the others, with and without spare capacity.
// Simulates one router with caches and a zone link of limited capacity, in steps of a millisecond.
#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include "router_fixture.h"

namespace silverrail::routing::testing {
namespace {

constexpr double kMaxRate = 1000;  // KB/s, of one transfer
constexpr double kMeanWork = 0.4;  // seconds at the maximum rate
constexpr double kMissShare = 0.3;
constexpr double kCacheLinks = 24;  // concurrent transfers at the maximum rate, over three caches
constexpr double kZoneLink = 8;
constexpr Span kStep = 1ms;
constexpr Span kDuration = 40s;

struct Case {
    const char* name;
    double load;       // offered load relative to the capacity of the caches' links and the zone's link
    bool knows_sizes;  // false: the settings give neither sizes nor link rates
    bool supports_cancellation;
    double min_relative_share;  // for the largest tenth and the fifth below it, relative to all
};

void PrintTo(const Case& c, std::ostream* out) {
    *out << c.name;
}

class Simulation {
public:
    explicit Simulation(const Case& c) : case_(c), test_router_(settings(c)) {}

    // Share of successful requests between two quantiles of size, from 0 (smallest) to 1 (largest).
    double success_share(double from, double to) const {
        std::vector<std::pair<double, bool>> all;
        for (const auto& [id, r] : requests_)
            all.emplace_back(r.work, r.succeeded);
        std::sort(all.begin(), all.end());
        const auto at = [&](double part) {
            return all.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(all.size()));
        };
        const auto succeeded = std::count_if(at(from), at(to), [](const auto& e) { return e.second; });
        return static_cast<double>(succeeded) / static_cast<double>(at(to) - at(from));
    }
    std::size_t size() const {
        return requests_.size();
    }

    void run() {
        // kMissShare of the requests also use the zone's link. The rate keeps both links at or below the
        // given load.
        const double zone_rate = case_.load * kZoneLink / (kMissShare * kMeanWork);
        const double cache_rate = case_.load * kCacheLinks / kMeanWork;
        const double rate = std::min(zone_rate, cache_rate);
        double next = 0;
        for (const Time end = test_router_.now + kDuration; test_router_.now < end;
             test_router_.advance(kStep)) {
            fire_timers();
            move_transfers();
            expire_requests();
            for (next += rate * seconds(kStep); next >= 1; next -= 1)
                request();
        }
    }

private:
    struct RequestState {
        double work = 0;
        Time deadline{};
        bool succeeded = false;
        bool completed = false;
    };
    struct Transfer {
        RequestId request{};
        std::uint32_t attempt = 0;
        Time sent_at{};
        std::string target{};
        bool fill = false;
        bool miss = false;     // requests a cached copy that does not exist: ends immediately
        double remaining = 0;  // seconds at the maximum rate
        Time timeout_at = Time::max();
    };

    static Settings settings(const Case& c) {
        Settings s = default_settings();
        s.cache_bypass_supported = false;
        s.cancellation_supported = c.supports_cancellation;
        s.server_weights = ServerWeights::nominal;
        if (c.knows_sizes) {
            s.max_response_kb_per_s = kMaxRate;
            s.zone_link_kb_per_s = kMaxRate * kZoneLink;
        }
        s.classes[0].latency_objective = 400ms;
        s.classes[0].objective_transfer_factor = 1.6;
        s.classes[0].client_timeout = 5s;
        return s;
    }
    static double seconds(Span s) {
        return std::chrono::duration<double>(s).count();
    }
    double draw() {
        return (static_cast<double>(random_() >> 11) + 0.5) * 0x1.0p-53;
    }

    void request() {
        // Log-normal with this mean, like the sizes of stored objects.
        const double normal = std::sqrt(-2 * std::log(draw())) * std::cos(6.283185307179586 * draw());
        const double work = kMeanWork * std::exp(normal - 0.5);
        const RequestId id{++ids_};
        requests_[id] = {.work = work, .deadline = test_router_.now + 5s};
        act(test_router_.handle(Request{.id = id,
                                        .class_index = 0,
                                        .object = ObjectId{1 + random_() % 400},
                                        .size_kb = case_.knows_sizes ? work * kMaxRate : 0,
                                        .deadline = requests_[id].deadline}));
    }
    void act(const std::vector<Action>& actions) {
        for (const Action& a : std::vector<Action>{actions})
            std::visit([this](const auto& action) { on(action); }, a);
    }
    void on(const Send& s) {
        const RequestState& r = requests_.at(s.request);
        Transfer t{.request = s.request, .attempt = attempts_[s.request]++, .sent_at = test_router_.now};
        t.target = s.target.address;
        // Depends only on the request, so that all its attempts find the same.
        const bool cached = std::fmod(static_cast<double>(s.request) * 0.618033988749895, 1.0) > kMissShare;
        t.fill = !cached;
        t.miss = !cached && (!s.fill || s.fill->source == s.target);
        t.remaining = r.work;
        if (s.timeout > Span{})
            t.timeout_at = test_router_.now + s.timeout;
        transfers_.push_back(t);
    }
    void on(const Cancel& c) {
        end_if([&](const Transfer& t) { return t.request == c.request; }, AttemptStatus::cancelled);
    }
    void on(const Reject& r) {
        requests_.at(r.request).completed = true;
    }
    void on(const Fail& f) {
        requests_.at(f.request).completed = true;
    }
    void on(const SetTimer& t) {
        timers_.emplace(test_router_.now + t.after, t.id);
    }

    void end(const Transfer& t, AttemptStatus attempt_status) {
        RequestState& r = requests_.at(t.request);
        const bool succeeded = attempt_status == AttemptStatus::success && !r.completed;
        if (succeeded)
            r.succeeded = r.completed = true;
        act(test_router_.handle(Outcome{.request = t.request,
                                        .attempt = t.attempt,
                                        .attempt_status = attempt_status,
                                        .duration = test_router_.now - t.sent_at,
                                        .request_completed = r.completed,
                                        .cache_status = attempt_status != AttemptStatus::success
                                                            ? CacheStatus::none
                                                        : t.fill ? CacheStatus::filled
                                                                 : CacheStatus::hit}));
    }
    template <class Test>
    void end_if(Test test, AttemptStatus attempt_status) {
        std::vector<Transfer> ended;
        std::erase_if(transfers_, [&](const Transfer& t) {
            if (!test(t))
                return false;
            ended.push_back(t);
            return true;
        });
        for (const Transfer& t : ended)
            end(t, attempt_status);
    }
    void fire_timers() {
        while (!timers_.empty() && timers_.begin()->first <= test_router_.now) {
            const TimerId id = timers_.begin()->second;
            timers_.erase(timers_.begin());
            act(test_router_.handle(Timer{id}));
        }
    }
    void move_transfers() {
        end_if([](const Transfer& t) { return t.miss; }, AttemptStatus::miss);
        end_if([&](const Transfer& t) { return t.timeout_at <= test_router_.now; }, AttemptStatus::timeout);
        std::map<std::string, double> at_cache;
        double fills = 0;
        for (const Transfer& t : transfers_)
            ++(t.fill ? fills : at_cache[t.target]);
        for (Transfer& t : transfers_) {
            const double rate = t.fill ? std::min(1.0, kZoneLink / fills)
                                       : std::min(1.0, kCacheLinks / 3 / at_cache[t.target]);
            t.remaining -= rate * seconds(kStep);
        }
        end_if([](const Transfer& t) { return t.remaining <= 0; }, AttemptStatus::success);
    }
    // Closes the clients of requests past their deadline and cancels their attempts.
    void expire_requests() {
        for (auto& [id, r] : requests_) {
            if (r.completed || test_router_.now < r.deadline)
                continue;
            r.completed = true;
            act(test_router_.handle(ClientClosed{id}));
            end_if([id = id](const Transfer& t) { return t.request == id; }, AttemptStatus::cancelled);
        }
    }

    const Case& case_;
    TestRouter test_router_;
    std::mt19937_64 random_{11};
    std::uint64_t ids_ = 0;
    std::map<RequestId, RequestState> requests_;
    std::map<RequestId, std::uint32_t> attempts_;
    std::vector<Transfer> transfers_;
    std::multimap<Time, TimerId> timers_;
};

class SizeFairness : public ::testing::TestWithParam<Case> {};

TEST_P(SizeFairness, LargestRequestsGetTheirShare) {
    Simulation simulation{GetParam()};
    simulation.run();
    ASSERT_GT(simulation.size(), 1000u);
    const double all = simulation.success_share(0, 1);
    const double largest = simulation.success_share(0.9, 1);
    const double next = simulation.success_share(0.7, 0.9);
    RecordProperty("all", std::to_string(all));
    RecordProperty("largest_tenth", std::to_string(largest));
    RecordProperty("next_fifth", std::to_string(next));
    std::printf("%-40s all %.3f, largest tenth %.3f, next fifth %.3f\n", GetParam().name, all, largest, next);
    // With spare capacity nearly all requests succeed. Without it a minimum must, or the shares are
    // meaningless.
    EXPECT_GT(all, GetParam().load < 1 ? 0.9 : 0.3);
    EXPECT_GE(largest, GetParam().min_relative_share * all);
    EXPECT_GE(next, GetParam().min_relative_share * all);
}

INSTANTIATE_TEST_SUITE_P(Loads, SizeFairness,
                         ::testing::Values(Case{"spare capacity", 0.5, true, true, 2.0 / 3},
                                           Case{"spare capacity, unknown sizes", 0.5, false, true, 2.0 / 3},
                                           Case{"spare capacity, no cancellation", 0.5, true, false, 2.0 / 3},
                                           Case{"overload", 1.5, true, true, 0.5},
                                           Case{"overload, unknown sizes", 1.5, false, true, 0.5},
                                           Case{"overload, unknown sizes, no cancellation", 1.5, false, false,
                                                0.5}));

}  // namespace
}  // namespace silverrail::routing::testing
