#include "trace/model/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace silverrail::trace::model {

namespace {
constexpr double kMinNs = 1e4;
constexpr double kMaxNs = 1e12;
constexpr unsigned kBins = 1240;  // 1.5 % each
}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(
          boost::histogram::make_histogram_with(std::vector<std::uint64_t>{}, Axis{kBins, kMinNs, kMaxNs})) {}

void LatencyHistogram::add(std::int64_t duration_ns) {
    const auto value = static_cast<double>(std::max<std::int64_t>(0, duration_ns));
    histogram_(std::max(value, kMinNs));
    ++count_;
    sum_ns_ += value;
    max_ns_ = std::max(max_ns_, value);
}

double LatencyHistogram::quantile(double fraction) const {
    if (count_ == 0)
        return 0;
    const auto rank = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    for (auto&& bin : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
        seen += *bin;
        if (seen >= std::max<std::uint64_t>(1, rank))
            return std::min(bin.bin().upper(), max_ns_) / 1e6;
    }
    return max_ns_ / 1e6;
}

}  // namespace silverrail::trace::model
