#include "state/skew.h"

#include <algorithm>
#include <cmath>

namespace silverrail::state {

namespace {

struct Point {
    double x;  // ns from the middle
    double y;  // ns to add
};

struct Line {
    double offset = 0;
    double slope = 0;
    double error = 0;        // standard error of the offset
    double slope_error = 0;  // standard error of the slope
};

double median(std::vector<double> v) {
    const auto middle = v.begin() + static_cast<std::ptrdiff_t>(v.size() / 2);
    std::nth_element(v.begin(), middle, v.end());
    return *middle;
}

Line fit(const std::vector<Point>& points, bool with_slope) {
    const auto n = static_cast<double>(points.size());
    double mx = 0, my = 0;
    for (const Point& p : points) {
        mx += p.x / n;
        my += p.y / n;
    }
    double sxx = 0, sxy = 0;
    for (const Point& p : points) {
        sxx += (p.x - mx) * (p.x - mx);
        sxy += (p.x - mx) * (p.y - my);
    }
    Line l;
    l.slope = with_slope && sxx > 0 ? sxy / sxx : 0;
    l.offset = my - l.slope * mx;
    double rest = 0;
    for (const Point& p : points) {
        const double r = p.y - l.offset - l.slope * p.x;
        rest += r * r;
    }
    const double variance = rest / std::max(1.0, n - (with_slope ? 2 : 1));
    l.error = std::sqrt(variance * (1 / n + (with_slope && sxx > 0 ? mx * mx / sxx : 0)));
    l.slope_error = with_slope && sxx > 0 ? std::sqrt(variance / sxx) : 0;
    return l;
}

}  // namespace

void Skew::heard(std::uint32_t source, std::uint64_t key, std::int64_t unix_ns) {
    // Spread, whatever the caller's keys are like.
    key = (key ^ key >> 31) * 0x9e3779b97f4a7c15U;
    if (key > threshold_)
        return;
    Heard& h = sources_[source];
    h.at.try_emplace(key, unix_ns);  // told again after a reconnect: the first time counts
    if (h.at.size() > kMostEvents)
        thin(threshold_ / 2);
}

void Skew::thin(std::uint64_t threshold) {
    threshold_ = threshold;
    for (auto& [source, h] : sources_)
        std::erase_if(h.at, [threshold](const auto& e) { return e.first > threshold; });
}

void Skew::copied(std::uint32_t source, std::int64_t seen_unix_ns, std::int64_t made_unix_ns) {
    auto& buckets = sources_[source].buckets;
    const std::int64_t number = seen_unix_ns / kBucketNs;
    if (buckets.size() >= kMostBuckets && !buckets.contains(number))
        return;
    Heard::Bucket& b = buckets[number];
    const std::int64_t wait = seen_unix_ns - made_unix_ns;
    if (b.count++ == 0 || wait < b.least) {
        b.least = wait;
        b.at = seen_unix_ns;
    }
}

std::optional<std::uint32_t> Skew::best_reference() const {
    std::optional<std::uint32_t> best;
    std::size_t most = 0;
    for (const auto& [source, h] : sources_) {
        std::size_t shared = 0;
        for (const auto& [other, o] : sources_)
            if (other != source)
                for (const auto& [key, at] : h.at)
                    shared += o.at.contains(key);
        if (!best || shared > most) {
            best = source;
            most = shared;
        }
    }
    return best;
}

struct Skew::Shared {
    std::vector<std::int64_t> times;  // by the source's clock
    std::vector<double> add;          // what would make it the reference's
};

Skew::Shared Skew::shared_purges(const Heard& mine, const Heard& theirs) const {
    Shared s;
    for (const auto& [key, at] : mine.at)
        if (const auto other = theirs.at.find(key); other != theirs.at.end()) {
            s.times.push_back(at);
            s.add.push_back(static_cast<double>(other->second - at));
        }
    return s;
}

Skew::Shared Skew::shared_copies(const Heard& mine, const Heard& theirs) const {
    Shared s;
    for (const auto& [number, bucket] : mine.buckets)
        if (const auto other = theirs.buckets.find(number); other != theirs.buckets.end() &&
                                                            bucket.count >= kLeastInBucket &&
                                                            other->second.count >= kLeastInBucket) {
            s.times.push_back(bucket.at);
            s.add.push_back(static_cast<double>(other->second.least - bucket.least));
        }
    return s;
}

// Absent: too few of them agree.
std::optional<SkewEstimate> Skew::line_through(Shared shared) {
    SkewEstimate e;
    const std::size_t all = shared.times.size();
    if (all < kLeastShared)
        return std::nullopt;
    const auto [first, last] = std::minmax_element(shared.times.begin(), shared.times.end());
    e.at_unix_ns = *first + (*last - *first) / 2;
    const auto span = static_cast<double>(*last - *first);
    const bool with_slope = span >= kDriftSpanNs && all >= kDriftShared;
    std::vector<Point> points;
    for (std::size_t i = 0; i < all; ++i)
        points.push_back({static_cast<double>(shared.times[i] - e.at_unix_ns), shared.add[i]});

    // First what is far from the median goes: a drift moves that by little over a trace, a late purge by
    // much. Then what is far from the line, until that changes nothing.
    Line line{median(std::move(shared.add)), 0, 0, 0};
    for (int round = 0; round < 8; ++round) {
        std::vector<double> rests;
        for (const Point& p : points)
            rests.push_back(std::abs(p.y - line.offset - line.slope * p.x));
        // 1.4826 times the median deviation is the standard deviation of what is about normal.
        const double bound = std::max(1e6, 3.5 * 1.4826 * median(std::move(rests)));
        const std::size_t before = points.size();
        std::erase_if(points,
                      [&](const Point& p) { return std::abs(p.y - line.offset - line.slope * p.x) > bound; });
        line = fit(points, with_slope);
        if (points.size() == before && round > 1)
            break;
    }
    e.shared = points.size();
    e.trimmed = all - points.size();
    if (e.shared < kLeastShared)
        return std::nullopt;
    e.offset_ns = line.offset;
    e.drift = line.slope;
    e.uncertainty_ns = 2 * std::hypot(line.error, line.slope_error * span / 2);
    return e;
}

std::optional<SkewEstimate> Skew::estimate(std::uint32_t source, std::uint32_t reference,
                                           std::string& why) const {
    if (source == reference)
        return SkewEstimate{};
    const auto mine = sources_.find(source);
    const auto theirs = sources_.find(reference);
    if (mine == sources_.end() || theirs == sources_.end()) {
        why = "it tells of no purge and of no copy's age";
        return std::nullopt;
    }
    Shared purges = shared_purges(mine->second, theirs->second);
    Shared copies = shared_copies(mine->second, theirs->second);
    const std::size_t purge_count = purges.times.size();
    const std::size_t copy_count = copies.times.size();
    auto e = line_through(std::move(purges));
    const auto by_copies = line_through(std::move(copies));
    if (e) {
        e->from = SkewEstimate::From::purges;
        if (by_copies)
            e->order_gap_ns = e->offset_ns - by_copies->offset_ns -
                              by_copies->drift * static_cast<double>(e->at_unix_ns - by_copies->at_unix_ns);
        return e;
    }
    if (by_copies) {
        e = by_copies;
        e->from = SkewEstimate::From::copies;
        e->uncertainty_ns += kCopiesMarginNs;
        return e;
    }
    why = std::to_string(purge_count) + " purges and " + std::to_string(copy_count) +
          " tens of seconds of copies are shared; " + std::to_string(kLeastShared) +
          " of either that agree are needed";
    return std::nullopt;
}

}  // namespace silverrail::state
