// Settings and servers shared by the tests.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "core/server_registry.h"

namespace silverrail::core::test {

using namespace std::chrono_literals;

// A router in zone edge-1, with the classes pages (idempotent), lodge (writes) and order (writes with a key).
inline routing::Settings settings() {
    routing::Settings s;
    s.zone = "edge-1";
    s.parent_kind = "parent";
    s.origin_kind = "origin";
    s.server_weights = routing::ServerWeights::nominal;
    s.outcome_detail = routing::OutcomeDetail::all;
    s.cancellation_supported = true;
    s.retry_after_supported = true;
    s.max_retry_after = 500ms;
    s.max_attempts = 6;
    s.purge_effective_within = 500ms;
    s.purge_complete_within = 6s;
    s.slow_start_share = 0.26;
    s.slow_start_duration = 14s;
    s.overload_multiple = 2;
    s.overload_window = 3s;
    s.parent_slow_start_share = 0.068;
    s.parent_slow_start_duration = 21s;
    s.parent_overload_multiple = 2;
    s.classes.push_back({.name = "pages",
                         .latency_objective = 250ms,
                         .client_timeout = 5s,
                         .idempotency = routing::Idempotency::idempotent,
                         .max_age = 8s,
                         .stale_grace = 20s});
    s.classes.push_back({.name = "lodge",
                         .latency_objective = 700ms,
                         .client_timeout = 5s,
                         .idempotency = routing::Idempotency::none,
                         .uncached = true});
    s.classes.push_back({.name = "order",
                         .latency_objective = 700ms,
                         .client_timeout = 5s,
                         .idempotency = routing::Idempotency::keyed,
                         .key_scope = routing::KeyScope::all,
                         .retry_window = 900ms,
                         .uncached = true});
    return s;
}

// An entry of the server list: an edge cache in zone edge-1, or a server of another kind in zone north.
inline Server listed(const std::string& id, const std::string& address, const char* kind = "small-box",
                     routing::Condition condition = routing::Condition::ready) {
    Server server;
    server.entry.id = routing::ServerId{id};
    server.entry.condition = condition;
    server.entry.weight = 10;
    server.entry.zone = std::string_view{kind} == "small-box" ? "edge-1" : "north";
    server.entry.kind = kind;
    server.address = address;
    return server;
}

}  // namespace silverrail::core::test
