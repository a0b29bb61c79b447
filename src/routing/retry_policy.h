// Retries: when a request may be sent again without running twice, and the retry budget.
#pragma once

#include <algorithm>
#include <optional>

#include "routing/open_request.h"
#include "routing/server_table.h"

namespace silverrail::routing {

class RetryPolicy {
public:
    // Both must outlive it.
    RetryPolicy(const Settings& settings, const ServerTable& servers)
        : settings_(settings), servers_(servers) {}

    // May the request be sent to `target` now? Never two attempts at once, and a request that is not
    // idempotent never where an earlier attempt may have run and the repeat would not be recognised.
    bool may_send(const OpenRequest& open, const ServerState& target, Time now) const;

    // The end of the window in which repeats of a keyed request are recognised; absent unless an attempt of
    // it may have run.
    std::optional<Time> retry_before(const OpenRequest& open) const;

    // Is it true to tell the client that trying again is harmless?
    bool may_reject(const OpenRequest& open) const;

    bool has_attempts_left(const OpenRequest& open) const {
        return static_cast<int>(open.attempts.size()) < settings_.max_attempts;
    }

private:
    const ClassSettings& class_of(const OpenRequest& open) const {
        return settings_.classes[open.request.class_index];
    }
    bool shares_keys(KeyScope scope, const ServerId& earlier, const ServerState& target) const;

    const Settings& settings_;
    const ServerTable& servers_;
};

// Bounds the retries of a router to a share of its requests, with a burst.
class RetryBudget {
public:
    void record_request() {
        tokens_ = std::min(kBurst, tokens_ + kShare);
    }
    // Takes a token for a retry; false: there is none.
    bool try_withdraw() {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }
    // Is there enough left for retries that are less urgent?
    bool has_reserve() const {
        return tokens_ > kBurst / 4;
    }

private:
    static constexpr double kShare = 0.2;  // retries for each request
    static constexpr double kBurst = 20;   // retries; what one server holds when it dies
    double tokens_ = kBurst;
};

}  // namespace silverrail::routing
