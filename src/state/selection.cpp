#include "state/selection.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "state/words.h"

namespace silverrail::state {

namespace {

template <class List, class Value>
bool holds(const List& list, const Value& value) {
    return std::find(list.begin(), list.end(), value) != list.end();
}

bool is(const Story& s, std::string_view outcome) {
    if (outcome == "open")
        return s.closed_at == kNoTime;
    if (outcome == "abandoned")
        return s.closed_at != kNoTime && s.abandoned;
    if (outcome == "turned_away")
        return s.turned_away();
    if (const auto kind = number_of(kAnswerWords, outcome))
        return s.answered() && s.kind == *kind;
    const auto attempt_status = number_of(kEndingWords, outcome);
    return attempt_status && std::any_of(s.attempts.begin(), s.attempts.end(), [&](const AttemptStory& a) {
               return a.ended_at != kNoTime && a.attempt_status == *attempt_status;
           });
}

bool has_trace(const Story& s, const std::string& wanted) {
    if (!s.trace.empty())
        return s.trace.text() == wanted;
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(wanted.data(), wanted.data() + wanted.size(), number, 16);
    return wanted.size() == 16 && error == std::errc{} && end == wanted.data() + wanted.size() &&
           s.taken.trace_id == number;
}

}  // namespace

const std::string* Selection::unknown_outcome() const {
    for (const std::string& o : outcomes)
        if (o != "open" && o != "abandoned" && o != "turned_away" && !number_of(kAnswerWords, o) &&
            !number_of(kEndingWords, o))
            return &o;
    return nullptr;
}

bool Selection::wants(const Story& s, std::string_view class_name) const {
    if (!classes.empty() && !holds(classes, class_name))
        return false;
    if (!objects.empty() && (s.taken_at == kNoTime || !holds(objects, s.taken.object)))
        return false;
    if (!traces.empty() &&
        (s.taken_at == kNoTime ||
         std::none_of(traces.begin(), traces.end(), [&](const auto& t) { return has_trace(s, t); })))
        return false;
    if (!outcomes.empty() &&
        std::none_of(outcomes.begin(), outcomes.end(), [&](const auto& o) { return is(s, o); }))
        return false;
    if (!servers.empty() && std::none_of(s.attempts.begin(), s.attempts.end(), [&](const AttemptStory& a) {
            return holds(servers, a.target.text()) || holds(servers, a.source.text());
        }))
        return false;
    return true;
}

std::optional<std::uint64_t> call_of(const Body& body) {
    return std::visit(
        []<class T>(const T& b) -> std::optional<std::uint64_t> {
            if constexpr (requires { b.call; })
                return b.call;
            else
                return std::nullopt;
        },
        body);
}

}  // namespace silverrail::state
