#include "lab/soak/plan.h"

#include <algorithm>
#include <array>
#include <random>

#include "lab/faults/control.h"

namespace silverrail::lab::soak {

namespace {

constexpr Milliseconds kCalmStart{1'500};
constexpr Milliseconds kCalmEnd{4'000};
// How far apart troubles begin that are drawn to cross each other.
constexpr std::uint32_t kCrossingMs = 250;

constexpr std::array<std::string_view, kTroubleKinds> kNames{
    "router_restart", "router_kill",      "router_stop",       "router_reload",     "router_move",
    "call_failures",  "clock_step",       "server_hang",       "server_reset",      "server_refuse",
    "server_error",   "server_slow",      "server_spoil",      "server_close_idle", "server_drain",
    "server_restart", "discovery_down",   "discovery_silent",  "discovery_slow",    "purge_group",
    "clients_leave",  "clients_pipeline", "clients_in_pieces", "clients_unreadable"};

bool is_of_router(TroubleKind kind) {
    return kind <= TroubleKind::clock_step;
}

class Dice {
public:
    explicit Dice(std::uint64_t seed) : engine_(seed) {}
    std::uint32_t up_to(std::uint32_t most) {
        return static_cast<std::uint32_t>(engine_() % (most + 1ULL));
    }
    std::uint32_t between(std::uint32_t least, std::uint32_t most) {
        return least + up_to(most - least);
    }

private:
    std::mt19937_64 engine_;
};

// Level and length as each kind needs them.
void shape(Trouble& t, Dice& dice) {
    t.detail = dice.up_to(1'000);
    t.length = Milliseconds{dice.between(300, 3'000)};
    switch (t.kind) {
        case TroubleKind::router_stop:
            t.length = Milliseconds{dice.between(50, 600)};
            break;
        case TroubleKind::call_failures:
            t.detail %= static_cast<std::uint32_t>(CallFault::file_open);  // those of sockets
            t.level = dice.between(30, 600);
            break;
        case TroubleKind::clock_step: {
            constexpr std::array<std::uint32_t, 4> kStepsMs{1'000, 3'000, 30'000, 3'600'000};
            t.level = kStepsMs[dice.up_to(3)];
            t.length = Milliseconds{dice.between(1'000, 8'000)};
            break;
        }
        case TroubleKind::server_slow:
            t.level = dice.between(100, 900);
            break;
        case TroubleKind::discovery_down:
        case TroubleKind::discovery_silent:
        case TroubleKind::discovery_slow:
            t.length = Milliseconds{dice.between(500, 5'000)};
            break;
        case TroubleKind::clients_leave:
            t.level = dice.between(10, 60);
            break;
        default:
            break;
    }
}

}  // namespace

std::string_view name_of(TroubleKind kind) {
    return kNames[static_cast<std::size_t>(kind)];
}

std::string Trouble::text() const {
    std::string out = std::to_string(place) + " " + std::string{name_of(kind)} + " at " +
                      std::to_string(at.count()) + " ms for " + std::to_string(length.count()) +
                      " ms, target " + std::to_string(target) + ", detail " + std::to_string(detail) +
                      ", level " + std::to_string(level);
    if (kind == TroubleKind::call_failures)
        out += " (" + std::string{kCallFaultNames[detail]} + ")";
    return out;
}

std::vector<Trouble> draw_plan(const PlanOptions& options) {
    Dice dice{options.seed * 0x9e3779b97f4a7c15U + 7};
    const auto span = options.length - kCalmStart - kCalmEnd;
    std::vector<Trouble> all;
    if (span <= Milliseconds{})
        return all;
    const auto wanted =
        static_cast<std::size_t>(options.length.count()) * options.troubles_per_second / 1'000;
    while (all.size() < wanted) {
        // Two or three at once, at one router where they can be.
        const auto begin = kCalmStart + Milliseconds{dice.up_to(static_cast<std::uint32_t>(span.count()))};
        const auto router = dice.up_to(static_cast<std::uint32_t>(options.routers) - 1);
        const auto together = dice.between(1, 3);
        for (std::uint32_t i = 0; i < together; ++i) {
            Trouble t;
            t.kind = static_cast<TroubleKind>(dice.up_to(kTroubleKinds - 1));
            t.at = std::min(begin + Milliseconds{dice.up_to(kCrossingMs)}, options.length - kCalmEnd);
            t.target =
                is_of_router(t.kind) ? router : dice.up_to(static_cast<std::uint32_t>(options.servers) - 1);
            if (t.kind == TroubleKind::discovery_down || t.kind == TroubleKind::discovery_silent ||
                t.kind == TroubleKind::discovery_slow)
                t.target = router;
            shape(t, dice);
            t.place = all.size();
            all.push_back(t);
        }
    }
    std::erase_if(all, [&](const Trouble& t) {
        return options.without.contains(t.kind) || (!options.only.empty() && !options.only.contains(t.place));
    });
    std::stable_sort(all.begin(), all.end(), [](const Trouble& a, const Trouble& b) { return a.at < b.at; });
    return all;
}

}  // namespace silverrail::lab::soak
