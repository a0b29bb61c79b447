#include "core/relay.h"

#include <utility>

namespace silverrail::core {

// Guards rule 1 (one final answer): the sink is given up with its answer.
bool Relay::answer(OpenCall& open, Answer answer) {
    auto sink = std::exchange(open.sink, nullptr);
    if (!sink)
        return false;
    count(open.class_index, answer.kind);
    if (observer_)
        observer_->answered(open.id, answer, clock_->now());
    sink->reply(std::move(answer));
    return true;
}

// The one place where a call's end is counted, whichever front it came through.
void Relay::count(std::size_t class_index, Answer::Kind kind) {
    Counters::ByClass none;
    auto& of_class = class_index < counters_.classes.size() ? counters_.classes[class_index] : none;
    switch (kind) {
        case Answer::Kind::served:
            ++counters_.served, ++of_class.success;
            break;
        case Answer::Kind::unchanged:
            ++counters_.unchanged, ++of_class.success;
            break;
        case Answer::Kind::redirected:
            ++counters_.redirected, ++of_class.success;
            break;
        case Answer::Kind::refused:
            ++counters_.refused, ++of_class.busy;
            break;
        case Answer::Kind::failed:
            ++counters_.failed, ++of_class.failure;
            break;
    }
}

Answer Relay::served(AttemptEnd end) {
    Answer a;
    a.kind = end.unchanged ? Answer::Kind::unchanged : Answer::Kind::served;
    a.body = std::move(end.body);
    a.tag = std::move(end.tag);
    a.made_ms = end.made_ms;
    return a;
}

Answer Relay::refused(Span hold_off, bool timed_out) {
    Answer a;
    a.kind = Answer::Kind::refused;
    a.hold_off = hold_off;
    a.timed_out = timed_out;
    return a;
}

Answer Relay::failed(bool timed_out) {
    Answer a;
    a.timed_out = timed_out;
    return a;
}

Answer Relay::redirected(std::string address) {
    Answer a;
    a.kind = Answer::Kind::redirected;
    a.server_address = std::move(address);
    return a;
}

}  // namespace silverrail::core
