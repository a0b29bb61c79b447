// Test fixture: a Router with a small set of servers, a clock that the test advances, and the latest actions.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "silverrail/routing/router.h"

namespace silverrail::routing::testing {

using namespace std::chrono_literals;

inline Settings default_settings() {
    Settings s;
    s.zone = "bay";
    s.parent_kind = "parent";
    s.origin_kind = "origin";
    s.max_attempts = 4;
    s.cancellation_supported = true;
    s.cache_bypass_supported = true;
    s.outcome_detail = OutcomeDetail::all;
    s.purge_effective_within = 300ms;
    s.purge_complete_within = 6s;
    s.classes.push_back({.name = "tile",
                         .latency_objective = 400ms,
                         .client_timeout = 4s,
                         .idempotency = Idempotency::idempotent});
    s.classes.push_back({.name = "save",
                         .latency_objective = 400ms,
                         .client_timeout = 4s,
                         .idempotency = Idempotency::keyed,
                         .key_scope = KeyScope::all,
                         .retry_window = 2s,
                         .uncached = true});
    s.classes.push_back({.name = "order",
                         .latency_objective = 400ms,
                         .client_timeout = 4s,
                         .idempotency = Idempotency::none,
                         .uncached = true});
    return s;
}

inline ListedServer listed(std::string address, std::string zone, std::string kind) {
    return {.id = {std::move(address)}, .weight = 8, .zone = std::move(zone), .kind = std::move(kind)};
}

inline ServerList default_servers(int caches = 3, int parents = 2, bool origin = true) {
    ServerList list{.complete = true};
    for (int i = 1; i <= caches; ++i)
        list.servers.push_back(listed("c" + std::to_string(i), "bay", "cache"));
    for (int i = 1; i <= parents; ++i)
        list.servers.push_back(listed("p" + std::to_string(i), "hub", "parent"));
    if (origin)
        list.servers.push_back(listed("origin", "hub", "origin"));
    return list;
}

class TestRouter {
public:
    explicit TestRouter(Settings settings = default_settings(),
                        const ServerList& server_list = default_servers())
        : instance{std::move(settings), 7} {
        handle(server_list);
    }

    std::vector<Action> handle(const Event& event) {
        return last_actions = instance.on(event, now);
    }
    void advance(Span span) {
        now += span;
    }

    // Sends a new request and returns its id.
    RequestId request(std::uint64_t object, std::size_t class_index = 0, Span timeout = 4s,
                      GroupId group = {}) {
        const RequestId id{++last_id};
        handle(Request{.id = id,
                       .class_index = class_index,
                       .object = ObjectId{object},
                       .group = group,
                       .deadline = now + timeout});
        return id;
    }
    std::vector<Action> end_attempt(RequestId id, AttemptStatus attempt_status,
                                    CacheStatus cache_status = CacheStatus::none, std::uint32_t attempt = 0,
                                    bool completed = false) {
        return handle(Outcome{.request = id,
                              .attempt = attempt,
                              .attempt_status = attempt_status,
                              .duration = 50ms,
                              .request_completed = completed || attempt_status == AttemptStatus::success,
                              .cache_status = cache_status});
    }
    // Sends a request that succeeds immediately if the router sends it on. Returns the Send action, if any.
    std::optional<Send> serve(std::uint64_t object, CacheStatus cache_status = CacheStatus::hit) {
        const RequestId id = request(object);
        const auto send = find_action<Send>();
        if (send)
            end_attempt(id, AttemptStatus::success, cache_status);
        return send;
    }
    template <class Kind>
    std::optional<Kind> find_action() const {
        for (const Action& a : last_actions)
            if (const auto* found = std::get_if<Kind>(&a))
                return *found;
        return std::nullopt;
    }
    std::string target() const {
        return find_action<Send>() ? find_action<Send>()->target.address : "";
    }
    std::string source() const {
        return find_action<Send>() && find_action<Send>()->fill ? find_action<Send>()->fill->source.address
                                                                : "";
    }
    ListedServer listed_server(const std::string& address, Condition condition) const {
        const bool cache = address[0] == 'c';
        auto entry = listed(address, cache ? "bay" : "hub",
                            cache               ? "cache"
                            : address[0] == 'p' ? "parent"
                                                : "origin");
        entry.condition = condition;
        return entry;
    }
    void set_condition(const std::string& address, Condition condition) {
        handle(ServerList{.complete = false, .servers = {listed_server(address, condition)}});
    }
    void restart(const std::string& address, Time since) {
        auto entry = listed_server(address, Condition::ready);
        entry.started_at = since;
        handle(ServerList{.complete = false, .servers = {entry}});
    }

    Router instance;
    Time now{100s};
    std::vector<Action> last_actions;
    std::uint64_t last_id = 0;
};

}  // namespace silverrail::routing::testing
