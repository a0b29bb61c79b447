#include "trace/model/selection.h"

#include <algorithm>
#include <charconv>

#include "trace/model/enum_names.h"

namespace silverrail::trace::model {

namespace {

constexpr std::string_view kOpen = "open";
constexpr std::string_view kClientClosed = "abandoned";
constexpr std::string_view kNotAdmitted = "turned_away";

template <class List, class Value>
bool contains(const List& list, const Value& value) {
    return std::find(list.begin(), list.end(), value) != list.end();
}

bool has_outcome(const RequestTimeline& timeline, std::string_view outcome) {
    if (outcome == kOpen)
        return !timeline.closed();
    if (outcome == kClientClosed)
        return timeline.closed() && timeline.client_closed;
    if (outcome == kNotAdmitted)
        return timeline.not_admitted();
    if (const auto kind = enum_value(kResponseKindNames, outcome))
        return timeline.answered() && timeline.response_kind == *kind;
    const auto status = enum_value(kAttemptStatusNames, outcome);
    return status && std::any_of(timeline.attempts.begin(), timeline.attempts.end(),
                                 [status](const AttemptTimeline& attempt) {
                                     return attempt.ended() && attempt.attempt_status == *status;
                                 });
}

bool has_client_request_id(const RequestTimeline& timeline, const std::string& id) {
    if (!timeline.client_request_id.empty())
        return timeline.client_request_id.text() == id;
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number, 16);
    return id.size() == 16 && error == std::errc{} && end == id.data() + id.size() &&
           timeline.received.client_request_number == number;
}

}  // namespace

const std::string* Selection::unknown_outcome() const {
    const auto unknown = std::find_if(outcomes.begin(), outcomes.end(), [](const std::string& name) {
        return name != kOpen && name != kClientClosed && name != kNotAdmitted &&
               !enum_value(kResponseKindNames, name) && !enum_value(kAttemptStatusNames, name);
    });
    return unknown == outcomes.end() ? nullptr : &*unknown;
}

bool Selection::matches(const RequestTimeline& timeline, std::string_view class_name) const {
    const auto matches_any = [](const auto& list, auto predicate) {
        return list.empty() || std::any_of(list.begin(), list.end(), predicate);
    };
    if (!classes.empty() && !contains(classes, class_name))
        return false;
    if (!objects.empty() && (!timeline.received_seen() || !contains(objects, timeline.received.object)))
        return false;
    if (!client_request_ids.empty() && !timeline.received_seen())
        return false;
    if (!matches_any(client_request_ids,
                     [&](const std::string& id) { return has_client_request_id(timeline, id); }))
        return false;
    if (!matches_any(outcomes, [&](const std::string& outcome) { return has_outcome(timeline, outcome); }))
        return false;
    return servers.empty() || std::any_of(timeline.attempts.begin(), timeline.attempts.end(),
                                          [this](const AttemptTimeline& attempt) {
                                              return contains(servers, attempt.target.text()) ||
                                                     contains(servers, attempt.fill_source.text());
                                          });
}

std::optional<std::uint64_t> request_of(const Body& body) {
    return std::visit(
        []<class T>(const T& fields) -> std::optional<std::uint64_t> {
            if constexpr (requires { fields.request; })
                return fields.request;
            else
                return std::nullopt;
        },
        body);
}

}  // namespace silverrail::trace::model
