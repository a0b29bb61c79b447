// The phases of the program's lifecycle.
#include "lifecycle.h"

#include <vector>

#include "../silverrail/check.h"

using silverrail::Lifecycle;

namespace {

using Phase = Lifecycle::Phase;

void phases_only_go_forwards_and_each_change_is_reported_once() {
    Lifecycle lifecycle;
    std::vector<Phase> seen;
    lifecycle.on_change([&](Phase phase) { seen.push_back(phase); });
    CHECK(!lifecycle.ready());
    CHECK(lifecycle.enter(Phase::ready) && lifecycle.ready() && lifecycle.enter(Phase::draining));
    CHECK(!lifecycle.enter(Phase::ready) && !lifecycle.enter(Phase::draining) && !lifecycle.ready());
    CHECK((seen == std::vector{Phase::ready, Phase::draining}));
}

}  // namespace

int main() {
    phases_only_go_forwards_and_each_change_is_reported_once();
    std::puts("lifecycle: all cases passed");
}
