// Membership in a simulated fleet: the same seed gives the same run, every scenario settles within its time
// limit with 12 and with 120 members, and the load per member does not grow with the fleet.
#include "lab/membership_simulation.h"

#include <cstdio>

#include "../silverrail/check.h"

using namespace silverrail;
using Scenario = lab::MembershipScenario;

namespace {

std::vector<lab::MembershipSimulationRow> run(std::size_t members, std::uint64_t seed) {
    lab::MembershipSimulationOptions options;
    options.members = members;
    options.seed = seed;
    return lab::simulate_membership(options);
}

const lab::MembershipSimulationRow& row(const std::vector<lab::MembershipSimulationRow>& rows,
                                        Scenario scenario) {
    for (const auto& r : rows)
        if (r.scenario == scenario)
            return r;
    CHECK(false);
    return rows.front();
}

void the_same_seed_gives_the_same_run() {
    const auto a = run(12, 5), b = run(12, 5), c = run(12, 6);
    CHECK(a.size() == lab::all_membership_scenarios().size() && b.size() == a.size());
    bool differs = false;
    for (std::size_t i = 0; i < a.size(); ++i) {
        CHECK(a[i].settled_ms == b[i].settled_ms && a[i].suspected_ms == b[i].suspected_ms &&
              a[i].messages_per_s == b[i].messages_per_s && a[i].bytes_per_s == b[i].bytes_per_s);
        differs |= a[i].bytes_per_s != c[i].bytes_per_s;
    }
    CHECK(differs);
}

void every_scenario_settles_in_time_and_the_load_does_not_grow_with_the_fleet() {
    const auto few = run(12, 1), many = run(120, 1);
    // Limits in ms after the fault, with a probe interval of 1 s. A crash takes the next probes to detect,
    // the minimum suspicion timeout (4 s with 10 members, 8.4 s with 120), and the time to spread the result.
    const struct {
        Scenario scenario;
        std::int64_t few_ms, many_ms;
    } kBounds[] = {{Scenario::join, 5'000, 15'000},    {Scenario::calm, 0, 0},
                   {Scenario::crash, 15'000, 20'000},  {Scenario::stall, 6'000, 10'000},
                   {Scenario::loss, 10'000, 15'000},   {Scenario::partition, 15'000, 40'000},
                   {Scenario::restart, 10'000, 30'000}};
    for (const auto& bound : kBounds) {
        const auto &f = row(few, bound.scenario), &m = row(many, bound.scenario);
        std::printf("%s: settled after %lld and %lld ms\n", lab::name_of(bound.scenario),
                    static_cast<long long>(f.settled_ms), static_cast<long long>(m.settled_ms));
        CHECK(f.settled_ms >= 0 && f.settled_ms <= bound.few_ms);
        CHECK(m.settled_ms >= 0 && m.settled_ms <= bound.many_ms);
    }
    for (const auto scenario :
         {Scenario::join, Scenario::calm, Scenario::crash, Scenario::stall, Scenario::loss})
        CHECK(row(few, scenario).false_deaths == 0 && row(many, scenario).false_deaths == 0);
    // With SWIM the messages per member and second do not depend on the size of the fleet.
    CHECK(row(many, Scenario::crash).messages_per_s < 2 * row(few, Scenario::crash).messages_per_s);
    CHECK(row(few, Scenario::crash).suspected_ms >= 0 && row(many, Scenario::crash).suspected_ms >= 0);
}

}  // namespace

int main() {
    the_same_seed_gives_the_same_run();
    every_scenario_settles_in_time_and_the_load_does_not_grow_with_the_fleet();
    std::puts(
        "membership simulation: reproducible, all scenarios settle in time, load per member is constant");
}
