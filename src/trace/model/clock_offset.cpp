#include "trace/model/clock_offset.h"

#include <algorithm>
#include <cmath>

namespace silverrail::trace::model {

namespace {

struct Point {
    double x;  // ns from the middle of the observed time
    double y;  // ns to add
};

struct Line {
    double offset = 0;
    double slope = 0;
    double offset_error = 0;  // standard errors
    double slope_error = 0;

    double residual(const Point& p) const {
        return p.y - offset - slope * p.x;
    }
};

constexpr int kMaxFitRounds = 8;
constexpr double kMinOutlierBoundNs = 1e6;
constexpr double kOutlierDeviations = 3.5;
// The standard deviation of a normal distribution in median absolute deviations.
constexpr double kDeviationsPerMedian = 1.4826;

double median(std::vector<double> values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

// Least squares.
Line fit_line(const std::vector<Point>& points, bool with_slope) {
    const auto n = static_cast<double>(points.size());
    double mean_x = 0;
    double mean_y = 0;
    for (const Point& p : points) {
        mean_x += p.x / n;
        mean_y += p.y / n;
    }
    double sxx = 0;
    double sxy = 0;
    for (const Point& p : points) {
        sxx += (p.x - mean_x) * (p.x - mean_x);
        sxy += (p.x - mean_x) * (p.y - mean_y);
    }
    const bool sloped = with_slope && sxx > 0;
    Line line;
    line.slope = sloped ? sxy / sxx : 0;
    line.offset = mean_y - line.slope * mean_x;
    double squares = 0;
    for (const Point& p : points)
        squares += line.residual(p) * line.residual(p);
    const double variance = squares / std::max(1.0, n - (with_slope ? 2 : 1));
    line.offset_error = std::sqrt(variance * (1 / n + (sloped ? mean_x * mean_x / sxx : 0)));
    line.slope_error = sloped ? std::sqrt(variance / sxx) : 0;
    return line;
}

// Fits a line and discards outliers, until no more are found. Starts from the median: drift changes little
// over a trace, a late purge differs by much.
Line fit_without_outliers(std::vector<Point>& points, bool with_slope) {
    std::vector<double> ys;
    ys.reserve(points.size());
    for (const Point& p : points)
        ys.push_back(p.y);
    Line line{median(std::move(ys)), 0, 0, 0};
    for (int round = 0; round < kMaxFitRounds; ++round) {
        std::vector<double> deviations;
        deviations.reserve(points.size());
        for (const Point& p : points)
            deviations.push_back(std::abs(line.residual(p)));
        const double bound = std::max(
            kMinOutlierBoundNs, kOutlierDeviations * kDeviationsPerMedian * median(std::move(deviations)));
        const std::size_t before = points.size();
        std::erase_if(points, [&](const Point& p) { return std::abs(line.residual(p)) > bound; });
        line = fit_line(points, with_slope);
        if (points.size() == before && round > 1)
            break;
    }
    return line;
}

}  // namespace

struct ClockOffsetEstimator::SharedEvents {
    std::vector<std::int64_t> times;     // by the router's clock
    std::vector<double> corrections_ns;  // to the reference's clock
};

std::string InsufficientOverlap::message() const {
    if (!observed)
        return "it tells of no purge and of no copy's age";
    return std::to_string(shared_purges) + " purges and " + std::to_string(shared_copy_buckets) +
           " tens of seconds of copies are shared; " + std::to_string(ClockOffsetEstimator::kMinShared) +
           " of either that agree are needed";
}

void ClockOffsetEstimator::observe_purge(std::uint32_t router_index, std::uint64_t key,
                                         std::int64_t unix_ns) {
    // Spread evenly, whatever the distribution of the caller's keys.
    key = (key ^ key >> 31) * 0x9e3779b97f4a7c15U;
    if (key > max_key_)
        return;
    auto& purges = routers_[router_index].purges;
    purges.try_emplace(key, unix_ns);  // repeated after a reconnect: the first time counts
    if (purges.size() > kMaxPurgesPerRouter)
        discard_keys_above(max_key_ / 2);
}

void ClockOffsetEstimator::discard_keys_above(std::uint64_t max_key) {
    max_key_ = max_key;
    for (auto& [router_index, observations] : routers_)
        std::erase_if(observations.purges, [max_key](const auto& purge) { return purge.first > max_key; });
}

void ClockOffsetEstimator::observe_copy(std::uint32_t router_index, std::int64_t seen_unix_ns,
                                        std::int64_t generated_unix_ns) {
    auto& copies = routers_[router_index].copies;
    const std::int64_t number = seen_unix_ns / kBucketNs;
    if (copies.size() >= kMaxBuckets && !copies.contains(number))
        return;
    Observations::Bucket& bucket = copies[number];
    const std::int64_t delay = seen_unix_ns - generated_unix_ns;
    if (bucket.count++ == 0 || delay < bucket.min_delay) {
        bucket.min_delay = delay;
        bucket.at = seen_unix_ns;
    }
}

std::optional<std::uint32_t> ClockOffsetEstimator::best_reference() const {
    std::optional<std::uint32_t> best;
    std::size_t most = 0;
    for (const auto& [router_index, router] : routers_) {
        std::size_t shared = 0;
        for (const auto& [other_index, other] : routers_)
            if (other_index != router_index)
                shared += shared_purges(router, other).times.size();
        if (!best || shared > most) {
            best = router_index;
            most = shared;
        }
    }
    return best;
}

ClockOffsetEstimator::SharedEvents ClockOffsetEstimator::shared_purges(const Observations& router,
                                                                       const Observations& reference) {
    SharedEvents shared;
    for (const auto& [key, at] : router.purges) {
        const auto there = reference.purges.find(key);
        if (there == reference.purges.end())
            continue;
        shared.times.push_back(at);
        shared.corrections_ns.push_back(static_cast<double>(there->second - at));
    }
    return shared;
}

ClockOffsetEstimator::SharedEvents ClockOffsetEstimator::shared_copies(const Observations& router,
                                                                       const Observations& reference) {
    SharedEvents shared;
    for (const auto& [number, bucket] : router.copies) {
        const auto there = reference.copies.find(number);
        if (there == reference.copies.end() || bucket.count < kMinCopiesPerBucket ||
            there->second.count < kMinCopiesPerBucket)
            continue;
        shared.times.push_back(bucket.at);
        shared.corrections_ns.push_back(static_cast<double>(there->second.min_delay - bucket.min_delay));
    }
    return shared;
}

// Empty if too few events agree.
std::optional<ClockOffsetEstimate> ClockOffsetEstimator::fit(const SharedEvents& shared) {
    const std::size_t count = shared.times.size();
    if (count < kMinShared)
        return std::nullopt;
    ClockOffsetEstimate estimate;
    const auto [first, last] = std::minmax_element(shared.times.begin(), shared.times.end());
    estimate.at_unix_ns = *first + (*last - *first) / 2;
    const auto span = static_cast<double>(*last - *first);
    std::vector<Point> points;
    points.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        points.push_back(
            {static_cast<double>(shared.times[i] - estimate.at_unix_ns), shared.corrections_ns[i]});
    const bool with_slope = span >= kMinSpanForDriftNs && count >= kMinSharedForDrift;
    const Line line = fit_without_outliers(points, with_slope);
    estimate.shared = points.size();
    estimate.trimmed = count - points.size();
    if (estimate.shared < kMinShared)
        return std::nullopt;
    estimate.offset_ns = line.offset;
    estimate.drift = line.slope;
    estimate.uncertainty_ns = 2 * std::hypot(line.offset_error, line.slope_error * span / 2);
    return estimate;
}

Result<ClockOffsetEstimate, InsufficientOverlap> ClockOffsetEstimator::estimate(
    std::uint32_t router_index, std::uint32_t reference) const {
    if (router_index == reference)
        return ClockOffsetEstimate{};
    const auto here = routers_.find(router_index);
    const auto there = routers_.find(reference);
    if (here == routers_.end() || there == routers_.end())
        return InsufficientOverlap{};
    const SharedEvents purges = shared_purges(here->second, there->second);
    const SharedEvents copies = shared_copies(here->second, there->second);
    auto by_purges = fit(purges);
    auto by_copies = fit(copies);
    if (by_purges) {
        by_purges->basis = ClockOffsetEstimate::Basis::purges;
        if (by_copies)
            by_purges->min_delay_difference_ns =
                by_purges->offset_ns - by_copies->offset_ns -
                by_copies->drift * static_cast<double>(by_purges->at_unix_ns - by_copies->at_unix_ns);
        return *by_purges;
    }
    if (by_copies) {
        by_copies->basis = ClockOffsetEstimate::Basis::copies;
        by_copies->uncertainty_ns += kCopiesUncertaintyNs;
        return *by_copies;
    }
    return InsufficientOverlap{true, purges.times.size(), copies.times.size()};
}

}  // namespace silverrail::trace::model
