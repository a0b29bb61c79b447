#include "lab/synthetic_trace/plan.h"

namespace silverrail::lab {

namespace {

constexpr int kMaxRouters = 64;
constexpr double kMinRestartDurationS = 10;

}  // namespace

void validate(const SyntheticTracePlan& plan) {
    const bool positive = plan.duration_s > 0 && plan.requests_per_s > 0;
    if (!positive || plan.routers < 1 || plan.routers > kMaxRouters)
        throw InvalidPlan("seconds and rate above 0, 1 to 64 routers");
    if (plan.duration_s * plan.requests_per_s * plan.routers > SyntheticTracePlan::kMaxRequests)
        throw InvalidPlan("over 100 million calls");
    if (plan.restart && (plan.routers < 2 || plan.duration_s < kMinRestartDurationS))
        throw InvalidPlan("a restart needs two routers and 10 seconds");
}

}  // namespace silverrail::lab
