#include "core/completion.h"

#include <utility>

namespace silverrail::core {

void Completion::complete(ActiveRequest& request, ClientResponse response) {
    // Guards rule 1 (one final response): the sink is released with the first response.
    const auto sink = std::exchange(request.sink, nullptr);
    if (!sink)
        return;
    count(request.class_index, response.kind);
    if (state_.observer)
        state_.observer->answered(request.id, response, state_.clock.now());
    sink->reply(std::move(response));
    state_.guard.answered(request.id);
}

// The only place where responses are counted, for all front ends.
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
    ClientResponse response;
    response.kind = result.not_modified ? ClientResponse::Kind::not_modified : ClientResponse::Kind::served;
    response.body = std::move(result.body);
    response.tag = std::move(result.tag);
    response.generated_ms = result.generated_ms;
    return response;
}

ClientResponse rejected(Span retry_after, bool timed_out) {
    ClientResponse response;
    response.kind = ClientResponse::Kind::rejected;
    response.retry_after = retry_after;
    response.timed_out = timed_out;
    return response;
}

ClientResponse failed(bool timed_out) {
    ClientResponse response;
    response.kind = ClientResponse::Kind::failed;
    response.timed_out = timed_out;
    return response;
}

ClientResponse redirected(std::string server_address) {
    ClientResponse response;
    response.kind = ClientResponse::Kind::redirected;
    response.server_address = std::move(server_address);
    return response;
}

}  // namespace silverrail::core
