// Aggregates request timelines by class: outcomes, latencies, attempts, cache fills, rejections. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "trace/model/enum_names.h"
#include "trace/model/latency_histogram.h"
#include "trace/model/request_timeline.h"

namespace silverrail::trace::model {

// How a request ended. The first five are the kinds of responses, in the order of core::ClientResponse::Kind.
// `not_admitted` ones are counted under their response too.
enum class Outcome : std::uint8_t {
    served,
    not_modified,
    redirected,
    rejected,
    failed,
    client_closed,
    open,
    not_admitted
};
inline constexpr std::size_t kOutcomes = 8;
inline constexpr std::array<std::string_view, kOutcomes> kOutcomeNames{
    "served", "unchanged", "referred", "refused", "failed", "abandoned", "open", "turned_away"};

using CountsByName = std::map<std::string, std::uint64_t, std::less<>>;

// Retry-After delays of responses.
struct RetryAfterSummary {
    std::uint64_t count = 0;
    double sum_ms = 0;
    double max_ms = 0;

    void add(std::int64_t retry_after_ns);
    double mean_ms() const {
        return count ? sum_ms / static_cast<double>(count) : 0;
    }
};

struct ClassSummary {
    static constexpr std::size_t kAttemptCounts = 8;  // the last one stands for its number and more

    std::uint64_t received = 0;  // within the trace, not before
    std::array<std::uint64_t, kOutcomes> outcomes{};
    std::uint64_t late = 0;  // served or not modified, but after the class's latency objective
    std::uint64_t bytes = 0;
    LatencyHistogram success_latency;                                      // served and not modified
    LatencyHistogram error_latency;                                        // rejected and failed
    std::array<std::uint64_t, kAttemptCounts> attempts{};                  // requests by number of attempts
    std::array<std::uint64_t, kCacheStatusNames.size()> cache_statuses{};  // of attempts
    std::array<std::uint64_t, kAttemptStatusNames.size()> attempt_statuses{};
    CountsByName fills;          // successful ones by fill source
    CountsByName error_reasons;  // of rejected and failed requests
    RetryAfterSummary retry_after;

    std::uint64_t count(Outcome outcome) const {
        return outcomes[static_cast<std::size_t>(outcome)];
    }
};

// Why a request was rejected or failed, as far as its timeline shows: rejected by admission control, no
// attempt, or the status of its last attempt. The text is part of the tools' output.
std::string_view error_reason(const RequestTimeline& timeline);

class RequestSummary {
public:
    // The latency objective in ns for a request of that class and size; 0 if unknown.
    using LatencyObjective =
        std::function<std::int64_t(std::uint32_t router_index, std::uint64_t class_index, double size_kb)>;
    explicit RequestSummary(LatencyObjective latency_objective)
        : latency_objective_(std::move(latency_objective)) {}
    // Logarithmic in the number of classes and fill sources.
    void add(const RequestTimeline& timeline, const std::string& class_name);
    const std::map<std::string, ClassSummary, std::less<>>& classes() const {
        return classes_;
    }

private:
    static constexpr std::size_t kMaxClasses = 1000;  // further ones are summed up as "(others)"

    ClassSummary& find_or_add(const std::string& class_name);
    void add_success(ClassSummary& summary, const RequestTimeline& timeline) const;

    LatencyObjective latency_objective_;
    std::map<std::string, ClassSummary, std::less<>> classes_;
};

}  // namespace silverrail::trace::model
