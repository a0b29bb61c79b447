// Decides which responses the response cache may hold although purges may have been missed.
//
// Discovery tells what was missed after an interruption in order, but neither how much that is nor when it
// has told all of it: further events, comments and quiet may each come before the last of them. So what is
// used instead is what the servers guarantee: some time after a purge none of them holds a copy from before
// it, whether or not this router has received the purge.
#pragma once

#include "core/types.h"

namespace silverrail::core {

class PurgeCoverage {
public:
    // `cleared_after`: after this delay from a purge, no server holds a copy older than the purge.
    explicit PurgeCoverage(Span cleared_after) : cleared_after_(cleared_after) {}

    // Discovery's event stream was opened or interrupted. While it is open, new events are received.
    void set_connected(bool connected, Time now) {
        connected_ = connected;
        missed_before_ = now;
    }
    // Purges issued until now may still be missing on the open stream, or were lost.
    void purges_missed(Time now) {
        missed_before_ = now;
    }
    bool connected() const {
        return connected_;
    }
    // Whether a response to a request sent to a server at `requested` predates no purge that was missed.
    bool covers(Time requested) const {
        return connected_ && requested >= missed_before_ + cleared_after_;
    }

private:
    Span cleared_after_;
    Time missed_before_{};
    bool connected_ = false;
};

}  // namespace silverrail::core
