// A request that the module knows, with its attempts.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "routing/hot_object_tracker.h"
#include "silverrail/routing/router.h"

namespace silverrail::routing {

// One request sent to a server.
struct Attempt {
    ServerId target;
    std::optional<ServerId> source;  // absent: no fill, or one from the target itself
    Time sent_at{};
    double work = 0;  // expected sending time of the answer, in seconds
    bool in_flight = true;
    bool may_have_run = true;
    bool charged_source = false;  // the source's slow-start budget was charged for it
    bool known_miss = false;      // an earlier attempt found that the target holds no copy
    bool only_if_cached = false;  // the parent was asked for no more than what it holds
    bool runs_at_origin = false;  // certain to be the origin's work
    bool found_nothing = false;   // ended as a miss, which is no failure
    bool hung = false;            // left without an answer by a server that answers other requests
    bool direct_read = false;     // sent past the edge caches: all its bytes use the zone's link
};

struct OpenRequest {
    Request request;
    std::vector<Attempt> attempts;
    Popularity popularity = Popularity::newcomer;
    bool streaming = false;     // the response has begun: it belongs to the client
    bool answered = false;      // it has its final answer and is kept only until its attempts end
    int silent_caches = 0;      // attempts on which an edge cache was found silent
    bool cache_missed = false;  // an edge cache holds no copy: the next attempt is certain to be a fill
    bool parent_missed =
        false;  // the parent holds no copy: the next attempt is certain to be the origin's work

    const Attempt* attempt_in_flight() const {
        return attempts.empty() || !attempts.back().in_flight ? nullptr : &attempts.back();
    }
};

using OpenRequests = std::map<RequestId, OpenRequest>;

}  // namespace silverrail::routing
