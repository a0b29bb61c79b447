// The example in README.md: a program that embeds the library.
#include "embed_example.h"

#include "silverrail/routing/router.h"

namespace embed_example {

using namespace silverrail::routing;
using namespace std::chrono_literals;

std::string first_target() {
    Settings settings;
    settings.zone = "harbour";
    settings.parent_kind = "parent";
    settings.origin_kind = "origin";
    settings.max_attempts = 3;
    settings.cancellation_supported = true;
    settings.classes.push_back({.name = "page",
                                .latency_objective = 250ms,
                                .client_timeout = 2s,
                                .idempotency = Idempotency::idempotent});

    Router router{settings, 1};
    const Time start{1s};  // of the program's steady clock
    ServerList list{.complete = true};
    list.servers.push_back({.id = {"10.0.0.1:80"}, .zone = "harbour", .kind = "cache"});
    list.servers.push_back({.id = {"10.0.1.1:80"}, .zone = "hub", .kind = "parent"});
    list.servers.push_back({.id = {"10.0.2.1:80"}, .zone = "hub", .kind = "origin"});
    (void)router.on(list, start);

    const Request request{.id = RequestId{1}, .object = ObjectId{42}, .deadline = start + 2s};
    std::string target;
    for (const Action& action : router.on(request, start))
        if (const auto* send = std::get_if<Send>(&action))
            target = send->target.address;
    return target;
}

}  // namespace embed_example
