#include "app/network_counters.h"

#include "app/part.h"
#include "app/resident_memory.h"

namespace silverrail::app {

std::string client_counters(const net::HttpServer& server) {
    const auto& counters = server.counters();
    const auto& listener = server.listener_counters();
    std::string out = counter_lines("clients", {{"violations", counters.violations()},
                                                {"closed_unanswered", counters.closed_unanswered},
                                                {"second_answers", counters.duplicate_responses},
                                                {"left_before_taken", counters.disconnected_before_handling},
                                                {"full_of_early_bytes", counters.read_ahead_full},
                                                {"accepted", listener.accepted},
                                                {"accept_aborted", listener.aborted},
                                                {"accept_pauses", listener.pauses}});
    for (std::size_t i = 0; i < net::kCloseReasons; ++i) {
        const auto reason = static_cast<net::CloseReason>(i);
        const std::string name = "closed_" + std::string{net::name_of(reason)};
        out += counter_lines("clients", {{name.c_str(), counters.closed[i]}});
    }
    return out;
}

std::string memory_counters(const limits::MemoryBudget& memory, const net::HttpServer& server) {
    std::string out = counter_lines("memory", {{"resident_bytes", resident_memory_bytes().value_or(0)},
                                               {"capacity_bytes", memory.capacity()},
                                               {"reserved_bytes", memory.in_use()},
                                               {"bodies_discarded", server.counters().bodies_discarded}});
    for (std::size_t i = 0; i < limits::kMemoryUses; ++i) {
        const auto use = static_cast<limits::MemoryUse>(i);
        const std::string name{limits::name_of(use)};
        out += counter_lines("memory", {{(name + "_bytes").c_str(), memory.in_use(use)},
                                        {(name + "_refusals").c_str(), memory.refusals(use)}});
    }
    return out;
}

std::string event_loop_counters(const net::HttpServer& server) {
    const auto& loop = server.event_loop();
    const auto longest_ms = std::chrono::floor<std::chrono::milliseconds>(loop.longest_pause()).count();
    return counter_lines(
        "loop", {{"pauses", loop.pauses()}, {"longest_pause_ms", static_cast<std::uint64_t>(longest_ms)}});
}

std::string discovery_counters(const net::DiscoveryWatch::Counters& counters) {
    return counter_lines("bulletin", {{"connects", counters.connects},
                                      {"unreadable", counters.unreadable},
                                      {"gaps", counters.gaps},
                                      {"slow", counters.slow}});
}

}  // namespace silverrail::app
