#include "trace/recorder/trace_observer.h"

#include <algorithm>
#include <string_view>

#include "config/hex.h"

namespace silverrail::trace {

namespace {

std::int64_t to_ns(core::Time time) {
    return time.time_since_epoch().count();
}

template <class Id>
std::uint64_t number(Id id) {
    return static_cast<std::uint64_t>(id);
}

bool is_lower_case_hex(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

// The number that 16 lower-case hex digits stand for; absent for any other text.
std::optional<std::uint64_t> compact_request_id(std::string_view text) {
    constexpr std::size_t kDigits = 16;
    if (text.size() != kDigits || !std::all_of(text.begin(), text.end(), is_lower_case_hex))
        return std::nullopt;
    return config::parse_hex(text);
}

model::ServerListEntry list_entry(const routing::ListedServer& server) {
    model::ServerListEntry entry;
    entry.id = server.id.address;
    entry.zone = server.zone;
    entry.kind = server.kind;
    entry.condition = static_cast<std::uint8_t>(server.condition);
    entry.weight = server.weight;
    entry.cell = static_cast<std::int64_t>(server.cell);
    if (server.started_at)
        entry.started_at = to_ns(*server.started_at);
    return entry;
}

model::AttemptSent sent_record(const routing::Send& send, std::uint64_t attempt) {
    model::AttemptSent sent;
    sent.request = number(send.request);
    sent.attempt = attempt;
    sent.target = send.target.address;
    sent.timeout = send.timeout.count();
    if (!send.fill)
        return sent;
    sent.fills = true;
    sent.fill_source = send.fill->source.address;
    sent.retention = static_cast<std::uint8_t>(send.fill->retention);
    sent.max_age = send.fill->max_age.count();
    sent.join = send.fill->coalesce;
    sent.revalidate = send.fill->revalidate;
    sent.only_if_cached = send.fill->only_if_cached;
    return sent;
}

}  // namespace

// ---- events of the decision module ---------------------------------------------------------------------

class TraceObserver::EventRecorder {
public:
    EventRecorder(TraceObserver& observer, core::Time now, const core::EventCause& origin)
        : observer_(observer), now_(now), origin_(origin) {}

    void operator()(const routing::Request& request) const {
        if (!origin_.requests)
            return;
        const auto active = origin_.requests->find(request.id);
        if (active != origin_.requests->end())
            observer_.add_request(*active->second.client_request, number(request.id), request.class_index,
                                  now_);
    }
    void operator()(const routing::ResponseStarted&) const {}  // the core does not send it
    void operator()(const routing::Outcome& outcome) const {
        model::AttemptEnded ended;
        ended.request = number(outcome.request);
        ended.attempt = outcome.attempt;
        ended.attempt_status = static_cast<std::uint8_t>(outcome.attempt_status);
        ended.cache_status = static_cast<std::uint8_t>(outcome.cache_status);
        ended.over = outcome.request_completed;
        ended.duration = outcome.duration.count();
        ended.fill_wait = outcome.source_wait.count();
        ended.in_flight = outcome.load.in_flight.value_or(model::kNoValue);
        ended.utilisation = outcome.load.utilisation.value_or(model::kNoValue);
        ended.hit_share = outcome.load.hit_ratio.value_or(model::kNoValue);
        ended.link_utilisation = outcome.load.link_utilisation.value_or(model::kNoValue);
        observer_.add(now_, ended);
    }
    void operator()(const routing::ClientClosed& closed) const {
        observer_.add(now_, model::ClientClosed{number(closed.request)});
    }
    void operator()(const routing::Timer& timer) const {
        observer_.add(now_, model::TimerFired{number(timer.id)});
    }
    void operator()(const routing::ServerList& list) const {
        observer_.add(now_, model::ServerListChanged{list.servers.size(), list.complete});
        for (std::size_t i = 0; i < list.servers.size(); ++i) {
            model::ServerListEntry entry = list_entry(list.servers[i]);
            if (origin_.change && i < origin_.change->servers.size()) {
                entry.address = origin_.change->servers[i].address;
                entry.started_unix_ms = origin_.change->servers[i].started_ms;
            }
            observer_.add(now_, entry);
        }
    }
    void operator()(const routing::Purge& purge) const {
        model::PurgeReceived received;
        received.whole_group = !purge.object.has_value();
        received.object = number(purge.object.value_or(routing::ObjectId{}));
        received.group = number(purge.group);
        received.issued_unix_ms = origin_.purge ? origin_.purge->issued_ms : 0;
        received.age = purge.age.count();
        observer_.add(now_, received);
    }

private:
    TraceObserver& observer_;
    core::Time now_;
    const core::EventCause& origin_;
};

// ---- actions of the decision module --------------------------------------------------------------------

class TraceObserver::ActionRecorder {
public:
    ActionRecorder(TraceObserver& observer, core::Time now, const core::EventCause& origin)
        : observer_(observer), now_(now), origin_(origin) {}

    void operator()(const routing::Send& send) const {
        observer_.add(now_, sent_record(send, observer_.next_attempt_number(send.request, origin_)));
    }
    void operator()(const routing::Cancel& cancel) const {
        observer_.add(now_, model::AttemptCancelled{number(cancel.request), cancel.attempt});
    }
    void operator()(const routing::Reject& reject) const {
        observer_.add(now_, model::RequestRejected{number(reject.request), reject.retry_after.count()});
    }
    void operator()(const routing::Fail& fail) const {
        observer_.add(now_, model::RequestFailed{number(fail.request)});
    }
    void operator()(const routing::SetTimer& timer) const {
        observer_.add(now_, model::TimerSet{number(timer.id), timer.after.count()});
    }

private:
    TraceObserver& observer_;
    core::Time now_;
    const core::EventCause& origin_;
};

std::uint64_t TraceObserver::next_attempt_number(core::RequestId request, const core::EventCause& origin) {
    if (request != latest_sent_request_) {
        latest_sent_request_ = request;
        attempts_since_event_ = 0;
    }
    const std::uint64_t started_now = attempts_since_event_++;
    if (!origin.requests)
        return started_now;
    const auto active = origin.requests->find(request);
    return active == origin.requests->end() ? started_now : started_now + active->second.attempts.size();
}

// ---- notifications -------------------------------------------------------------------------------------

void TraceObserver::event_handled(const routing::Event& event, core::Time now,
                                  const std::vector<routing::Action>& actions,
                                  const core::EventCause& origin) {
    std::visit(EventRecorder{*this, now, origin}, event);
    latest_sent_request_ = {};
    for (const auto& action : actions)
        std::visit(ActionRecorder{*this, now, origin}, action);
}

void TraceObserver::answered_at_intake(const core::ClientRequest& request, std::size_t class_index,
                                       core::Time now) {
    add_request(request, 0, class_index, now);
}

void TraceObserver::add_request(const core::ClientRequest& request, std::uint64_t id, std::size_t class_index,
                                core::Time now) {
    model::RequestReceived received;
    received.request = id;
    if (const auto number = compact_request_id(request.trace_id))
        received.client_request_number = *number;
    else
        received.client_request_id = request.trace_id;
    if (!omitted_.client_addresses)
        received.client = {reinterpret_cast<const char*>(request.client.bytes.data()), request.client.size};
    received.front = static_cast<std::uint8_t>(request.front_end);
    received.class_index = class_index;
    received.object = static_cast<std::uint64_t>(request.object_id);
    received.group = static_cast<std::uint64_t>(request.group);
    received.group_known = request.group_known;
    received.part = request.segment;
    received.size_kb = request.size_kb;
    received.time_to_deadline = (request.deadline - now).count();
    if (!omitted_.entity_tags)
        received.entity_tag = request.client_tag;
    received.write = request.write;
    received.body_bytes = request.body ? request.body->size() : 0;
    received.redirected = request.redirected;
    add(now, received);
}

void TraceObserver::first_byte(const core::AttemptKey& key, std::optional<core::Span> max_age, bool tightened,
                               core::Time now) {
    model::FirstByteDue due;
    due.request = number(key.request);
    due.attempt = key.attempt;
    if (!max_age)
        due.verdict = model::FirstByteDue::suppressed;
    else if (tightened)
        due.verdict = model::FirstByteDue::age_bound_tightened;
    due.max_age = max_age.value_or(core::Span{}).count();
    add(now, due);
}

void TraceObserver::answered(core::RequestId id, const core::ClientResponse& answer, core::Time now) {
    model::ResponseSent sent;
    sent.request = number(id);
    sent.kind = static_cast<std::uint8_t>(answer.kind);
    sent.timed_out = answer.timed_out;
    sent.retry_after = answer.retry_after.count();
    sent.bytes = answer.body.size();
    sent.generated_unix_ms = answer.generated_ms;
    if (!omitted_.entity_tags)
        sent.entity_tag = answer.tag;
    sent.server = answer.server_address;
    add(now, sent);
}

}  // namespace silverrail::trace
