// What the program counts. Plain numbers, printed on request and at exit.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "core/guard.h"
#include "core/types.h"

namespace silverrail::core {

struct Counters {
    std::uint64_t taken = 0;
    std::uint64_t not_admitted = 0;
    std::uint64_t unfit = 0;  // failed: not a form that the class knows, or its id is open already
    std::uint64_t sent = 0;
    std::uint64_t held_at_first_byte = 0;  // not written: barred meanwhile
    std::uint64_t tightened = 0;           // a purge came between decision and first byte
    std::uint64_t cancelled = 0;
    std::uint64_t served = 0;
    std::uint64_t unchanged = 0;
    std::uint64_t own_fresh = 0;    // of those, answered from a copy of its own
    std::uint64_t own_stale = 0;    // and past its fresh time, in place of a refusal
    std::uint64_t redirected = 0;   // named to a client that goes there by itself
    std::uint64_t not_carried = 0;  // refused: the send needs more than a name
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t past_deadline = 0;  // answered by the core's own guard
    std::uint64_t lists = 0;
    std::uint64_t purges = 0;
    std::uint64_t clock_steps = 0;   // of the wall clock, seen against the steady one
    std::uint64_t clock_doubts = 0;  // news that can't be as old as the wall clock says
    std::uint64_t open = 0;
    std::array<std::uint64_t, kHeldReasons> held{};       // of held_at_first_byte, by reason
    std::array<std::uint64_t, kViolations> violations{};  // seen by the guard, by rule
    std::array<std::uint64_t, 10> endings{};              // by routing::AttemptStatus
    std::uint64_t backend_calls = 0;                      // attempts written whole to a server
    // Computed when asked.
    std::uint64_t inflight = 0;      // of `open`, those without their answer
    std::uint64_t hosts_listed = 0;  // servers that the list names and has not given up
    std::uint64_t hosts_down = 0;    // of those, the ones avoided now
    struct ByClass {
        std::string name;
        std::uint64_t success = 0;
        std::uint64_t busy = 0;
        std::uint64_t failure = 0;
    };
    std::vector<ByClass> classes;  // in the order of the settings

    static const char* name_of(AttemptStatus attempt_status);
    std::uint64_t all_violations() const;
    std::string text() const;  // one "name value" a line
};

}  // namespace silverrail::core
