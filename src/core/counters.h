// The core's figures: plain numbers, printed on request and at exit. A field carries the name that it is
// printed under unless its comment says otherwise; docs/oncall.md explains each.
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
    std::uint64_t unfit = 0;  // failed at intake: not valid for its class, or its id is open already
    std::uint64_t sent = 0;   // attempts handed to the network
    std::uint64_t held_at_first_byte = 0;  // of those, suppressed
    std::uint64_t tightened = 0;           // a purge came between decision and first byte
    std::uint64_t cancelled = 0;
    std::uint64_t served = 0;
    std::uint64_t unchanged = 0;    // answered with "not modified"
    std::uint64_t own_fresh = 0;    // of both, answered from the response cache
    std::uint64_t own_stale = 0;    // the same past max_age, in place of a rejection
    std::uint64_t redirected = 0;   // printed as `referred`
    std::uint64_t not_carried = 0;  // rejected: a redirect can't carry what the attempt needs
    std::uint64_t refused = 0;      // rejected
    std::uint64_t failed = 0;
    std::uint64_t abandoned = 0;      // the client closed before its answer
    std::uint64_t past_deadline = 0;  // failed by the engine's own deadline timer
    std::uint64_t lists = 0;
    std::uint64_t purges = 0;
    std::uint64_t clock_steps = 0;   // of the wall clock, seen against the monotonic one
    std::uint64_t clock_doubts = 0;  // events that can't be as old as the wall clock says
    std::uint64_t open = 0;
    std::array<std::uint64_t, kSuppressionReasons> suppressed{};  // printed as `held_REASON`
    std::array<std::uint64_t, kViolations> violations{};          // printed as `violation_RULE`
    std::array<std::uint64_t, 10> attempts_by_status{};  // by AttemptStatus, printed as `ending_STATUS`
    std::uint64_t backend_calls = 0;                     // attempts written whole to a server
    // Computed when the figures are read.
    std::uint64_t inflight = 0;      // of `open`, those without their answer
    std::uint64_t hosts_listed = 0;  // servers that are listed and not gone
    std::uint64_t hosts_down = 0;    // of those, excluded or outliers now
    struct ByClass {
        std::string name;
        std::uint64_t success = 0;
        std::uint64_t busy = 0;
        std::uint64_t failure = 0;
    };
    std::vector<ByClass> classes;  // in the order of the settings, printed as `success_CLASS` and so on

    static const char* name_of(AttemptStatus attempt_status);
    std::uint64_t all_violations() const;
    std::string text() const;  // one "name value" a line
};

}  // namespace silverrail::core
