#include "trace/output/timeline_output.h"

#include <cstdio>
#include <string_view>

#include "config/hex.h"
#include "trace/model/enum_names.h"
#include "trace/output/value_text.h"

namespace silverrail::trace {

using namespace model;

namespace {

double to_ms(std::int64_t ns) {
    return static_cast<double>(ns) / 1e6;
}

std::string ms_text(std::int64_t ns) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f ms", to_ms(ns));
    return text;
}

Json::Value json_number(std::uint64_t number) {
    return Json::Value{Json::UInt64{number}};
}

template <class EnumNames, class Value>
std::string name_text(const EnumNames& names, Value value) {
    return std::string{enum_name(names, value)};
}

std::string client_request_id(const RequestTimeline& timeline) {
    if (timeline.client_request_id.empty())
        return config::hex_text(timeline.received.client_request_number);
    return std::string{timeline.client_request_id.text()};
}

std::string outcome_name(const RequestTimeline& timeline) {
    if (timeline.closed_at == kNoTime)
        return "open";
    return timeline.client_closed ? "abandoned" : name_text(kResponseKindNames, timeline.response_kind);
}

bool arrival_seen(const RequestTimeline& timeline) {
    return timeline.received_at != kNoTime;
}

bool is_sent(const AttemptTimeline& attempt) {
    return attempt.sent_at != kNoTime;
}

bool has_ended(const AttemptTimeline& attempt) {
    return attempt.ended_at != kNoTime;
}

// ---- JSON ----------------------------------------------------------------------------------------------

void put_arrival(Json::Value& out, const RequestTimeline& timeline, const Names& names) {
    const RequestReceived& received = timeline.received;
    out["taken"] = time_text(names.unix_ns(timeline.router_index, timeline.received_at));
    out["before"] = timeline.open_at_start;
    out["trace"] = client_request_id(timeline);
    out["client"] = address_text(timeline.client.text());
    out["front"] = name_text(kFrontNames, received.front);
    out["class"] = names.class_name(timeline.router_index, received.class_index);
    out["object"] = config::hex_text(received.object);
    out["part"] = json_number(received.part);
    if (received.group_known)
        out["lot"] = json_number(received.group);
    out["size_kb"] = received.size_kb;
    out["wait_ms"] = to_ms(received.time_to_deadline);
    out["write"] = received.write;
    out["has_copy"] = timeline.has_copy;
}

void put_sending(Json::Value& out, const AttemptTimeline& attempt, const std::string& time) {
    out["sent"] = time;
    out["box"] = std::string{attempt.target.text()};
    if (attempt.fills) {
        out["source"] = std::string{attempt.fill_source.text()};
        out["rank"] = attempt.retention;
        out["held_only"] = attempt.only_if_cached;
        if (attempt.max_age > 0)
            out["oldest_ms"] = to_ms(attempt.max_age);
    }
    if (attempt.timeout > 0)
        out["timeout_ms"] = to_ms(attempt.timeout);
}

void put_ending(Json::Value& out, const AttemptTimeline& attempt) {
    out["ending"] = name_text(kAttemptStatusNames, attempt.attempt_status);
    out["took_ms"] = to_ms(attempt.duration);
    if (attempt.cache_status)
        out["note"] = name_text(kCacheStatusNames, attempt.cache_status);
    if (attempt.fill_wait > 0)
        out["source_wait_ms"] = to_ms(attempt.fill_wait);
}

Json::Value json_of(const AttemptTimeline& attempt, std::uint32_t router_index, const Names& names) {
    Json::Value out;
    out["attempt"] = json_number(attempt.number);
    if (is_sent(attempt))
        put_sending(out, attempt, time_text(names.unix_ns(router_index, attempt.sent_at)));
    if (attempt.first_byte_at != kNoTime)
        out["first_byte"] = name_text(kVerdictNames, attempt.first_byte_verdict);
    if (has_ended(attempt))
        put_ending(out, attempt);
    return out;
}

void put_response(Json::Value& out, const RequestTimeline& timeline) {
    out["timed_out"] = timeline.timed_out;
    out["bytes"] = json_number(timeline.response_bytes);
    if (timeline.retry_after > 0)
        out["hold_off_ms"] = to_ms(timeline.retry_after);
    if (!timeline.server.empty())
        out["named"] = std::string{timeline.server.text()};
}

// ---- text ----------------------------------------------------------------------------------------------

std::string arrival_text(const RequestTimeline& timeline, const Names& names) {
    const std::uint32_t router = timeline.router_index;
    if (!arrival_seen(timeline))
        return "(taken earlier) " + names.router(router) + " call " + std::to_string(timeline.request);
    const RequestReceived& received = timeline.received;
    std::string text = time_text(names.unix_ns(router, timeline.received_at));
    text += ' ' + names.router(router);
    text += ' ' + names.class_name(router, received.class_index);
    text += ' ' + config::hex_text(received.object) + '/' + std::to_string(received.part);
    text += " id " + client_request_id(timeline);
    if (const std::string client = address_text(timeline.client.text()); !client.empty())
        text += " from " + client;
    if (timeline.open_at_start)
        text += " (open at the begin)";
    return text;
}

std::string response_text(const RequestTimeline& timeline) {
    std::string text;
    if (timeline.not_admitted())
        text += " at the door";
    if (timeline.answered()) {
        if (timeline.response_bytes > 0)
            text += ", " + std::to_string(timeline.response_bytes) + " bytes";
        if (timeline.retry_after > 0)
            text += ", come back in " + ms_text(timeline.retry_after);
        if (timeline.timed_out)
            text += ", past its deadline";
    }
    if (!timeline.server.empty())
        text += ", named " + std::string{timeline.server.text()};
    if (timeline.duration() != kNoTime)
        text += ", after " + ms_text(timeline.duration());
    return text;
}

std::string fill_text(const AttemptTimeline& attempt) {
    if (!attempt.fills)
        return ", a plain look";
    if (attempt.fill_source.text() == attempt.target.text())
        return ", no fill";
    return ", fill from " + std::string{attempt.fill_source.text()} + " at rank " +
           std::to_string(attempt.retention);
}

std::string sending_text(const AttemptTimeline& attempt) {
    std::string text = " to " + std::string{attempt.target.text()} + fill_text(attempt);
    if (attempt.max_age > 0)
        text += ", no older than " + ms_text(attempt.max_age);
    if (attempt.timeout > 0)
        text += ", for " + ms_text(attempt.timeout);
    return text;
}

std::string ending_text(const AttemptTimeline& attempt) {
    if (!has_ended(attempt))
        return "still out";
    std::string text = name_text(kAttemptStatusNames, attempt.attempt_status);
    if (attempt.cache_status)
        text += " (" + name_text(kCacheStatusNames, attempt.cache_status) + ")";
    text += " after " + ms_text(attempt.duration);
    if (attempt.fill_wait > 0)
        text += ", waited " + ms_text(attempt.fill_wait) + " for the source";
    return text;
}

// `received_at`: of its request; kNoTime if that was not seen.
std::string attempt_text(const AttemptTimeline& attempt, std::int64_t received_at) {
    std::string text = "    attempt " + std::to_string(attempt.number);
    if (is_sent(attempt)) {
        if (received_at != kNoTime)
            text += " +" + ms_text(attempt.sent_at - received_at);
        text += sending_text(attempt);
    }
    if (attempt.first_byte_at != kNoTime && attempt.first_byte_verdict != FirstByteDue::written)
        text += ", " + name_text(kVerdictNames, attempt.first_byte_verdict) + " at its first byte";
    return text + ": " + ending_text(attempt);
}

}  // namespace

Json::Value json_of(const RequestTimeline& timeline, const Names& names) {
    Json::Value out;
    out["router"] = names.router(timeline.router_index);
    out["call"] = json_number(timeline.request);
    out["outcome"] = outcome_name(timeline);
    if (arrival_seen(timeline))
        put_arrival(out, timeline, names);
    out["attempts"] = Json::Value{Json::arrayValue};
    for (const AttemptTimeline& attempt : timeline.attempts)
        out["attempts"].append(json_of(attempt, timeline.router_index, names));
    if (timeline.closed_at != kNoTime) {
        out["closed"] = time_text(names.unix_ns(timeline.router_index, timeline.closed_at));
        if (arrival_seen(timeline))
            out["took_ms"] = to_ms(timeline.duration());
    }
    if (timeline.answered())
        put_response(out, timeline);
    return out;
}

std::string text_of(const RequestTimeline& timeline, const Names& names) {
    std::string text =
        arrival_text(timeline, names) + ": " + outcome_name(timeline) + response_text(timeline) + '\n';
    for (const AttemptTimeline& attempt : timeline.attempts)
        text += attempt_text(attempt, timeline.received_at) + '\n';
    return text;
}

}  // namespace silverrail::trace
