// The soak's schedule: the same seed draws the same, in bounds, and cutting it down leaves the rest as it
// was.
#include <algorithm>

#include "check.h"
#include "lab/soak/plan.h"

using namespace silverrail::lab::soak;

namespace {

std::vector<std::string> texts(const PlanOptions& options) {
    std::vector<std::string> lines;
    for (const PlannedFault& fault : draw_plan(options))
        lines.push_back(fault.text());
    return lines;
}

}  // namespace

int main() {
    std::set<FaultKind> drawn;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        PlanOptions options;
        options.seed = seed;
        const auto whole = draw_plan(options);
        CHECK(texts(options) == texts(options) && whole.size() >= 60);
        for (const PlannedFault& fault : whole) {
            drawn.insert(fault.kind);
            CHECK(fault.at >= Milliseconds{1'500} && fault.at <= options.length - Milliseconds{4'000});
            CHECK(fault.target < std::max(options.routers, options.servers));
        }
        // Some begin so close together that they overlap.
        const auto close = std::adjacent_find(
            whole.begin(), whole.end(),
            [](const PlannedFault& a, const PlannedFault& b) { return b.at - a.at < Milliseconds{250}; });
        CHECK(close != whole.end());
        const auto all = texts(options);
        options.only = {whole[3].position, whole[7].position};
        const auto some = texts(options);
        CHECK(some.size() == 2 && some[0] == all[3] && some[1] == all[7]);
        options.only.clear();
        options.without = {FaultKind::router_kill};
        for (const PlannedFault& fault : draw_plan(options))
            CHECK(fault.kind != FaultKind::router_kill);
    }
    CHECK(drawn.size() == kFaultKinds);
    std::puts("soak plan: drawn from the seed alone");
}
