#include "core/completion.h"

#include <utility>

namespace silverrail::core {

void Completion::complete(ActiveRequest& request, ClientResponse answer) {
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
void Completion::count(std::size_t class_index, ClientResponse::Kind kind) {
    Counters& counters = state_.counters;
    Counters::ByClass unknown_class;
    auto& of_class = class_index < counters.classes.size() ? counters.classes[class_index] : unknown_class;
    switch (kind) {
        case ClientResponse::Kind::served:
            ++counters.served;
            ++of_class.success;
            break;
        case ClientResponse::Kind::not_modified:
            ++counters.unchanged;
            ++of_class.success;
            break;
        case ClientResponse::Kind::redirected:
            ++counters.redirected;
            ++of_class.success;
            break;
        case ClientResponse::Kind::rejected:
            ++counters.refused;
            ++of_class.busy;
            break;
        case ClientResponse::Kind::failed:
            ++counters.failed;
            ++of_class.failure;
            break;
    }
}

ClientResponse served(AttemptResult result) {
    ClientResponse answer;
    answer.kind = result.not_modified ? ClientResponse::Kind::not_modified : ClientResponse::Kind::served;
    answer.body = std::move(result.body);
    answer.tag = std::move(result.tag);
    answer.generated_ms = result.generated_ms;
    return answer;
}

ClientResponse rejected(Span retry_after, bool timed_out) {
    ClientResponse answer;
    answer.kind = ClientResponse::Kind::rejected;
    answer.retry_after = retry_after;
    answer.timed_out = timed_out;
    return answer;
}

ClientResponse failed(bool timed_out) {
    ClientResponse answer;
    answer.kind = ClientResponse::Kind::failed;
    answer.timed_out = timed_out;
    return answer;
}

ClientResponse redirected(std::string server_address) {
    ClientResponse answer;
    answer.kind = ClientResponse::Kind::redirected;
    answer.server_address = std::move(server_address);
    return answer;
}

}  // namespace silverrail::core
