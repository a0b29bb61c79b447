// The soak's schedule: the same seed draws the same, in bounds, and cutting it down leaves the rest as it
// was.
#include <algorithm>

#include "check.h"
#include "lab/soak/plan.h"

using namespace silverrail::lab::soak;

namespace {

std::vector<std::string> texts(const PlanOptions& options) {
    std::vector<std::string> out;
    for (const Trouble& trouble : draw_plan(options))
        out.push_back(trouble.text());
    return out;
}

}  // namespace

int main() {
    std::set<TroubleKind> drawn;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        PlanOptions options;
        options.seed = seed;
        const auto whole = draw_plan(options);
        CHECK(texts(options) == texts(options) && whole.size() >= 60);
        for (const Trouble& t : whole) {
            drawn.insert(t.kind);
            CHECK(t.at >= Milliseconds{1'500} && t.at <= options.length - Milliseconds{4'000});
            CHECK(t.target < std::max(options.routers, options.servers));
        }
        // Some begin so close together that they overlap.
        const auto close = std::adjacent_find(
            whole.begin(), whole.end(),
            [](const Trouble& a, const Trouble& b) { return b.at - a.at < Milliseconds{250}; });
        CHECK(close != whole.end());
        const auto all = texts(options);
        options.only = {whole[3].place, whole[7].place};
        const auto some = texts(options);
        CHECK(some.size() == 2 && some[0] == all[3] && some[1] == all[7]);
        options.only.clear();
        options.without = {TroubleKind::router_kill};
        for (const Trouble& t : draw_plan(options))
            CHECK(t.kind != TroubleKind::router_kill);
    }
    CHECK(drawn.size() == kTroubleKinds);
    std::puts("soak plan: drawn from the seed alone");
}
