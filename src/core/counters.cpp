#include "core/counters.h"

#include <numeric>

namespace silverrail::core {

namespace {
// Printed names, in the order of AttemptStatus.
constexpr const char* kStatusNames[] = {"good",  "error",     "full",     "late", "no_connection",
                                        "reset", "cancelled", "not_sent", "miss", "unseen"};
}  // namespace

const char* Counters::name_of(AttemptStatus attempt_status) {
    return kStatusNames[static_cast<std::size_t>(attempt_status)];
}

std::uint64_t Counters::all_violations() const {
    return std::accumulate(violations.begin(), violations.end(), std::uint64_t{0});
}

std::string Counters::text() const {
    std::string out;
    const auto put = [&out](const char* name, std::uint64_t value) {
        out += name;
        out += ' ' + std::to_string(value) + '\n';
    };
    put("taken", taken);
    put("not_admitted", not_admitted);
    put("unfit", unfit);
    put("open", open);
    put("sent", sent);
    put("held_at_first_byte", held_at_first_byte);
    put("tightened", tightened);
    put("cancelled", cancelled);
    put("served", served);
    put("unchanged", unchanged);
    put("own_fresh", own_fresh);
    put("own_stale", own_stale);
    put("referred", redirected);
    put("not_carried", not_carried);
    put("refused", refused);
    put("failed", failed);
    put("abandoned", abandoned);
    put("past_deadline", past_deadline);
    put("backend_calls", backend_calls);
    put("inflight", inflight);
    put("hosts_listed", hosts_listed);
    put("hosts_down", hosts_down);
    for (const ByClass& by_class : classes) {
        put(("success_" + by_class.name).c_str(), by_class.success);
        put(("busy_" + by_class.name).c_str(), by_class.busy);
        put(("failure_" + by_class.name).c_str(), by_class.failure);
    }
    put("lists", lists);
    put("purges", purges);
    put("clock_steps", clock_steps);
    put("clock_doubts", clock_doubts);
    put("violations", all_violations());
    for (std::size_t i = 0; i < violations.size(); ++i)
        put(("violation_" + std::string{core::name_of(static_cast<Violation>(i))}).c_str(), violations[i]);
    for (std::size_t i = 0; i < suppressed.size(); ++i)
        put(("held_" + std::string{core::name_of(static_cast<SuppressionReason>(i))}).c_str(), suppressed[i]);
    for (std::size_t i = 0; i < attempts_by_status.size(); ++i)
        put((std::string{"ending_"} + kStatusNames[i]).c_str(), attempts_by_status[i]);
    put("own_withheld", own_withheld);
    put("purges_late", purges_late);
    put("purges_unconfirmed_ms", purges_unconfirmed_ms);
    return out;
}

}  // namespace silverrail::core
