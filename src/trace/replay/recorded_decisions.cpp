#include "trace/replay/recorded_decisions.h"

#include <cmath>
#include <optional>

namespace silverrail::trace {

using routing::RequestId;
using routing::ServerId;
using routing::Span;

namespace {

constexpr std::uint64_t kUnknownGroup = ~std::uint64_t{0};

std::optional<double> measurement(double value) {
    return std::isnan(value) ? std::nullopt : std::optional{value};
}

}  // namespace

routing::Time time_of(std::int64_t ns) {
    return routing::Time{Span{ns}};
}

routing::Request request_event(const model::RequestReceived& record, std::int64_t at) {
    routing::Request request;
    request.id = RequestId{record.request};
    request.class_index = record.class_index;
    request.object = routing::ObjectId{record.object};
    request.group = routing::GroupId{record.group_known ? record.group : kUnknownGroup};
    request.segment = static_cast<std::uint32_t>(record.part);
    request.size_kb = record.size_kb;
    request.deadline = time_of(at + record.time_to_deadline);
    request.redirected = record.redirected;
    return request;
}

routing::Outcome outcome_event(const model::AttemptEnded& record) {
    routing::Outcome outcome;
    outcome.request = RequestId{record.request};
    outcome.attempt = static_cast<std::uint32_t>(record.attempt);
    outcome.attempt_status = static_cast<routing::AttemptStatus>(record.attempt_status);
    outcome.cache_status = static_cast<routing::CacheStatus>(record.cache_status);
    outcome.request_completed = record.over;
    outcome.duration = Span{record.duration};
    outcome.source_wait = Span{record.fill_wait};
    outcome.load = {measurement(record.in_flight), measurement(record.utilisation),
                    measurement(record.hit_share), measurement(record.link_utilisation)};
    return outcome;
}

routing::Purge purge_event(const model::PurgeReceived& record) {
    routing::Purge purge{std::nullopt, routing::GroupId{record.group}, Span{record.age}};
    if (!record.whole_group)
        purge.object = routing::ObjectId{record.object};
    return purge;
}

routing::ListedServer listed_server(const model::ServerListEntry& record) {
    routing::ListedServer server;
    server.id.address = record.id;
    server.condition = static_cast<routing::Condition>(record.condition);
    server.weight = record.weight;
    server.cell = routing::CellId{record.cell};
    server.zone = record.zone;
    server.kind = record.kind;
    if (record.started_at != model::kNoTime)
        server.started_at = time_of(record.started_at);
    return server;
}

routing::Send send_action(const model::AttemptSent& record) {
    routing::Send send{RequestId{record.request}, ServerId{std::string{record.target}}, Span{record.timeout},
                       std::nullopt};
    if (record.fills)
        send.fill = routing::Fill{ServerId{std::string{record.fill_source}},
                                  static_cast<routing::RetentionPriority>(record.retention),
                                  Span{record.max_age},
                                  record.join,
                                  record.revalidate,
                                  record.only_if_cached};
    return send;
}

routing::Cancel cancel_action(const model::AttemptCancelled& record) {
    return {RequestId{record.request}, static_cast<std::uint32_t>(record.attempt)};
}

routing::Reject reject_action(const model::RequestRejected& record) {
    return {RequestId{record.request}, Span{record.retry_after}};
}

routing::Fail fail_action(const model::RequestFailed& record) {
    return {RequestId{record.request}};
}

routing::SetTimer timer_action(const model::TimerSet& record) {
    return {routing::TimerId{record.timer}, Span{record.after}};
}

}  // namespace silverrail::trace
