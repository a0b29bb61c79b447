// The simulator's protocol and the platform's configuration file must yield the same module settings.
#include "check.h"
#include "config/config.h"
#include "settings.h"

using namespace silverrail;
using namespace std::chrono_literals;

namespace {

void both_formats_yield_the_same_settings() {
    const auto json = config::parse_json(R"({"listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","settings":{
        "allowed":{"cancel":true,"conn-idle":15000000000,"connect-timeout":400000000,"max-retry-after":500000000,
            "retry-after":true,"try-limit":6},
        "balancers":4,"classes":[{"aim":400000000,"aim-stretch":1.6,"effect":"pure","give-up":5000000000,
            "group":"all","late-worth":0.15,"name":"bulk-files","window":5000000000,"worth":2.0},
            {"aim":700000000,"effect":"side_effect","give-up":3000000000,"group":"zone","name":"lodge"}],
        "dcs":["north","edge-1"],"kinds":["small-box","parent","origin"],"weights":"rough","zone":"edge-1",
        "family-info":{"bypass-allowed":false,"class-grace":[0,20000000000],"cleared-within":6000000000,
            "detail":"all","heed-within":500000000,"max-age":[0,8000000000],"one-flow-kb-per-s":2800.0,
            "origin-kind":2,"parent-limit-factor":2.0,"parent-warms-in":21000000000,"pipe-kb-per-s":[0.0,40368.5],
            "second-tier-kind":1,"segmented":[false,true],"shares-fills":true,"stale-earns":[0.7,0.5],
            "uncached":[false,true],"upper-cold-from":0.068,"zone-balancers":[0,2]},
        "invariants":{"cold":14000000000,"cold-from":0.26,"fall":3000000000,"tip-multiple":2.0}}})");
    const auto from_file = config::parse_config(*json);
    const std::string pairs =
        "allowed.cancel=true allowed.max-retry-after=500000000 allowed.retry-after=true allowed.try-limit=6 "
        "balancers=4 classes.count=2 classes.0.aim=400000000 classes.0.aim-stretch=1.6 "
        "classes.0.effect=pure "
        "classes.0.give-up=5000000000 classes.0.group=all classes.0.late-worth=0.15 "
        "classes.0.name=bulk-files "
        "classes.0.window=5000000000 classes.0.worth=2.0 classes.1.aim=700000000 "
        "classes.1.effect=side_effect "
        "classes.1.give-up=3000000000 classes.1.group=zone classes.1.name=lodge dcs=north,edge-1 "
        "kinds=small-box,parent,origin weights=rough zone=edge-1 family-info.bypass-allowed=false "
        "family-info.class-grace=0,20000000000 family-info.cleared-within=6000000000 family-info.detail=all "
        "family-info.heed-within=500000000 family-info.max-age=0,8000000000 "
        "family-info.one-flow-kb-per-s=2800.0 "
        "family-info.origin-kind=2 family-info.parent-limit-factor=2.0 "
        "family-info.parent-warms-in=21000000000 "
        "family-info.pipe-kb-per-s=0.0,40368.5 family-info.second-tier-kind=1 "
        "family-info.segmented=false,true "
        "family-info.shares-fills=true family-info.stale-earns=0.7,0.5 family-info.uncached=false,true "
        "family-info.upper-cold-from=0.068 family-info.zone-balancers=0,2 invariants.cold=14000000000 "
        "invariants.cold-from=0.26 invariants.fall=3000000000 invariants.tip-multiple=2.0";
    const auto a = routing::adapter::parse_settings(routing::adapter::split(pairs, ' '));
    const auto& b = from_file.settings;
    const auto module_values = [](const routing::Settings& s) {
        return std::tuple{s.zone,
                          s.routers,
                          s.routers_in_zone,
                          s.parent_kind,
                          s.origin_kind,
                          s.server_weights,
                          s.max_response_kb_per_s,
                          s.zone_link_kb_per_s,
                          s.outcome_detail,
                          s.cancellation_supported,
                          s.retry_after_supported,
                          s.cache_bypass_supported,
                          s.coalescing_supported,
                          s.max_retry_after,
                          s.max_attempts,
                          s.purge_effective_within,
                          s.purge_complete_within,
                          s.slow_start_share,
                          s.slow_start_duration,
                          s.overload_multiple,
                          s.overload_window,
                          s.parent_slow_start_share,
                          s.parent_slow_start_duration,
                          s.parent_overload_multiple};
    };
    const auto class_values = [](const routing::ClassSettings& c) {
        return std::tuple{c.name,           c.latency_objective, c.objective_transfer_factor,
                          c.client_timeout, c.priority_weight,   c.late_weight,
                          c.idempotency,    c.key_scope,         c.retry_window,
                          c.max_age,        c.stale_grace,       c.stale_weight,
                          c.segmented,      c.uncached};
    };
    CHECK(module_values(a) == module_values(b) && a.classes.size() == 2 && b.classes.size() == 2);
    for (std::size_t i = 0; i < 2; ++i)
        CHECK(class_values(a.classes[i]) == class_values(b.classes[i]));
    CHECK(b.parent_kind == "parent" && b.routers_in_zone == 2 && b.classes[1].uncached);
    CHECK(from_file.connect_timeout == 400ms && from_file.seed == 0x8c1f30d27a5be964);
    auto broken = *json;
    broken["settings"]["classes"][0]["aim"] = "soon";
    try {
        (void)config::parse_config(broken);
        CHECK(!"an invalid value was accepted");
    } catch (const config::ConfigError& e) {
        CHECK(std::string_view{e.what()}.find("settings.classes.0.aim") != std::string_view::npos);
    }
}

}  // namespace

int main() {
    both_formats_yield_the_same_settings();
    std::puts("settings formats: all cases passed");
}
