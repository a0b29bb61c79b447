#include "core/completion.h"

#include <utility>

namespace silverrail::core {

void Completion::complete(ActiveRequest& request, Answer answer) {
    // Guards rule 1 (one final answer): the sink is given up with its answer.
    const auto sink = std::exchange(request.sink, nullptr);
    if (!sink)
        return;
    count(request.class_index, answer.kind);
    if (state_.observer)
        state_.observer->answered(request.id, answer, state_.clock.now());
    sink->reply(std::move(answer));
    state_.guard.answered(request.id);
}

// Every front's requests end here, and nowhere else are they counted.
void Completion::count(std::size_t class_index, Answer::Kind kind) {
    Counters& counters = state_.counters;
    Counters::ByClass unknown_class;
    auto& of_class = class_index < counters.classes.size() ? counters.classes[class_index] : unknown_class;
    switch (kind) {
        case Answer::Kind::served:
            ++counters.served;
            ++of_class.success;
            break;
        case Answer::Kind::not_modified:
            ++counters.unchanged;
            ++of_class.success;
            break;
        case Answer::Kind::redirected:
            ++counters.redirected;
            ++of_class.success;
            break;
        case Answer::Kind::rejected:
            ++counters.refused;
            ++of_class.busy;
            break;
        case Answer::Kind::failed:
            ++counters.failed;
            ++of_class.failure;
            break;
    }
}

Answer served(AttemptResult result) {
    Answer answer;
    answer.kind = result.not_modified ? Answer::Kind::not_modified : Answer::Kind::served;
    answer.body = std::move(result.body);
    answer.tag = std::move(result.tag);
    answer.made_ms = result.made_ms;
    return answer;
}

Answer rejected(Span retry_after, bool timed_out) {
    Answer answer;
    answer.kind = Answer::Kind::rejected;
    answer.retry_after = retry_after;
    answer.timed_out = timed_out;
    return answer;
}

Answer failed(bool timed_out) {
    Answer answer;
    answer.kind = Answer::Kind::failed;
    answer.timed_out = timed_out;
    return answer;
}

Answer redirected(std::string server_address) {
    Answer answer;
    answer.kind = Answer::Kind::redirected;
    answer.server_address = std::move(server_address);
    return answer;
}

}  // namespace silverrail::core
