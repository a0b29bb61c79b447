// Sums up calls by class: outcomes, times, attempts, fills, refusals. Also over intervals. No I/O.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state/stories.h"

namespace silverrail::state {

// Times from 10 µs to 1000 s, each told to 1.5 in 100.
class Times {
public:
    Times();
    void add(std::int64_t ns);
    std::uint64_t count() const {
        return count_;
    }
    // The time, in ms, that a share of them did not exceed; 0 where there are none.
    double quantile(double share) const;
    double mean_ms() const {
        return count_ ? sum_ / static_cast<double>(count_) / 1e6 : 0;
    }
    double max_ms() const {
        return max_ / 1e6;
    }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram =
        decltype(boost::histogram::make_histogram_with(std::vector<std::uint64_t>{}, std::declval<Axis>()));
    Histogram histogram_;
    std::uint64_t count_ = 0;
    double sum_ = 0;
    double max_ = 0;
};

struct ClassTally {
    static constexpr std::size_t kOutcomes = 8;  // kAnswerWords, abandoned, open, turned_away
    std::uint64_t calls = 0;                     // taken in the trace, not before
    std::array<std::uint64_t, kOutcomes> outcomes{};
    std::uint64_t late = 0;  // served or unchanged after the class's aim
    std::uint64_t bytes = 0;
    Times served;                             // served and unchanged
    Times turned_down;                        // refused and failed
    std::array<std::uint64_t, 8> attempts{};  // calls by how many they took; 7 stands for more
    std::array<std::uint64_t, 11> notes{};    // of attempts
    std::array<std::uint64_t, 10> endings{};
    std::map<std::string, std::uint64_t, std::less<>> fills;     // good ones, by source
    std::map<std::string, std::uint64_t, std::less<>> refusals;  // by reason
    std::uint64_t hold_offs = 0;
    double hold_off_sum_ms = 0;
    double hold_off_most_ms = 0;
};
inline constexpr std::array<std::string_view, ClassTally::kOutcomes> kTallyWords{
    "served", "unchanged", "referred", "refused", "failed", "abandoned", "open", "turned_away"};

// Why a call was refused or failed, from what is known of it: "at the door", "no attempt", or how its last
// attempt ended.
std::string_view reason(const Story& story);

class Tally {
public:
    // `aim` gives the class's aim in ns for a call of that size, 0 where it is not known.
    using AimOf =
        std::function<std::int64_t(std::uint32_t source, std::uint64_t class_index, double size_kb)>;
    explicit Tally(AimOf latency_objective) : aim_(std::move(latency_objective)) {}
    void take(const Story& story, const std::string& class_name);
    const std::map<std::string, ClassTally, std::less<>>& classes() const {
        return classes_;
    }

private:
    static constexpr std::size_t kMostClasses = 1000;  // further ones go under "(others)"
    static constexpr std::size_t kMostSources = 4096;
    AimOf aim_;
    std::map<std::string, ClassTally, std::less<>> classes_;
};

}  // namespace silverrail::state
