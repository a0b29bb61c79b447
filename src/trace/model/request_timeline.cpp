#include "trace/model/request_timeline.h"

#include <algorithm>

namespace silverrail::trace::model {

std::unique_ptr<RequestTimeline> TimelineBuilder::new_timeline() {
    if (free_list_.empty())
        return std::make_unique<RequestTimeline>();
    auto timeline = std::move(free_list_.back());
    free_list_.pop_back();
    // Reset all but the capacity of `attempts`.
    auto attempts = std::move(timeline->attempts);
    *timeline = {};
    attempts.clear();
    timeline->attempts = std::move(attempts);
    return timeline;
}

RequestTimeline& TimelineBuilder::find_or_add(Key key) {
    if (const auto found = open_.find(key); found != open_.end())
        return *found->second;
    if (open_.size() >= kMaxOpenRequests) {
        // Its end has been lost. Which one is evicted makes no difference to the sums.
        ++evicted_;
        on_complete_(*open_.begin()->second);
        open_.erase(open_.begin());
    }
    auto& timeline = open_[key];
    timeline = new_timeline();
    timeline->router_index = key.router_index;
    timeline->request = key.request;
    return *timeline;
}

AttemptTimeline* TimelineBuilder::find_or_add_attempt(Key key, std::uint64_t number) {
    auto& attempts = find_or_add(key).attempts;
    const auto found =
        std::find_if(attempts.begin(), attempts.end(),
                     [number](const AttemptTimeline& attempt) { return attempt.number == number; });
    if (found != attempts.end())
        return &*found;
    if (attempts.size() >= kMaxAttempts)
        return nullptr;
    attempts.emplace_back().number = number;
    return &attempts.back();
}

void TimelineBuilder::report_if_complete(Key key) {
    const auto open = open_.find(key);
    const RequestTimeline& timeline = *open->second;
    if (!timeline.closed() || !std::all_of(timeline.attempts.begin(), timeline.attempts.end(),
                                           [](const AttemptTimeline& attempt) { return attempt.ended(); }))
        return;
    on_complete_(timeline);
    free_list_.push_back(std::move(open->second));
    open_.erase(open);
}

void TimelineBuilder::add(const Record& record, bool from_snapshot) {
    std::visit(
        [&](const auto& body) {
            if constexpr (requires { this->apply(record, body, from_snapshot); })
                this->apply(record, body, from_snapshot);
            else if constexpr (requires { this->apply(record, body); })
                this->apply(record, body);
        },
        record.body);
}

void TimelineBuilder::apply(const Record& record, const RequestReceived& received, bool from_snapshot) {
    const Key key{record.router_index, received.request};
    // An open request with this number lost its end: a router counts from 1 again after a restart.
    if (const auto old = open_.find(key); old != open_.end()) {
        on_complete_(*old->second);
        open_.erase(old);
    }
    RequestTimeline& timeline = find_or_add(key);
    timeline.received_at = record.at;
    timeline.open_at_start = from_snapshot;
    timeline.received = received;
    timeline.client_request_id = received.client_request_id;
    timeline.client = received.client;
    timeline.has_copy = !received.entity_tag.empty();
    timeline.received.client_request_id = {};
    timeline.received.client = {};
    timeline.received.entity_tag = {};
}

void TimelineBuilder::apply(const Record& record, const AttemptSent& sent) {
    AttemptTimeline* attempt = find_or_add_attempt({record.router_index, sent.request}, sent.attempt);
    if (!attempt)
        return;
    attempt->sent_at = record.at;
    attempt->target = sent.target;
    attempt->fills = sent.fills;
    attempt->fill_source = sent.fill_source;
    attempt->retention = sent.retention;
    attempt->max_age = sent.max_age;
    attempt->timeout = sent.timeout;
    attempt->only_if_cached = sent.only_if_cached;
}

void TimelineBuilder::apply(const Record& record, const FirstByteDue& first_byte) {
    const Key key{record.router_index, first_byte.request};
    if (AttemptTimeline* attempt = find_or_add_attempt(key, first_byte.attempt)) {
        attempt->first_byte_at = record.at;
        attempt->first_byte_verdict = first_byte.verdict;
    }
}

void TimelineBuilder::apply(const Record& record, const AttemptEnded& ended) {
    const Key key{record.router_index, ended.request};
    if (AttemptTimeline* attempt = find_or_add_attempt(key, ended.attempt)) {
        attempt->ended_at = record.at;
        attempt->attempt_status = ended.attempt_status;
        attempt->cache_status = ended.cache_status;
        attempt->duration = ended.duration;
        attempt->fill_wait = ended.fill_wait;
    }
    report_if_complete(key);
}

void TimelineBuilder::apply(const Record& record, const RequestRejected& rejected) {
    find_or_add({record.router_index, rejected.request}).rejected_at = record.at;
}

void TimelineBuilder::apply(const Record& record, const RequestFailed& failed) {
    find_or_add({record.router_index, failed.request}).failed_by_router = true;
}

void TimelineBuilder::apply(const Record& record, const ClientClosed& closed) {
    const Key key{record.router_index, closed.request};
    RequestTimeline& timeline = find_or_add(key);
    // At a deadline the router responds first and then informs the decision module with `ClientClosed`.
    if (!timeline.closed()) {
        timeline.closed_at = record.at;
        timeline.client_closed = true;
    }
    report_if_complete(key);
}

void TimelineBuilder::apply(const Record& record, const ResponseSent& response) {
    const Key key{record.router_index, response.request};
    RequestTimeline& timeline = find_or_add(key);
    timeline.closed_at = record.at;
    timeline.client_closed = false;
    timeline.response_kind = response.kind;
    timeline.timed_out = response.timed_out;
    timeline.retry_after = response.retry_after;
    timeline.response_bytes = response.bytes;
    timeline.generated_unix_ms = response.generated_unix_ms;
    timeline.server = response.server;
    report_if_complete(key);
}

void TimelineBuilder::finish() {
    // In order of arrival, so that the same trace gives the same listing.
    std::vector<const RequestTimeline*> open;
    open.reserve(open_.size());
    for (const auto& [key, timeline] : open_)
        open.push_back(timeline.get());
    std::sort(open.begin(), open.end(), [](const RequestTimeline* a, const RequestTimeline* b) {
        return std::pair{a->router_index, a->request} < std::pair{b->router_index, b->request};
    });
    for (const RequestTimeline* timeline : open)
        on_complete_(*timeline);
    open_.clear();
}

}  // namespace silverrail::trace::model
