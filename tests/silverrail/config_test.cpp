// The settings files and discovery's events: tables of cases, well-formed and not.
#include "config/config.h"

#include <functional>

#include "check.h"
#include "config/discovery_event.h"
#include "config/operator_settings.h"

using namespace silverrail;

namespace {

std::vector<std::string> texts(const std::vector<config::ConfigProblem>& problems) {
    std::vector<std::string> out;
    for (const auto& problem : problems)
        out.push_back(problem.text());
    return out;
}

// Each problem of a section makes the file unusable.
void operator_file_is_checked() {
    struct Case {
        const char* json;
        bool good;
    };
    const Case cases[] = {
        {R"({})", true},
        {R"({"dns":{"udp":"127.0.0.1:0","zone":"z.example","server":"ns.z.example"}})", true},
        {R"({"dns":{"udp":"127.0.0.1:0"}})", false},
        {R"({"dns":{"udp":"nowhere","zone":"z.example","server":"ns.z.example"}})", false},
        {R"({"dns":{"ttl_s":2}})", false},  // would outlive the grace of a drain
        {R"({"dns":3})", false},
        {R"({"acme":{"directory":"https://ca.example/"}})", false},  // nothing to answer its challenge
        {R"({"trace":{"folder":"/tmp/t","most_mb":100,"leave_out":["clients"]}})", true},
        {R"({"trace":{"folder":"/tmp/t","flight_mb":4,"dump":{"at_failed_share":0.2}}})", true},
        {R"({"trace":{"dump":{"at_failed_share":0.2}}})", false},  // nothing is kept that could be dumped
        {R"({"trace":{"flight_mb":4}})", false},                   // nowhere to dump to
        {R"({"trace":{"folder":"/tmp/t","most_mb":10,"file_mb":6}})", false},
        {R"({"trace":{"leave_out":["names"]}})", false},
        {R"({"trace":{"queue_kb":1.5}})", false},
        {R"({"tracing":{}})", false},
        {R"([])", false},
    };
    for (const Case& c : cases)
        CHECK(config::parse_operator(*config::parse_json(c.json)).problems.empty() == c.good);
}

void all_problems_are_reported_with_their_whole_path() {
    const auto checked = config::parse_operator(
        *config::parse_json(R"({"dns":{"ttl_s":7},"trace":{"most_mb":0,"dump":{"share":1}},"x":1})"));
    const std::vector<std::string> expected{"dns.ttl_s: expected a whole number from 0 to 1",
                                            "trace.most_mb: expected a whole number from 1 to 1048576",
                                            "trace.dump.share: no such setting", "x: no such setting"};
    CHECK(texts(checked.problems) == expected);
    CHECK(checked.problems.at(2).path == "trace.dump.share" &&
          checked.problems.at(2).problem == "no such setting");
}

// Absent: off. Present: each wrong key is reported by its path.
void peers_section_is_checked() {
    const struct {
        const char* json;
        std::vector<std::string> problems;
    } cases[] = {
        {R"({})", {}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","seeds":["127.0.0.2:7946"]}})", {}},
        {R"({"peers":{"name":"a"}})", {"peers.bind: needed: where the peers' port is"}},
        {R"({"peers":{"bind":"127.0.0.1:7946"}})", {"peers.name: needed, of 1 to 64 bytes"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","seeds":"x"}})",
         {"peers.seeds: expected a list of at most 64 texts"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","seeds":["nowhere"]}})",
         {"peers.seeds: not an address and a port: nowhere"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","probe_ms":100,"probe_timeout_ms":100}})",
         {"peers.probe_timeout_ms: must be shorter than probe_ms"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","probe_ms":5}})",
         {"peers.probe_ms: expected a whole number from 10 to 60000"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","zone":"zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz"}})",
         {"peers.zone: at most 32 bytes"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","hearsay_ms":500}})",
         {"peers.hearsay_ms: 0, or 1000 to 30000"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","zone":"z1","failover":{"hold_ms":2000,"zones":[
            {"name":"z1","region":"r1","routers":3},{"name":"z2","region":"r1","routers":3}]}}})",
         {}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","zone":"z9","failover":{"panic":2,"zones":[
            {"name":"z1","region":"r1","routers":0},{"name":"z1","region":"r=1","routers":3,"x":1}]}}})",
         {"peers.failover.zones.0.routers: expected a whole number from 1 to 10000",
          "peers.failover.zones.0.routers: needed: how many the zone has",
          "peers.failover.zones.1.region: needed, of 1 to 32 plain letters without '='",
          "peers.failover.zones.1.name: given twice: z1", "peers.failover.zones.1.x: no such setting",
          "peers.failover.panic: expected a number from 0 to 1",
          "peers.failover.zones: this router's own zone is not among them: z9"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","zone":"z1","failover":{"zones":{}}}})",
         {"peers.failover.zones: expected a list of at most 64",
          "peers.failover.zones: this router's own zone is not among them: z1"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","gossip":1}})", {"peers.gossip: no such setting"}},
    };
    for (const auto& c : cases) {
        const auto checked = config::parse_operator(*config::parse_json(c.json));
        const auto found = texts(checked.problems);
        if (found != c.problems) {
            for (const auto& f : found)
                std::fprintf(stderr, "%s: %s\n", c.json, f.c_str());
            CHECK(false);
        }
        CHECK(checked.settings.peers.on() ==
              (std::string_view{c.json}.find("bind") != std::string_view::npos));
    }
}

void endpoints_are_parsed() {
    CHECK(config::parse_endpoint("[::1]:53")->host == "::1");
    for (const char* bad : {"", ":1", "h", "h:", "h:x", "h:65536"})
        CHECK(!config::parse_endpoint(bad));
}

void discovery_events_are_parsed_or_refused() {
    struct Case {
        const char* json;
        bool good;
    };
    const Case cases[] = {
        {R"({"no":1,"roster":{"full":true,"servers":[{"id":"a","addr":"h:1","state":"active"}]}})", true},
        {R"({"no":2,"recall":{"item":"7f3a9c21e0b4d655","issued":5}})", true},
        {R"({"no":3,"recall":{"lot":17,"issued":5}})", true},
        {R"({"no":3,"recall":{"issued":5}})", false},
        {R"({"no":3,"recall":{"item":"not hex","issued":5}})", false},
        {R"({"no":4,"roster":{"servers":3}})", false},
        {R"({"no":4,"roster":{"servers":[3]}})", false},
        {R"([1])", false},
        {R"({"no":4})", false},
        // Numbers past what a whole one holds here are no reason to end.
        {R"({"no":18446744073709551615,"recall":{"lot":17,"issued":18446744073709551615}})", true},
        {R"({"no":1e300,"recall":{"lot":17,"issued":-1e300}})", true},
        {R"({"no":1,"recall":{"lot":1e300,"issued":5}})", false},
    };
    for (const Case& c : cases)
        CHECK(config::parse_event(*config::parse_json(c.json)).has_value() == c.good);
    CHECK(!config::parse_json("{"));
    CHECK(!config::parse_json(std::string(100000, '[')));
}

// Discovery's words for a server's state.
void server_states_are_translated() {
    using routing::Condition;
    const std::pair<const char*, Condition> states[] = {
        {"active", Condition::ready}, {"leaving", Condition::draining}, {"left", Condition::gone}};
    for (const auto& [word, condition] : states) {
        const auto event = config::parse_event(*config::parse_json(
            R"({"roster":{"servers":[{"id":"a","addr":"h:1","state":")" + std::string{word} +
            R"(","started_ms":1000},{"id":"b","addr":"h:1","state":"unheard-of"}]}})"));
        const auto& servers = std::get<core::ServerChange>(event->what).servers;
        CHECK(servers.size() == 1);  // a state that is not known leaves the server out
        CHECK(servers[0].entry.condition == condition);
        CHECK(servers[0].started_ms == 1000 && !servers[0].entry.started_at);
    }
}

Json::Value platform_config() {
    return *config::parse_json(R"({"listen":"127.0.0.1:1","settings":{"allowed":{},"invariants":{},
        "classes":[{"name":"pages","aim":1,"give-up":2,"effect":"pure"}],"zone":"z","dcs":["z"],
        "kinds":["small-box"],"family-info":{}}})");
}

// What the settings say after one word of the configuration was set.
template <class Set>
routing::Settings settings_with(Set set) {
    Json::Value json = platform_config();
    set(json["settings"]);
    return config::parse_config(json).settings;
}

// The platform's words for the code's terms.
void platform_words_are_translated() {
    using namespace routing;
    const std::pair<const char*, Idempotency> effects[] = {
        {"pure", Idempotency::idempotent}, {"token", Idempotency::keyed}, {"side_effect", Idempotency::none}};
    for (const auto& [word, value] : effects)
        CHECK(settings_with([&](auto& s) { s["classes"][0]["effect"] = word; }).classes[0].idempotency ==
              value);
    const std::pair<const char*, KeyScope> scopes[] = {
        {"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}};
    for (const auto& [word, value] : scopes)
        CHECK(settings_with([&](auto& s) { s["classes"][0]["group"] = word; }).classes[0].key_scope == value);
    const std::pair<const char*, ServerWeights> weights[] = {{"off", ServerWeights::none},
                                                             {"nominal", ServerWeights::nominal},
                                                             {"rough", ServerWeights::nominal},
                                                             {"live", ServerWeights::live}};
    for (const auto& [word, value] : weights)
        CHECK(settings_with([&](auto& s) { s["weights"] = word; }).server_weights == value);
    const std::pair<const char*, OutcomeDetail> details[] = {
        {"off", OutcomeDetail::off}, {"hit", OutcomeDetail::hit}, {"all", OutcomeDetail::all}};
    for (const auto& [word, value] : details)
        CHECK(settings_with([&](auto& s) { s["family-info"]["detail"] = word; }).outcome_detail == value);
}

void absent_platform_words_have_defaults() {
    const auto settings = settings_with([](auto&) {});
    CHECK(settings.classes[0].key_scope == routing::KeyScope::cell);
    CHECK(settings.server_weights == routing::ServerWeights::none);
    CHECK(settings.outcome_detail == routing::OutcomeDetail::off);
}

// The text of the error that a configuration ends with.
std::string error_of(const Json::Value& json) {
    try {
        (void)config::parse_config(json);
    } catch (const config::ConfigError& e) {
        return e.what();
    }
    return {};
}

void platform_config_errors_name_the_whole_path() {
    struct Case {
        std::function<void(Json::Value&)> spoil;
        const char* error;
    };
    const Case cases[] = {
        {[](auto& j) { j.removeMember("listen"); }, "listen: expected a text"},
        {[](auto& j) { j["seed"] = "xyz"; }, "seed: expected up to 16 hex digits"},
        {[](auto& j) { j.removeMember("settings"); }, "settings: expected an object"},
        {[](auto& j) { j["settings"].removeMember("allowed"); }, "settings.allowed: expected an object"},
        {[](auto& j) { j["settings"]["classes"] = 1; }, "settings.classes: expected a list"},
        {[](auto& j) { j["settings"]["classes"] = Json::Value{Json::arrayValue}; },
         "settings.classes: expected 1 to 1000"},
        {[](auto& j) { j["settings"]["classes"][0]["effect"] = "magic"; },
         "settings.classes.0.effect: unknown word magic"},
        {[](auto& j) { j["settings"]["classes"][0].removeMember("aim"); }, "settings.classes.0.aim: absent"},
        {[](auto& j) { j["settings"]["classes"][0]["aim"] = -1; }, "settings.classes.0.aim: out of range"},
        {[](auto& j) { j["settings"]["classes"][0]["aim"] = "x"; },
         "settings.classes.0.aim: expected a number"},
        {[](auto& j) { j["settings"]["allowed"]["cancel"] = 1; },
         "settings.allowed.cancel: expected true or false"},
        {[](auto& j) { j = Json::Value{Json::arrayValue}; }, ": expected an object"},
    };
    for (const Case& c : cases) {
        Json::Value json = platform_config();
        c.spoil(json);
        CHECK(error_of(json) == c.error);
    }
}

}  // namespace

int main() {
    operator_file_is_checked();
    all_problems_are_reported_with_their_whole_path();
    peers_section_is_checked();
    endpoints_are_parsed();
    discovery_events_are_parsed_or_refused();
    server_states_are_translated();
    platform_words_are_translated();
    absent_platform_words_have_defaults();
    platform_config_errors_name_the_whole_path();
    std::puts("config: all cases hold");
}
