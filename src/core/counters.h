// The core's counters, printed on request and at exit. Each is printed under its field's name unless its
// comment says otherwise; docs/oncall.md describes them.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "core/guard.h"
#include "core/types.h"

namespace silverrail::core {

struct Counters {
    std::uint64_t taken = 0;  // requests received
    std::uint64_t not_admitted = 0;
    std::uint64_t unfit = 0;  // failed at intake: invalid for its class, or its trace id is already open
    std::uint64_t sent = 0;   // attempts handed to the network
    std::uint64_t held_at_first_byte = 0;  // of those, suppressed
    std::uint64_t tightened = 0;           // a purge between decision and first byte lowered max_age
    std::uint64_t cancelled = 0;
    std::uint64_t served = 0;
    std::uint64_t unchanged = 0;    // answered with "not modified"
    std::uint64_t own_fresh = 0;    // of served and unchanged: fresh, from the response cache
    std::uint64_t own_stale = 0;    // the same, but past max_age and in place of a rejection
    std::uint64_t redirected = 0;   // printed as `referred`
    std::uint64_t not_carried = 0;  // rejected: a redirect cannot carry the attempt's parameters
    std::uint64_t refused = 0;      // rejected, for any reason
    std::uint64_t failed = 0;
    std::uint64_t abandoned = 0;      // the client closed before it was answered
    std::uint64_t past_deadline = 0;  // failed by the engine's own deadline timer
    std::uint64_t lists = 0;
    std::uint64_t purges = 0;
    std::uint64_t purges_late = 0;   // of these, received later than they count as told
    std::uint64_t clock_steps = 0;   // of the wall clock, relative to the monotonic clock
    std::uint64_t clock_doubts = 0;  // discovery events older by the wall clock than is possible
    std::uint64_t open = 0;
    std::array<std::uint64_t, kSuppressionReasons> suppressed{};  // printed as `held_REASON`
    std::array<std::uint64_t, kViolations> violations{};          // printed as `violation_RULE`
    std::array<std::uint64_t, 10> attempts_by_status{};  // by AttemptStatus, printed as `ending_STATUS`
    std::uint64_t backend_calls = 0;                     // attempts written in full to a server
    // Computed when the counters are read.
    std::uint64_t own_withheld =
        0;  // lookups in the response cache without an answer, as purges may be missing
    std::uint64_t purges_unconfirmed_ms = 0;  // since the time until which all purges have been received
    std::uint64_t inflight = 0;               // of `open`, those not yet answered
    std::uint64_t hosts_listed = 0;           // servers that are listed and not gone
    std::uint64_t hosts_down = 0;             // of those, currently excluded or outliers
    struct ByClass {
        std::string name;
        std::uint64_t success = 0;
        std::uint64_t busy = 0;
        std::uint64_t failure = 0;
    };
    std::vector<ByClass> classes;  // in the order of the settings; printed as `success_CLASS` etc.

    static const char* name_of(AttemptStatus attempt_status);
    std::uint64_t all_violations() const;
    std::string text() const;  // one line "name value" for each counter
};

}  // namespace silverrail::core
