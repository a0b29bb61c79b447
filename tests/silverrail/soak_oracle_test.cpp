// The soak's oracle: a pause of the soak's own process is no fault of a router.
#include <thread>

#include "check.h"
#include "lab/soak/oracle.h"

using namespace silverrail::lab::soak;

namespace {

constexpr std::size_t kRouter = 0;
constexpr std::size_t kServer = 1;
constexpr Millis kPause = 400ms;

// The violations of a request with 500 ms left whose attempt is told as much, read `late` after it came.
std::size_t violations_of_an_attempt_read_late(Millis late, bool lag_measured) {
    Oracle oracle{1, 2};
    oracle.late_by(0ms);
    oracle.written("50a4000000000001", Request{.router = kRouter, .path = "pages/1/0", .wait = 500ms});
    std::this_thread::sleep_for(late);
    if (lag_measured)
        oracle.late_by(0ms);
    oracle.attempt(kRouter, kServer, "50a4000000000001", Clock::now(), 500ms);
    return oracle.violations().size();
}

void a_pause_that_is_not_measured_yet_counts_as_slack() {
    CHECK(violations_of_an_attempt_read_late(kPause, false) == 0);
}

void a_late_attempt_without_a_pause_breaks_the_deadline() {
    CHECK(violations_of_an_attempt_read_late(kPause, true) == 1);
}

// The violations of a request of which two attempts ran, the second received `apart` after the first. Both
// ran late, as at a slow server.
std::size_t violations_of_two_runs(Idempotency effect, Millis apart) {
    Oracle oracle{1, 2};
    oracle.late_by(0ms);
    oracle.written("50a4000000000001",
                   Request{.router = kRouter, .effect = effect, .path = "order/1/0", .wait = 3000ms});
    const Moment first_byte = Clock::now();
    oracle.ran("50a4000000000001", first_byte);
    oracle.ran("50a4000000000001", first_byte + apart);
    return oracle.violations().size();
}

void a_repeat_is_judged_by_when_it_was_sent() {
    CHECK(violations_of_two_runs(Idempotency::keyed, terms::kRetryWindow - 100ms) == 0);
    CHECK(violations_of_two_runs(Idempotency::keyed, terms::kRetryWindow + 500ms) == 1);
    CHECK(violations_of_two_runs(Idempotency::keyed, -terms::kRetryWindow - 500ms) == 1);
    CHECK(violations_of_two_runs(Idempotency::none, 1ms) == 1);
}

}  // namespace

int main() {
    a_repeat_is_judged_by_when_it_was_sent();
    a_pause_that_is_not_measured_yet_counts_as_slack();
    a_late_attempt_without_a_pause_breaks_the_deadline();
    std::puts("soak oracle: every case holds");
}
