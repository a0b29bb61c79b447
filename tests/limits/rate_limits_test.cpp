// Rate limits: admission, retry times of rejected clients, and the bound of the table during a flood of keys.
#include <cstdio>
#include <limits>
#include <map>
#include <random>
#include <stdexcept>
#include <vector>

#include "../silverrail/check.h"
#include "limits/keyed_rate_limiter.h"

using namespace silverrail::limits;
using namespace std::chrono_literals;

namespace {

Time at(Span span) {
    return Time{1000s} + span;
}

void a_limit_admits_its_rate_and_its_burst() {
    struct Step {
        Span when;
        bool admitted;
        Span retry_after;
    };
    const struct {
        double rate;
        std::uint32_t burst;
        std::vector<Step> steps;
    } kCases[] = {
        {10,
         1,
         {{0ms, true, {}},
          {0ms, false, 100ms},
          {99ms, false, 1ms},
          {100ms, true, {}},
          {100ms, false, 100ms}}},
        {10,
         3,
         {{0ms, true, {}},
          {0ms, true, {}},
          {0ms, true, {}},
          {0ms, false, 100ms},
          {100ms, true, {}},
          {150ms, false, 50ms},
          {500ms, true, {}},
          {500ms, true, {}},
          {500ms, true, {}},
          {500ms, false, 100ms}}},
        // A long pause does not allow more than the burst.
        {1, 2, {{0s, true, {}}, {3600s, true, {}}, {3600s, true, {}}, {3600s, false, 1s}}},
    };
    for (const auto& c : kCases) {
        const Gcra limit{c.rate, c.burst};
        Time arrival_time = Time::min();
        for (const Step& s : c.steps) {
            const RateDecision decision = limit.request(arrival_time, at(s.when));
            CHECK(decision.admitted == s.admitted && decision.retry_after == s.retry_after);
        }
    }
}

void parameters_out_of_range_are_an_error() {
    for (const auto& [rate, burst] : {std::pair<double, std::uint32_t>{0, 1},
                                      {-1, 1},
                                      {2e6, 1},
                                      {0.0001, 1},
                                      {1, 0},
                                      {1, 2'000'000},
                                      {std::numeric_limits<double>::quiet_NaN(), 1}}) {
        bool rejected = false;
        try {
            Gcra{rate, burst};
        } catch (const std::invalid_argument&) {
            rejected = true;
        }
        CHECK(rejected);
    }
}

void no_window_exceeds_the_limit_and_retry_after_is_exact() {
    std::mt19937_64 random{3};
    for (int round = 0; round < 40; ++round) {
        const double rate = 1 + static_cast<double>(random() % 2000);
        const auto burst = static_cast<std::uint32_t>(1 + random() % 30);
        const Gcra limit{rate, burst};
        Time arrival_time = Time::min();
        Time now = at(0s);
        std::vector<Time> admitted;
        for (int i = 0; i < 1500; ++i) {
            now += Span{static_cast<Span::rep>(random() % static_cast<std::uint64_t>(2e9 / rate))} *
                   (random() % 3 == 0 ? 0 : 1);
            const RateDecision decision = limit.request(arrival_time, now);
            if (decision.admitted) {
                admitted.push_back(now);
                continue;
            }
            CHECK(decision.retry_after > Span{});
            Time early = arrival_time;
            CHECK(!limit.request(early, now + decision.retry_after - 1ns).admitted);
            Time in_time = arrival_time;
            CHECK(limit.request(in_time, now + decision.retry_after).admitted);
        }
        for (std::size_t from = 0; from < admitted.size(); from += 7)
            for (std::size_t to = from; to < admitted.size() && to < from + 200; ++to) {
                const double window = std::chrono::duration<double>(admitted[to] - admitted[from]).count();
                CHECK(static_cast<double>(to - from + 1) <= burst + window * rate + 1e-6);
            }
    }
}

void a_table_with_free_space_decides_like_an_unbounded_one() {
    std::mt19937_64 random{8};
    const Gcra limit{5, 4};
    KeyedRateLimiter limiter{limit, 500};
    std::map<std::uint64_t, Time> reference;
    Time now = at(0s);
    std::uint64_t rejected = 0;
    for (int i = 0; i < 100'000; ++i) {
        now += Span{static_cast<Span::rep>(random() % 4'000'000)};
        const std::uint64_t key = random() % 3 ? random() % 12 : random();
        auto known = reference.try_emplace(key, Time::min()).first;
        const RateDecision expected = limit.request(known->second, now);
        const RateDecision decision = limiter.request(key, now);
        CHECK(decision.admitted == expected.admitted && decision.retry_after == expected.retry_after);
        rejected += !decision.admitted;
    }
    CHECK(rejected > 1000 && limiter.rejected() == rejected && limiter.evicted_unexpired() == 0 &&
          limiter.keys() < 500);
}

void a_flood_of_new_keys_does_not_evict_clients_at_their_limit() {
    const Gcra limit{10, 5};
    KeyedRateLimiter limiter{limit, 1000};
    std::mt19937_64 random{1};
    Time now = at(0s);
    std::map<std::uint64_t, int> regular;
    for (int ms = 0; ms < 11'000; ++ms) {
        now += 1ms;
        // The regular clients are already at their limit when the flood begins.
        for (int i = 0; ms >= 1000 && i < 50; ++i)
            limiter.request(1'000'000 + random(), now);
        for (std::uint64_t key = 0; key < 20; ++key)
            if (ms % 20 == 0)
                regular[key] += limiter.request(key, now).admitted;  // 50 a second, five times the limit
        CHECK(limiter.keys() <= 1000);
    }
    CHECK(limiter.evicted_unexpired() > 400'000);
    // Each regular client was admitted at its rate plus its burst, and hardly more.
    for (const auto& [key, admitted] : regular)
        CHECK(admitted >= 110 && admitted <= 118);
    // A clock that steps back is treated as if it had stopped.
    const auto keys = limiter.keys();
    CHECK(!limiter.request(3, now - 1h).admitted && limiter.keys() <= keys);
}

}  // namespace

int main() {
    a_limit_admits_its_rate_and_its_burst();
    parameters_out_of_range_are_an_error();
    no_window_exceeds_the_limit_and_retry_after_is_exact();
    a_table_with_free_space_decides_like_an_unbounded_one();
    a_flood_of_new_keys_does_not_evict_clients_at_their_limit();
    std::puts("rate limits: all cases passed");
}
