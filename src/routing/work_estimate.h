// Estimates the sending time of responses, in seconds at the maximum rate. Budgets and capacities use it as
// the unit of work.
#pragma once

#include <cstddef>
#include <vector>

#include "silverrail/routing/router.h"

namespace silverrail::routing {

// Updates an exponentially weighted running mean with a sample.
void update_mean(double& mean, double sample);

class WorkEstimator {
public:
    // `settings` must outlive the object. Until sizes or hits are recorded, a class's work is estimated as
    // its latency objective.
    explicit WorkEstimator(const Settings& settings);

    void record_size(const Request& request);  // ignored if the size is unknown
    void record_cacheable_request(const Request& request);
    void record_hit(const Request& request, Span latency);  // for requests of unknown size

    // In seconds: the mean of a class; the work of a request, from its size if known; the mean over all
    // cacheable requests.
    double of_class(std::size_t class_index) const {
        return by_class_[class_index].work;
    }
    double of_request(const Request& request) const;
    double mean() const {
        return mean_;
    }

    // Time within which a response to the request earns its full weight.
    Span latency_objective(const Request& request) const;
    // Latency in multiples of the request's objective. An objective below 1 ms counts as 1 ms.
    double relative_latency(const Request& request, Span latency) const;

private:
    struct ClassEstimate {
        double work = 0;
        double hits = 0;  // number of hits behind the estimate
    };
    bool has_known_work(const Request& request) const {
        return request.size_kb > 0 && settings_.max_response_kb_per_s > 0;
    }

    const Settings& settings_;
    std::vector<ClassEstimate> by_class_;
    double mean_ = 0;
};

}  // namespace silverrail::routing
