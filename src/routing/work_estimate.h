// How long answers take to send: the unit of work in budgets and capacities, in seconds at top pace.
#pragma once

#include <cstddef>
#include <vector>

#include "silverrail/routing/router.h"

namespace silverrail::routing {

// Moves a running mean towards a sample.
void update_mean(double& mean, double sample);

class WorkEstimator {
public:
    // `settings` must outlive it. Until sizes or hits tell more, a class's work is taken as its latency
    // objective.
    explicit WorkEstimator(const Settings& settings);

    void record_size(const Request& request);  // of any request that tells its size
    void record_cacheable_request(const Request& request);
    void record_hit(const Request& request, Span latency);  // of a request that does not tell its size

    // Seconds: mean of a class; of this request, by its size where that is told; mean over all cacheable
    // ones.
    double of_class(std::size_t class_index) const {
        return by_class_[class_index].work;
    }
    double of_request(const Request& request) const;
    double mean() const {
        return mean_;
    }

    // The time within which an answer to the request earns its full weight.
    Span latency_objective(const Request& request) const;
    // A latency in multiples of the request's objective; one below a millisecond counts as a millisecond.
    double relative_latency(const Request& request, Span latency) const;

private:
    struct ClassEstimate {
        double work = 0;
        double hits = 0;  // that the estimate rests on
    };
    bool knows_work(const Request& request) const {
        return request.size_kb > 0 && settings_.max_response_kb_per_s > 0;
    }

    const Settings& settings_;
    std::vector<ClassEstimate> by_class_;
    double mean_ = 0;
};

}  // namespace silverrail::routing
