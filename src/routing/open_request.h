// State of a request that has not been completed or still has an attempt in flight.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/hot_object_tracker.h"
#include "silverrail/routing/router.h"

namespace silverrail::routing {

// One request sent to a server.
struct Attempt {
    ServerId target;
    std::uint32_t target_process = 0;  // see ServerState
    CellId target_cell{};              // where the target stood when it was sent
    std::string target_zone;
    std::optional<ServerId> source;  // absent: no fill, or one from the target itself
    std::uint32_t source_process = 0;
    Time sent_at{};
    double work = 0;  // expected sending time of the response, in seconds
    bool in_flight = true;
    bool may_have_run = true;
    bool charged_source = false;  // the attempt was charged to the source's slow-start budget
    bool known_miss = false;      // an earlier attempt found that the target holds no copy
    bool only_if_cached = false;  // the parent was asked for a cached copy only
    bool runs_at_origin = false;  // known to be handled by the origin
    bool first_miss = false;      // ended as a first miss, which is not a failure
    bool hung = false;            // got no response while its server responded to other requests
    bool direct_read = false;     // bypassed the edge caches, so that the response uses the zone's link
};

struct OpenRequest {
    Request request;
    std::vector<Attempt> attempts;
    Popularity popularity = Popularity::untracked;
    bool streaming = false;       // the response is being sent to the client: no further attempt
    bool completed = false;       // has its final response; kept only until its attempts end
    int unresponsive_caches = 0;  // attempts whose edge cache was found unresponsive
    bool cache_missed = false;    // an edge cache has no copy: the next attempt is known to be a fill
    // The parent has no copy: the next attempt is known to be handled by the origin.
    bool parent_missed = false;

    const Attempt* attempt_in_flight() const {
        return attempts.empty() || !attempts.back().in_flight ? nullptr : &attempts.back();
    }
};

using OpenRequests = std::map<RequestId, OpenRequest>;

}  // namespace silverrail::routing
