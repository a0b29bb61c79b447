#include "lab/soak/plan.h"

#include <algorithm>
#include <array>
#include <random>

#include "lab/faults/control.h"

namespace silverrail::lab::soak {

namespace {

// Without new faults.
constexpr Milliseconds kCalmStart{1'500};
constexpr Milliseconds kCalmEnd{4'000};
// Faults that are drawn together begin at most so far apart, so that they overlap.
constexpr std::uint32_t kMaxOffsetMs = 250;

constexpr std::array<std::string_view, kFaultKinds> kNames{
    "router_restart", "router_kill",      "router_stop",       "router_reload",     "router_move",
    "call_failures",  "clock_step",       "server_hang",       "server_reset",      "server_refuse",
    "server_error",   "server_slow",      "server_spoil",      "server_close_idle", "server_drain",
    "server_restart", "discovery_down",   "discovery_silent",  "discovery_slow",    "purge_group",
    "clients_leave",  "clients_pipeline", "clients_in_pieces", "clients_unreadable"};

bool targets_router(FaultKind kind) {
    return kind <= FaultKind::clock_step || kind == FaultKind::discovery_down ||
           kind == FaultKind::discovery_silent || kind == FaultKind::discovery_slow;
}

class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
    // Both bounds included.
    std::uint32_t up_to(std::uint32_t max) {
        return static_cast<std::uint32_t>(engine_() % (max + 1ULL));
    }
    std::uint32_t between(std::uint32_t min, std::uint32_t max) {
        return min + up_to(max - min);
    }

private:
    std::mt19937_64 engine_;
};

// Detail, level and length, as the kind needs them.
void draw_details(PlannedFault& fault, RandomSource& random) {
    fault.detail = random.up_to(1'000);
    fault.length = Milliseconds{random.between(300, 3'000)};
    switch (fault.kind) {
        case FaultKind::router_stop:
            fault.length = Milliseconds{random.between(50, 600)};
            break;
        case FaultKind::call_failures:
            fault.detail %= static_cast<std::uint32_t>(CallFault::file_open);  // those of sockets
            fault.level = random.between(30, 600);
            break;
        case FaultKind::clock_step: {
            constexpr std::array<std::uint32_t, 4> kStepsMs{1'000, 3'000, 30'000, 3'600'000};
            fault.level = kStepsMs[random.up_to(3)];
            fault.length = Milliseconds{random.between(1'000, 8'000)};
            break;
        }
        case FaultKind::server_slow:
            fault.level = random.between(100, 900);
            break;
        case FaultKind::discovery_down:
        case FaultKind::discovery_silent:
        case FaultKind::discovery_slow:
            fault.length = Milliseconds{random.between(500, 5'000)};
            break;
        case FaultKind::clients_leave:
            fault.level = random.between(10, 60);
            break;
        default:
            break;
    }
}

// One to three faults at about one time, at one router where they are of routers.
void draw_group(const PlanOptions& options, RandomSource& random, std::vector<PlannedFault>& faults) {
    const auto span = options.length - kCalmStart - kCalmEnd;
    const auto begin = kCalmStart + Milliseconds{random.up_to(static_cast<std::uint32_t>(span.count()))};
    const auto router = random.up_to(static_cast<std::uint32_t>(options.routers) - 1);
    const auto count = random.between(1, 3);
    for (std::uint32_t i = 0; i < count; ++i) {
        PlannedFault fault;
        fault.kind = static_cast<FaultKind>(random.up_to(kFaultKinds - 1));
        fault.at = std::min(begin + Milliseconds{random.up_to(kMaxOffsetMs)}, options.length - kCalmEnd);
        fault.target = router;
        // Drawn for faults of discovery too, and not used: what follows in the schedule depends on it.
        if (fault.kind > FaultKind::clock_step) {
            const auto server = random.up_to(static_cast<std::uint32_t>(options.servers) - 1);
            if (!targets_router(fault.kind))
                fault.target = server;
        }
        draw_details(fault, random);
        fault.position = faults.size();
        faults.push_back(fault);
    }
}

}  // namespace

std::string_view name_of(FaultKind kind) {
    return kNames[static_cast<std::size_t>(kind)];
}

std::string PlannedFault::text() const {
    std::string line = std::to_string(position) + " " + std::string{name_of(kind)} + " at " +
                       std::to_string(at.count()) + " ms for " + std::to_string(length.count()) +
                       " ms, target " + std::to_string(target) + ", detail " + std::to_string(detail) +
                       ", level " + std::to_string(level);
    if (kind == FaultKind::call_failures)
        line += " (" + std::string{kCallFaultNames[detail]} + ")";
    return line;
}

std::vector<PlannedFault> draw_plan(const PlanOptions& options) {
    RandomSource random{options.seed * 0x9e3779b97f4a7c15U + 7};
    std::vector<PlannedFault> faults;
    if (options.length <= kCalmStart + kCalmEnd)
        return faults;
    const auto wanted = static_cast<std::size_t>(options.length.count()) * options.faults_per_second / 1'000;
    while (faults.size() < wanted)
        draw_group(options, random, faults);
    std::erase_if(faults, [&](const PlannedFault& fault) {
        const bool kept = options.only.empty() || options.only.contains(fault.position);
        return options.without.contains(fault.kind) || !kept;
    });
    std::stable_sort(faults.begin(), faults.end(),
                     [](const PlannedFault& a, const PlannedFault& b) { return a.at < b.at; });
    return faults;
}

}  // namespace silverrail::lab::soak
