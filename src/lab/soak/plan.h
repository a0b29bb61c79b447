// The schedule of faults that one run of the soak plays. It is drawn from a seed alone, can be printed, and
// can be cut down to some of its faults, each named by its position in the whole schedule.
#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace silverrail::lab::soak {

using Milliseconds = std::chrono::milliseconds;

enum class FaultKind : std::uint8_t {
    // Of one router; `target` is its index.
    router_restart,  // SIGTERM, then a new process; a second SIGTERM and a SIGHUP may follow (`detail`)
    router_kill,     // SIGKILL, then a new process
    router_stop,     // SIGSTOP for `length`
    router_reload,   // SIGHUP; for a moment the file may be half written (`detail` odd)
    router_move,     // discovery at a new address, SIGHUP
    call_failures,   // system calls fail, of the kind `detail`, `level` of each 10,000
    clock_step,      // the wall clock is wrong by `level` ms (`detail` odd: behind)
    // Of one server.
    server_hang,        // answers nothing
    server_reset,       // resets connections under requests
    server_refuse,      // its process has ended: refuses connections
    server_error,       // 500, or 503 that never ran
    server_slow,        // answers `level` ms late
    server_spoil,       // answers that can't be read, broken off, or with a second one behind
    server_close_idle,  // closes each connection after its answer
    server_drain,       // is listed as draining, and goes
    server_restart,     // ends, comes back cold under the same id
    // Of discovery, for one router or all (`detail` odd).
    discovery_down,
    discovery_silent,
    discovery_slow,
    // Of everybody.
    purge_group,
    clients_leave,     // `level` of 100 requests are left early
    clients_pipeline,  // several requests at once on a connection
    clients_in_pieces,
    clients_unreadable,
    count_
};
constexpr std::size_t kFaultKinds = static_cast<std::size_t>(FaultKind::count_);
// As the command line and the printed schedule name it.
std::string_view name_of(FaultKind kind);

struct PlannedFault {
    FaultKind kind{};
    Milliseconds at{};  // from the beginning of the schedule
    Milliseconds length{};
    std::size_t target = 0;    // index of the router or server
    std::uint32_t detail = 0;  // drawn for each fault; its kind says what it means
    std::uint32_t level = 0;   // how strong; its kind says in what unit
    std::size_t position = 0;  // in the whole schedule

    // One line that says all of it.
    std::string text() const;
};

struct PlanOptions {
    std::uint64_t seed = 1;
    std::size_t routers = 10;
    std::size_t servers = 8;
    Milliseconds length{20'000};
    std::set<FaultKind> without{};  // kinds that are left out
    std::set<std::size_t> only{};   // positions that are kept; empty: all
    std::size_t faults_per_second = 3;
};

// The faults in the order of their beginnings. None begins in the first 1.5 s or the last 4 s; a run without
// room between these has none.
std::vector<PlannedFault> draw_plan(const PlanOptions& options);

}  // namespace silverrail::lab::soak
