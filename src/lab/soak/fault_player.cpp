#include "lab/soak/fault_player.h"

namespace silverrail::lab::soak {

namespace {

// A connection that the system has broken is seen up to this much later.
constexpr Millis kBrokenConnectionSeenAfter{1'000};

bool is_odd(std::uint32_t number) {
    return number % 2 == 1;
}

TerminationSignals termination_signals(std::uint32_t detail) {
    switch (detail % 3) {
        case 1:
            return TerminationSignals::term_and_hangup;
        case 2:
            return TerminationSignals::term_twice;
        default:
            return TerminationSignals::term;
    }
}

// The field of the habits that the fault changes.
int& habit_of(FaultKind kind, ClientHabits& habits) {
    switch (kind) {
        case FaultKind::clients_leave:
            return habits.leave;
        case FaultKind::clients_pipeline:
            return habits.pipeline;
        case FaultKind::clients_in_pieces:
            return habits.in_pieces;
        default:
            return habits.unreadable;
    }
}

// Its value while the fault lasts, of 100 requests.
int changed_habit(const PlannedFault& fault) {
    switch (fault.kind) {
        case FaultKind::clients_leave:
            return static_cast<int>(fault.level);
        case FaultKind::clients_in_pieces:
            return 40;
        default:
            return 30;
    }
}

}  // namespace

Task<> FaultPlayer::play(PlannedFault fault) {
    if (fault.kind <= FaultKind::clock_step)
        return play_router_fault(fault);
    if (fault.kind <= FaultKind::server_restart)
        return play_server_fault(fault);
    if (fault.kind <= FaultKind::discovery_slow)
        return play_discovery_fault(fault);
    if (fault.kind == FaultKind::purge_group)
        return purge(fault);
    return change_client_habit(fault);
}

Task<> FaultPlayer::play_router_fault(const PlannedFault& fault) {
    switch (fault.kind) {
        case FaultKind::router_restart:
            return lifecycle_.restart(fault.target, termination_signals(fault.detail));
        case FaultKind::router_kill:
            return lifecycle_.kill_and_restart(fault.target);
        case FaultKind::router_stop:
            return lifecycle_.suspend(fault.target, fault.length);
        case FaultKind::router_reload:
            return lifecycle_.reload(fault.target, is_odd(fault.detail));
        case FaultKind::router_move:
            return move_discovery(fault);
        case FaultKind::call_failures:
            return fail_calls(fault);
        default:
            return step_clock(fault);
    }
}

Task<> FaultPlayer::play_server_fault(const PlannedFault& fault) {
    switch (fault.kind) {
        case FaultKind::server_refuse:
            return server_faults_.refuse(fault);
        case FaultKind::server_drain:
            return server_faults_.drain(fault);
        case FaultKind::server_restart:
            return server_faults_.restart(fault);
        default:
            return server_faults_.misbehave(fault);
    }
}

Task<> FaultPlayer::move_discovery(PlannedFault fault) {
    lifecycle_.move_discovery(fault.target);
    co_return;
}

Task<> FaultPlayer::fail_calls(PlannedFault fault) {
    const auto call_fault = static_cast<CallFault>(fault.detail);
    const bool breaks_connections =
        call_fault == CallFault::read_timed_out || call_fault == CallFault::read_unreachable;
    FaultFile& faults = processes_.faults(fault.target);
    if (breaks_connections)
        clients_.availability(fault.target).breaks = true;
    faults.set_chance(call_fault, fault.level);
    co_await pause(fault.length);
    faults.set_chance(call_fault, 0);
    if (!breaks_connections)
        co_return;
    co_await pause(kBrokenConnectionSeenAfter);
    clients_.availability(fault.target).breaks = false;
}

Task<> FaultPlayer::step_clock(PlannedFault fault) {
    const auto step_ms = static_cast<std::int64_t>(fault.level);
    FaultFile& faults = processes_.faults(fault.target);
    faults.step_wall_clock(is_odd(fault.detail) ? -step_ms : step_ms);
    co_await pause(fault.length);
    faults.step_wall_clock(0);
}

Task<> FaultPlayer::play_discovery_fault(PlannedFault fault) {
    std::vector<std::size_t> routers{fault.target};
    if (is_odd(fault.detail))
        for (std::size_t router = 0; router < processes_.count(); ++router)
            routers.push_back(router);
    for (const std::size_t router : routers)
        set_discovery_fault(fault, router, true);
    co_await pause(fault.length);
    for (const std::size_t router : routers)
        set_discovery_fault(fault, router, false);
}

void FaultPlayer::set_discovery_fault(const PlannedFault& fault, std::size_t router, bool on) {
    if (fault.kind == FaultKind::discovery_down)
        discovery_.set_down(router, on);
    else if (fault.kind == FaultKind::discovery_silent)
        discovery_.set_silent(router, on);
    else
        discovery_.set_slow(router, on ? fault.length : Millis{0});
}

Task<> FaultPlayer::purge(PlannedFault fault) {
    discovery_.purge(fault.detail % Clients::kGroups);
    co_return;
}

Task<> FaultPlayer::change_client_habit(PlannedFault fault) {
    habit_of(fault.kind, clients_.habits) = changed_habit(fault);
    co_await pause(fault.length);
    ClientHabits usual;
    habit_of(fault.kind, clients_.habits) = habit_of(fault.kind, usual);
}

}  // namespace silverrail::lab::soak
