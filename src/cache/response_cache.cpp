#include "cache/response_cache.h"

#include <utility>

namespace silverrail::cache {

namespace {

using namespace std::chrono_literals;

// Share of the latency objective that sending may take; the rest is left for network latency to the client.
constexpr double kObjectiveShare = 0.85;
// Allowance for the time between a server's writing of a response's age and this router's clock reading.
constexpr std::int64_t kAgeMarginMs = 20;
constexpr Span kDeadlineMargin = 30ms;
// Size of a "not modified" response relative to the full response.
constexpr double kNotModifiedShare = 0.05;

std::int64_t to_ms(Span span) {
    return span / 1ms;
}

std::int64_t age_ms(const StoredResponse& response, std::int64_t unix_ms) {
    return unix_ms + kAgeMarginMs - response.generated_ms;
}

// Lower bound of the time at which the origin generated the response.
Time generated_after(const StoredResponse& response, Time now, std::int64_t unix_ms) {
    return now - std::chrono::milliseconds{age_ms(response, unix_ms)} - kClockTolerance;
}

bool is_current(const Lookup& request, const StoredResponse& response) {
    return request.client_tag == response.tag;
}

double bytes_to_send(const Lookup& request, const StoredResponse& response) {
    const auto bytes = static_cast<double>(response.body->size());
    return is_current(request, response) ? bytes * kNotModifiedShare : bytes;
}

}  // namespace

ResponseCache::ResponseCache(const std::vector<routing::ClassSettings>& classes, CacheLimits limits,
                             PurgeCoverage coverage)
    : classes_(classes),
      uplink_(limits.uplink),
      store_(limits.enabled() ? limits.bytes : 0),
      enabled_(limits.enabled()),
      coverage_(std::move(coverage)) {}

void ResponseCache::set_capacity(std::size_t bytes) {
    if (enabled_)
        store_.set_capacity(bytes);
}

void ResponseCache::store(const Lookup& request, std::string_view body, std::string_view tag,
                          std::int64_t generated_ms, std::int64_t purged_ms, Time requested) {
    if (!enabled_ || !request.group_known || classes_[request.key.class_index].uncached)
        return;
    // A response of unknown age cannot expire. One generated before a purge was in flight when the purge
    // arrived.
    if (generated_ms <= 0 || generated_ms <= purged_ms || tag.empty())
        return;
    // Otherwise a response that cannot be used any more could keep out an older one that can.
    if (const auto* stored = store_.find(request.key);
        stored && !coverage_.may_use(stored->requested, requested))
        store_.erase(request.key);
    store_.put(request.key, StoredResponse{.body = std::make_shared<const std::string>(body),
                                           .tag = std::string{tag},
                                           .group = request.group,
                                           .generated_ms = generated_ms,
                                           .requested = requested});
}

const StoredResponse* ResponseCache::find(const Lookup& request, Time now, std::int64_t unix_ms) {
    if (!enabled_ || !request.group_known)
        return nullptr;
    const StoredResponse* response = store_.find(request.key);
    if (!response || coverage_.may_use(response->requested, now, generated_after(*response, now, unix_ms)))
        return response;
    ++withheld_;
    return nullptr;
}

Hit ResponseCache::use(const Lookup& request, const StoredResponse& response, Time now, bool stale) {
    uplink_.reserve(bytes_to_send(request, response), now);
    return {.body = is_current(request, response) ? nullptr : response.body,
            .tag = response.tag,
            .generated_ms = response.generated_ms,
            .stale = stale};
}

std::optional<Hit> ResponseCache::find_fresh(const Lookup& request, Time now, std::int64_t unix_ms) {
    const StoredResponse* response = find(request, now, unix_ms);
    if (!response)
        return std::nullopt;
    const auto& settings = classes_[request.key.class_index];
    if (settings.max_age > Span{} && age_ms(*response, unix_ms) >= to_ms(settings.max_age))
        return std::nullopt;
    const double bytes = bytes_to_send(request, *response);
    const auto stretch = std::chrono::duration_cast<Span>(settings.objective_transfer_factor *
                                                          uplink_.time_to_send_alone(bytes));
    if (uplink_.time_to_send(bytes, now) > kObjectiveShare * (settings.latency_objective + stretch))
        return std::nullopt;
    return use(request, *response, now, false);
}

std::optional<Hit> ResponseCache::find_last_resort(const Lookup& request, Time now, std::int64_t unix_ms,
                                                   Time deadline) {
    const StoredResponse* response = find(request, now, unix_ms);
    if (!response)
        return std::nullopt;
    const auto& settings = classes_[request.key.class_index];
    const std::int64_t age = age_ms(*response, unix_ms);
    const bool ages = settings.max_age > Span{};
    if (ages && age >= to_ms(settings.max_age + settings.stale_grace))
        return std::nullopt;
    if (now + uplink_.time_to_send(bytes_to_send(request, *response), now) + kDeadlineMargin > deadline)
        return std::nullopt;
    return use(request, *response, now, ages && age >= to_ms(settings.max_age));
}

}  // namespace silverrail::cache
