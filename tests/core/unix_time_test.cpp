// The bounds of the current time always contain the true time, over random steps of the local clock.
#include "core/unix_time.h"

#include <random>

#include "../silverrail/check.h"

using namespace silverrail::core;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t kTrueOffsetMs = 1'764'576'000'000;

std::int64_t true_ms(Time now) {
    return kTrueOffsetMs + now.time_since_epoch() / 1ms;
}

// A clock that is correct at first, then steps at random by seconds or by an hour. Timestamps of other
// machines arrive in between, some of them old.
void the_bounds_hold_over_steps(std::uint64_t seed) {
    std::mt19937_64 random{seed};
    const auto draw = [&random](std::int64_t most) {
        return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(most + 1));
    };
    UnixTime unix_time;
    Time now{1000s};
    std::int64_t error_ms = 0;
    unix_time.read(now, true_ms(now));
    for (int i = 0; i < 400; ++i) {
        now += std::chrono::milliseconds{draw(400)};
        if (draw(9) == 0) {
            constexpr std::int64_t kSteps[] = {0,      1'000,   -1'000,    3'000,     -3'000,
                                               30'000, -30'000, 3'600'000, -3'600'000};
            error_ms = kSteps[draw(8)];
        }
        unix_time.read(now, true_ms(now) + error_ms);
        if (draw(2) == 0)
            unix_time.observe_timestamp(now, true_ms(now) - draw(5'000),
                                        draw(1) == 0 ? UnixTime::Trust::untrusted : UnixTime::Trust::trusted);
        const std::int64_t stamp = true_ms(now) - draw(20'000);
        const Span age = std::chrono::milliseconds{true_ms(now) - stamp};
        CHECK(unix_time.min_age(now, stamp) <= age);
        CHECK(unix_time.proven_age(now, stamp) <= age);
        CHECK(unix_time.latest_ms(now) >= true_ms(now));
    }
}

void no_age_exceeds_what_timestamps_prove() {
    for (const std::int64_t error_ms : {-3'600'000, -1'000, 0, 1'000, 3'600'000}) {
        UnixTime unix_time;
        Time now{1000s};
        unix_time.read(now, true_ms(now) + error_ms);
        CHECK(unix_time.proven_age(now, true_ms(now) - 700) == 0ms);
        unix_time.observe_timestamp(now, true_ms(now) - 200, UnixTime::Trust::trusted);
        CHECK(unix_time.proven_age(now, true_ms(now) - 700) == 500ms);
        now += 1s;
        CHECK(unix_time.proven_age(now, true_ms(now) - 700) == 500ms);
    }
}

void slewing_is_not_a_step() {
    UnixTime unix_time;
    Time now{1000s};
    std::int64_t slewed_ms = 0;
    for (int i = 0; i < 200; ++i) {
        unix_time.read(now, true_ms(now) + slewed_ms);
        now += 1s;
        slewed_ms += 1;
    }
    CHECK(unix_time.steps() == 0 && unix_time.latest_ms(now) >= true_ms(now) + slewed_ms - 1);
}

}  // namespace

int main() {
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
        the_bounds_hold_over_steps(seed);
    no_age_exceeds_what_timestamps_prove();
    slewing_is_not_a_step();
    std::puts("unix time: all cases passed");
}
