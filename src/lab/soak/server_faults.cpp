#include "lab/soak/server_faults.h"

namespace silverrail::lab::soak {

namespace {

// A drain: listed as leaving for the fault's length and this, then as left, until its process ends.
constexpr Millis kMinDrain{1'000};
constexpr Millis kListedAsLeft{1'000};
constexpr Millis kDownAfterDrain{200};
// A restart: down for this and a part of it that the plan has drawn.
constexpr Millis kMinDown{200};
constexpr std::uint32_t kMoreDownMs = 300;

// Other faults of the same server may have set other fields meanwhile.
void set_misbehaviour(const PlannedFault& fault, Misbehaviour& misbehaviour) {
    switch (fault.kind) {
        case FaultKind::server_hang:
            misbehaviour.hang = 60;
            break;
        case FaultKind::server_reset:
            misbehaviour.reset = 30;
            break;
        case FaultKind::server_error:
            misbehaviour.error = 40;
            break;
        case FaultKind::server_spoil:
            misbehaviour.spoil = 25;
            break;
        case FaultKind::server_close_idle:
            misbehaviour.close_idle = 80;
            break;
        default:
            misbehaviour.slow = Millis{fault.level};
            break;
    }
}

}  // namespace

Task<> ServerFaults::misbehave(PlannedFault fault) {
    set_misbehaviour(fault, servers_.misbehaviour(fault.target));
    co_await pause(fault.length);
    servers_.misbehaviour(fault.target) = {};
}

Task<> ServerFaults::refuse(PlannedFault fault) {
    if (!reserve(fault.target))
        co_return;
    servers_.set_up(fault.target, false);
    co_await pause(fault.length);
    servers_.set_up(fault.target, true);
    away_.erase(fault.target);
}

Task<> ServerFaults::drain(PlannedFault fault) {
    if (!reserve(fault.target))
        co_return;
    discovery_.list(fault.target, Discovery::ServerState::leaving);
    co_await pause(fault.length + kMinDrain);
    discovery_.list(fault.target, Discovery::ServerState::left);
    co_await pause(kListedAsLeft);
    servers_.set_up(fault.target, false);
    co_await pause(kDownAfterDrain);
    bring_up_cold(fault.target);
}

Task<> ServerFaults::restart(PlannedFault fault) {
    if (!reserve(fault.target))
        co_return;
    servers_.set_up(fault.target, false);
    co_await pause(kMinDown + Millis{fault.detail % kMoreDownMs});
    bring_up_cold(fault.target);
}

void ServerFaults::bring_up_cold(std::size_t server) {
    servers_.set_up(server, true);
    if (servers_.is_cache_server(server))
        oracle_.server_started(server);
    discovery_.list_restarted(server);
    away_.erase(server);
}

// Whether the server may go away now, and if so counts it as away: at most a third of the caches, one hub and
// never the store are away at once.
bool ServerFaults::reserve(std::size_t server) {
    if (away_.contains(server) || servers_.is_store(server))
        return false;
    const bool is_cache = servers_.is_cache_server(server);
    std::size_t away_of_its_kind = 0;
    for (const std::size_t other : away_)
        if (servers_.is_cache_server(other) == is_cache)
            ++away_of_its_kind;
    const std::size_t max_away = is_cache ? (servers_.count() - Servers::kHubs) / 3 : 1;
    if (away_of_its_kind >= max_away)
        return false;
    away_.insert(server);
    return true;
}

}  // namespace silverrail::lab::soak
