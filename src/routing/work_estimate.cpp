#include "routing/work_estimate.h"

#include <algorithm>

#include "routing/durations.h"

namespace silverrail::routing {

namespace {

constexpr double kSampleWeight = 0.05;   // of a new sample in a running mean
constexpr double kInitialHits = 5;       // weight of the initial estimate, as a number of hits
constexpr double kMinObjective = 1e-3;   // seconds
constexpr double kMinHitWeight = 0.005;  // a short fault hardly changes the estimate

}  // namespace

void update_mean(double& mean, double sample) {
    mean += kSampleWeight * (sample - mean);
}

WorkEstimator::WorkEstimator(const Settings& settings) : settings_(settings) {
    for (const ClassSettings& request_class : settings.classes)
        by_class_.push_back({to_seconds(request_class.latency_objective), kInitialHits});
}

void WorkEstimator::record_size(const Request& request) {
    if (has_known_work(request))
        update_mean(by_class_[request.class_index].work, request.size_kb / settings_.max_response_kb_per_s);
}

void WorkEstimator::record_cacheable_request(const Request& request) {
    update_mean(mean_, of_request(request));
}

void WorkEstimator::record_hit(const Request& request, Span latency) {
    ClassEstimate& estimate = by_class_[request.class_index];
    estimate.hits += 1;
    const double weight = std::max(kMinHitWeight, 1 / estimate.hits);
    estimate.work += weight * (to_seconds(latency) - estimate.work);
}

double WorkEstimator::of_request(const Request& request) const {
    return has_known_work(request) ? request.size_kb / settings_.max_response_kb_per_s
                                   : of_class(request.class_index);
}

Span WorkEstimator::latency_objective(const Request& request) const {
    const ClassSettings& request_class = settings_.classes[request.class_index];
    return request_class.latency_objective +
           to_span(request_class.objective_transfer_factor * of_request(request));
}

double WorkEstimator::relative_latency(const Request& request, Span latency) const {
    return to_seconds(latency) / std::max(kMinObjective, to_seconds(latency_objective(request)));
}

}  // namespace silverrail::routing
