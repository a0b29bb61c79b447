#include "trace/observe.h"

#include <charconv>

namespace silverrail::trace {

namespace {

std::int64_t ns(core::Time t) {
    return t.time_since_epoch().count();
}

// 16 lower-case hex digits are kept as their number, anything else as it is.
bool as_number(std::string_view trace, std::uint64_t& number) {
    if (trace.size() != 16)
        return false;
    for (const char c : trace)
        if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f')))
            return false;
    const auto [end, error] = std::from_chars(trace.data(), trace.data() + trace.size(), number, 16);
    return error == std::errc{} && end == trace.data() + trace.size();
}

}  // namespace

void Observing::put_taken(const core::ClientRequest& call, std::uint64_t id, std::size_t class_index,
                          core::Time now) {
    model::RequestReceived t;
    t.request = id;
    if (!as_number(call.trace_id, t.client_request_number))
        t.client_request_id = call.trace_id;
    if (!left_out_.clients)
        t.client = {reinterpret_cast<const char*>(call.client.bytes.data()), call.client.size};
    t.front = static_cast<std::uint8_t>(call.front);
    t.class_index = class_index;
    t.object = static_cast<std::uint64_t>(call.object_id);
    t.group = static_cast<std::uint64_t>(call.group);
    t.group_known = call.group_known;
    t.part = call.segment;
    t.size_kb = call.size_kb;
    t.time_to_deadline = (call.deadline - now).count();
    if (!left_out_.tags)
        t.entity_tag = call.client_tag;
    t.write = call.write;
    t.body_bytes = call.body ? call.body->size() : 0;
    t.redirected = call.redirected;
    put(now, t);
}

void Observing::put_list(const routing::ServerList& list, const core::ServerChange* change, core::Time now) {
    put(now, model::ServerListChanged{list.servers.size(), list.complete});
    for (std::size_t i = 0; i < list.servers.size(); ++i) {
        const routing::ListedServer& c = list.servers[i];
        model::ServerListEntry e;
        e.id = c.id.address;
        e.zone = c.zone;
        e.kind = c.kind;
        e.condition = static_cast<std::uint8_t>(c.condition);
        e.weight = c.weight;
        e.cell = static_cast<std::int64_t>(c.cell);
        if (c.started_at)
            e.started_at = ns(*c.started_at);
        if (change && i < change->servers.size()) {
            e.address = change->servers[i].address;
            e.started_unix_ms = change->servers[i].started_ms;
        }
        put(now, e);
    }
}

void Observing::put_action(const routing::Action& action, const core::EventOrigin& origin, core::Time now) {
    if (const auto* send = std::get_if<routing::Send>(&action)) {
        model::AttemptSent s;
        s.request = static_cast<std::uint64_t>(send->request);
        if (s.request != sent_call_) {
            sent_call_ = s.request;
            sent_more_ = 0;
        }
        s.attempt = sent_more_++;
        if (origin.requests)
            if (const auto at = origin.requests->find(send->request); at != origin.requests->end())
                s.attempt += at->second.attempts.size();
        s.target = send->target.address;
        s.timeout = send->timeout.count();
        if (send->fill) {
            s.fills = true;
            s.fill_source = send->fill->source.address;
            s.retention = static_cast<std::uint8_t>(send->fill->retention);
            s.max_age = send->fill->max_age.count();
            s.join = send->fill->coalesce;
            s.revalidate = send->fill->revalidate;
            s.only_if_cached = send->fill->only_if_cached;
        }
        put(now, s);
    } else if (const auto* cancel = std::get_if<routing::Cancel>(&action)) {
        put(now, model::AttemptCancelled{static_cast<std::uint64_t>(cancel->request), cancel->attempt});
    } else if (const auto* refuse = std::get_if<routing::Reject>(&action)) {
        put(now,
            model::RequestRejected{static_cast<std::uint64_t>(refuse->request), refuse->retry_after.count()});
    } else if (const auto* fail = std::get_if<routing::Fail>(&action)) {
        put(now, model::RequestFailed{static_cast<std::uint64_t>(fail->request)});
    } else if (const auto* timer = std::get_if<routing::SetTimer>(&action)) {
        put(now, model::TimerSet{static_cast<std::uint64_t>(timer->id), timer->after.count()});
    }
}

void Observing::event_handled(const routing::Event& event, core::Time now,
                              const std::vector<routing::Action>& actions, const core::EventOrigin& origin) {
    if (const auto* request = std::get_if<routing::Request>(&event)) {
        const auto at =
            origin.requests ? origin.requests->find(request->id) : core::ActiveRequests::const_iterator{};
        if (origin.requests && at != origin.requests->end())
            put_taken(*at->second.client_request, static_cast<std::uint64_t>(request->id),
                      request->class_index, now);
    } else if (const auto* outcome = std::get_if<routing::Outcome>(&event)) {
        model::AttemptEnded e;
        e.request = static_cast<std::uint64_t>(outcome->request);
        e.attempt = outcome->attempt;
        e.attempt_status = static_cast<std::uint8_t>(outcome->attempt_status);
        e.cache_status = static_cast<std::uint8_t>(outcome->cache_status);
        e.over = outcome->request_completed;
        e.duration = outcome->duration.count();
        e.fill_wait = outcome->source_wait.count();
        e.in_flight = outcome->load.in_flight.value_or(model::kNoValue);
        e.utilisation = outcome->load.utilisation.value_or(model::kNoValue);
        e.hit_share = outcome->load.hit_ratio.value_or(model::kNoValue);
        e.link_utilisation = outcome->load.link_utilisation.value_or(model::kNoValue);
        put(now, e);
    } else if (const auto* abandoned = std::get_if<routing::ClientClosed>(&event)) {
        put(now, model::ClientClosed{static_cast<std::uint64_t>(abandoned->request)});
    } else if (const auto* timer = std::get_if<routing::Timer>(&event)) {
        put(now, model::TimerFired{static_cast<std::uint64_t>(timer->id)});
    } else if (const auto* list = std::get_if<routing::ServerList>(&event)) {
        put_list(*list, origin.change, now);
    } else if (const auto* purge = std::get_if<routing::Purge>(&event)) {
        put(now, model::PurgeReceived{!purge->object.has_value(),
                                      static_cast<std::uint64_t>(purge->object.value_or(routing::ObjectId{})),
                                      static_cast<std::uint64_t>(purge->group),
                                      origin.purge ? origin.purge->issued_ms : 0, purge->age.count()});
    }
    sent_call_ = 0;
    for (const auto& action : actions)
        put_action(action, origin, now);
}

void Observing::answered_at_intake(const core::ClientRequest& call, std::size_t class_index, core::Time now) {
    put_taken(call, 0, class_index, now);
}

void Observing::first_byte(const core::AttemptKey& key, std::optional<core::Span> max_age, bool tightened,
                           core::Time now) {
    using V = model::FirstByteDue;
    put(now, V{static_cast<std::uint64_t>(key.request), key.attempt,
               static_cast<std::uint8_t>(!max_age    ? V::suppressed
                                         : tightened ? V::age_bound_tightened
                                                     : V::written),
               max_age.value_or(core::Span{}).count()});
}

void Observing::answered(core::RequestId id, const core::Answer& answer, core::Time now) {
    model::ResponseSent a;
    a.request = static_cast<std::uint64_t>(id);
    a.kind = static_cast<std::uint8_t>(answer.kind);
    a.timed_out = answer.timed_out;
    a.retry_after = answer.retry_after.count();
    a.bytes = answer.body.size();
    a.generated_unix_ms = answer.made_ms;
    if (!left_out_.tags)
        a.entity_tag = answer.tag;
    a.server = answer.server_address;
    put(now, a);
}

}  // namespace silverrail::trace
