// Relay: the one final answer.
#pragma once

#include "core/counters.h"
#include "core/observer.h"
#include "core/open_call.h"

namespace silverrail::core {

class Relay {
public:
    explicit Relay(Counters& counters) : counters_(counters) {}
    void watch(Observer* observer, const Clock* clock) {
        observer_ = observer;
        clock_ = clock;
    }
    // False: it had its answer before.
    bool answer(OpenCall& open, Answer answer);
    static Answer served(AttemptEnd end);
    static Answer refused(Span hold_off, bool timed_out);
    static Answer failed(bool timed_out);
    static Answer redirected(std::string address);

private:
    void count(std::size_t class_index, Answer::Kind kind);
    Counters& counters_;
    Observer* observer_ = nullptr;
    const Clock* clock_ = nullptr;
};

}  // namespace silverrail::core
