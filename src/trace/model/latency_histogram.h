// A histogram of durations with a bounded relative error.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <vector>

namespace silverrail::trace::model {

// Covers 10 µs to 1000 s in logarithmic bins; a quantile is exact to 1.5 %.
class LatencyHistogram {
public:
    LatencyHistogram();
    void add(std::int64_t duration_ns);
    std::uint64_t count() const {
        return count_;
    }
    // The duration in ms that this fraction of the values does not exceed; 0 if empty. Linear in the bins.
    double quantile(double fraction) const;
    double mean_ms() const {
        return count_ ? sum_ns_ / static_cast<double>(count_) / 1e6 : 0;
    }
    double max_ms() const {
        return max_ns_ / 1e6;
    }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram =
        decltype(boost::histogram::make_histogram_with(std::vector<std::uint64_t>{}, std::declval<Axis>()));
    Histogram histogram_;
    std::uint64_t count_ = 0;
    double sum_ns_ = 0;
    double max_ns_ = 0;
};

}  // namespace silverrail::trace::model
