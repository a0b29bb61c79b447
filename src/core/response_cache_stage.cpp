#include "core/response_cache_stage.h"

#include <algorithm>
#include <utility>

namespace silverrail::core {

void ResponseCacheStage::set_capacity(std::size_t bytes) {
    if (cache_)
        cache_->set_capacity(bytes);
}

std::uint64_t ResponseCacheStage::purges_unconfirmed_ms(Time now) const {
    if (!cache_)
        return 0;
    const Time since = cache_->coverage().confirmed_until().value_or(Time{});
    return static_cast<std::uint64_t>(std::max(Span{}, now - since) / std::chrono::milliseconds{1});
}

std::optional<cache::Lookup> ResponseCacheStage::lookup_of(const ClientRequest& request,
                                                           std::size_t class_index) const {
    if (!cache_ || request.write || request.redirected || settings_.classes[class_index].uncached)
        return std::nullopt;
    return cache::Lookup{{request.object_id, class_index, request.segment},
                         request.group,
                         request.group_known,
                         request.client_tag};
}

std::optional<ClientResponse> ResponseCacheStage::response_from(std::optional<cache::Hit> hit) {
    if (!hit)
        return std::nullopt;
    ++(hit->stale ? counters_.own_stale : counters_.own_fresh);
    ClientResponse response;
    response.kind = hit->body ? ClientResponse::Kind::served : ClientResponse::Kind::not_modified;
    if (hit->body)
        response.body = *hit->body;
    response.tag = std::move(hit->tag);
    response.generated_ms = hit->generated_ms;
    return response;
}

std::optional<ClientResponse> ResponseCacheStage::fresh_response(const ClientRequest& request,
                                                                 std::size_t class_index, Time now,
                                                                 std::int64_t unix_ms) {
    const auto lookup = lookup_of(request, class_index);
    return lookup ? response_from(cache_->find_fresh(*lookup, now, unix_ms)) : std::nullopt;
}

std::optional<ClientResponse> ResponseCacheStage::last_resort_response(const ClientRequest& request,
                                                                       std::size_t class_index, Time now,
                                                                       std::int64_t unix_ms) {
    const auto lookup = lookup_of(request, class_index);
    return lookup ? response_from(cache_->find_last_resort(*lookup, now, unix_ms, request.deadline))
                  : std::nullopt;
}

void ResponseCacheStage::store(const ActiveRequest& request, const AttemptResult& result, Time now,
                               std::int64_t unix_ms) {
    if (result.attempt_status != AttemptStatus::success || result.not_modified)
        return;
    // Guards rule 5 (no purged copy): after this time, purges that the response may predate are no longer
    // known.
    if (now - request.received > longest_request_)
        return;
    // A generation time in the future means that one of the clocks is wrong, and the response's age would be
    // underestimated for as long as it is cached.
    if (result.generated_ms > unix_ms + cache::kClockTolerance / std::chrono::milliseconds{1})
        return;
    const auto lookup = lookup_of(*request.client_request, request.class_index);
    if (!lookup)
        return;
    const std::int64_t purged_ms = purges_.last_issued_ms(*request.client_request, now).value_or(0);
    cache_->store(*lookup, result.body, result.tag, result.generated_ms, purged_ms, request.received);
}

void ResponseCacheStage::purge(const PurgeNotice& purge) {
    if (!cache_)
        return;
    if (purge.object)
        cache_->purge_object(*purge.object, purge.issued_ms);
    else
        cache_->purge_group(purge.group, purge.issued_ms);
}

}  // namespace silverrail::core
