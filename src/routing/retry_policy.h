// Decides when a request may be retried without running twice, and bounds retries by a budget.
#pragma once

#include <algorithm>
#include <optional>

#include "routing/open_request.h"
#include "routing/server_table.h"

namespace silverrail::routing {

class RetryPolicy {
public:
    // Both must outlive the policy.
    RetryPolicy(const Settings& settings, const ServerTable& servers)
        : settings_(settings), servers_(servers) {}

    // True if the request may be sent to `target` now. A request never has two attempts in flight. One that
    // is not idempotent is not sent again if an earlier attempt may have run and `target` would not
    // recognise the repeat.
    bool may_send(const OpenRequest& open, const ServerState& target, Time now) const;

    // End of the window in which repeats of a keyed request are recognised; absent unless an attempt may
    // have run.
    std::optional<Time> retry_window_end(const OpenRequest& open) const;

    // True if the client can safely be told that it may retry.
    bool may_reject(const OpenRequest& open) const;

    bool has_attempts_left(const OpenRequest& open) const {
        return static_cast<int>(open.attempts.size()) < settings_.max_attempts;
    }

private:
    const ClassSettings& class_of(const OpenRequest& open) const {
        return settings_.classes[open.request.class_index];
    }
    bool shares_keys(KeyScope scope, const Attempt& earlier, const ServerState& target) const;

    const Settings& settings_;
    const ServerTable& servers_;
};

// Token bucket that limits the retries of a router to a share of its requests plus a burst.
class RetryBudget {
public:
    void record_request() {
        tokens_ = std::min(kBurst, tokens_ + kShare);
    }
    // Takes a token for a retry. Returns false if there is none.
    bool try_withdraw() {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }
    // True if enough tokens are left for lower-priority retries.
    bool has_reserve() const {
        return tokens_ > kBurst / 4;
    }

private:
    static constexpr double kShare = 0.2;  // tokens per request
    static constexpr double kBurst = 20;   // tokens; about the requests in flight at one server when it fails
    double tokens_ = kBurst;
};

}  // namespace silverrail::routing
