// The simulated fleet: the same seed gives the same run, every scenario settles within its bound at 12 and at
// 120 members, and the load of a member at rest does not grow with the fleet.
#include "lab/fleet_sim.h"

#include <cstdio>

#include "../silverrail/check.h"

using namespace silverrail;
using lab::Fault;

namespace {

std::vector<lab::FleetSimRow> run(std::size_t members, std::uint64_t seed) {
    lab::FleetSimOptions o;
    o.members = members;
    o.seed = seed;
    return lab::simulate_fleet(o);
}

const lab::FleetSimRow& row(const std::vector<lab::FleetSimRow>& rows, Fault fault) {
    for (const auto& r : rows)
        if (r.fault == fault)
            return r;
    CHECK(false);
    return rows.front();
}

void check_same_seed() {
    const auto a = run(12, 5), b = run(12, 5), c = run(12, 6);
    CHECK(a.size() == lab::all_faults().size() && b.size() == a.size());
    bool differs = false;
    for (std::size_t i = 0; i < a.size(); ++i) {
        CHECK(a[i].settled_ms == b[i].settled_ms && a[i].suspected_ms == b[i].suspected_ms &&
              a[i].messages_per_s == b[i].messages_per_s && a[i].bytes_per_s == b[i].bytes_per_s);
        differs |= a[i].bytes_per_s != c[i].bytes_per_s;
    }
    CHECK(differs);
}

void check_bounds() {
    const auto few = run(12, 1), many = run(120, 1);
    // From the fault, in ms, with probes each second: a crash is found by the next probes and waits for the
    // suspicion's floor (4 s at 10 members, 8.4 s at 120) and its spreading.
    const struct {
        Fault fault;
        std::int64_t few_ms, many_ms;
    } kMost[] = {{Fault::join, 5'000, 15'000},    {Fault::calm, 0, 0},
                 {Fault::crash, 15'000, 20'000},  {Fault::stall, 6'000, 10'000},
                 {Fault::loss, 10'000, 15'000},   {Fault::partition, 15'000, 40'000},
                 {Fault::restart, 10'000, 30'000}};
    for (const auto& most : kMost) {
        const auto &f = row(few, most.fault), &m = row(many, most.fault);
        std::printf("%s: settled after %lld and %lld ms\n", lab::name_of(most.fault),
                    static_cast<long long>(f.settled_ms), static_cast<long long>(m.settled_ms));
        CHECK(f.settled_ms >= 0 && f.settled_ms <= most.few_ms);
        CHECK(m.settled_ms >= 0 && m.settled_ms <= most.many_ms);
    }
    for (const auto fault : {Fault::join, Fault::calm, Fault::crash, Fault::stall, Fault::loss})
        CHECK(row(few, fault).false_deaths == 0 && row(many, fault).false_deaths == 0);
    // SWIM's property: ten times the fleet, the same messages a member a second.
    CHECK(row(many, Fault::crash).messages_per_s < 2 * row(few, Fault::crash).messages_per_s);
    CHECK(row(few, Fault::crash).suspected_ms >= 0 && row(many, Fault::crash).suspected_ms >= 0);
}

}  // namespace

int main() {
    check_same_seed();
    check_bounds();
    std::puts("fleet sim: the same run from the same seed, every scenario settled, load flat");
}
