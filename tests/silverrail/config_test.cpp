// Parsing of the settings files and of discovery events: tables of valid and invalid input.
#include "config/config.h"

#include <functional>

#include "check.h"
#include "config/discovery_event.h"
#include "config/operator_settings.h"

using namespace silverrail;

namespace {

std::vector<std::string> messages(const std::vector<config::ConfigProblem>& problems) {
    std::vector<std::string> out;
    for (const auto& problem : problems)
        out.push_back(problem.text());
    return out;
}

// A problem in any section makes the file invalid.
void operator_file_is_validated() {
    struct Case {
        const char* json;
        bool valid;
    };
    const Case cases[] = {
        {R"({})", true},
        {R"({"dns":{"udp":"127.0.0.1:0","zone":"z.example","server":"ns.z.example"}})", true},
        {R"({"dns":{"udp":"127.0.0.1:0"}})", false},
        {R"({"dns":{"udp":"nowhere","zone":"z.example","server":"ns.z.example"}})", false},
        {R"({"dns":{"ttl_s":2}})", false},  // responses would stay cached past the grace period of a drain
        {R"({"dns":3})", false},
        {R"({"acme":{"directory":"https://ca.example/"}})",
         false},  // no DNS listener to answer the challenge
        {R"({"trace":{"folder":"/tmp/t","most_mb":100,"leave_out":["clients"]}})", true},
        {R"({"trace":{"folder":"/tmp/t","flight_mb":4,"dump":{"at_failed_share":0.2}}})", true},
        {R"({"trace":{"dump":{"at_failed_share":0.2}}})", false},  // no flight recorder to dump
        {R"({"trace":{"flight_mb":4}})", false},                   // no folder for the dumps
        {R"({"trace":{"folder":"/tmp/t","most_mb":10,"file_mb":6}})", false},
        {R"({"trace":{"leave_out":["names"]}})", false},
        {R"({"trace":{"queue_kb":1.5}})", false},
        {R"({"tracing":{}})", false},
        {R"([])", false},
    };
    for (const Case& c : cases)
        CHECK(config::parse_operator(*config::parse_json(c.json)).problems.empty() == c.valid);
}

void all_problems_are_reported_with_full_paths() {
    const auto checked = config::parse_operator(
        *config::parse_json(R"({"dns":{"ttl_s":7},"trace":{"most_mb":0,"dump":{"share":1}},"x":1})"));
    const std::vector<std::string> expected{"dns.ttl_s: expected a whole number from 0 to 1",
                                            "trace.most_mb: expected a whole number from 1 to 1048576",
                                            "trace.dump.share: no such setting", "x: no such setting"};
    CHECK(messages(checked.problems) == expected);
    CHECK(checked.problems.at(2).path == "trace.dump.share" &&
          checked.problems.at(2).problem == "no such setting");
}

// Without the section, the subsystem is off. In the section, each invalid key is reported with its path.
void peers_section_is_validated() {
    const struct {
        const char* json;
        std::vector<std::string> problems;
    } cases[] = {
        {R"({})", {}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","seeds":["127.0.0.2:7946"]}})", {}},
        {R"({"peers":{"name":"a"}})", {"peers.bind: required: ADDRESS:PORT to listen on for peers"}},
        {R"({"peers":{"bind":"127.0.0.1:7946"}})", {"peers.name: required: 1 to 64 bytes"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","seeds":"x"}})",
         {"peers.seeds: expected a list of at most 64 strings"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","seeds":["nowhere"]}})",
         {"peers.seeds: expected ADDRESS:PORT, got nowhere"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","probe_ms":100,"probe_timeout_ms":100}})",
         {"peers.probe_timeout_ms: must be shorter than probe_ms"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","probe_ms":5}})",
         {"peers.probe_ms: expected a whole number from 10 to 60000"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","zone":"zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz"}})",
         {"peers.zone: at most 32 bytes"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","hearsay_ms":500}})",
         {"peers.hearsay_ms: expected 0 or a whole number from 1000 to 30000"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","zone":"z1","failover":{"hold_ms":2000,"zones":[
            {"name":"z1","region":"r1","routers":3},{"name":"z2","region":"r1","routers":3}]}}})",
         {}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","zone":"z9","failover":{"panic":2,"zones":[
            {"name":"z1","region":"r1","routers":0},{"name":"z1","region":"r=1","routers":3,"x":1}]}}})",
         {"peers.failover.zones.0.routers: expected a whole number from 1 to 10000",
          "peers.failover.zones.0.routers: required: the number of routers in the zone",
          "peers.failover.zones.1.region: required: 1 to 32 printable ASCII characters without spaces or '='",
          "peers.failover.zones.1.name: duplicate zone name: z1", "peers.failover.zones.1.x: no such setting",
          "peers.failover.panic: expected a number from 0 to 1",
          "peers.failover.zones: does not contain the zone of this router: z9"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","zone":"z1","failover":{"zones":{}}}})",
         {"peers.failover.zones: expected a list of at most 64 objects",
          "peers.failover.zones: does not contain the zone of this router: z1"}},
        {R"({"peers":{"name":"a","bind":"127.0.0.1:7946","gossip":1}})", {"peers.gossip: no such setting"}},
    };
    for (const auto& c : cases) {
        const auto checked = config::parse_operator(*config::parse_json(c.json));
        const auto found = messages(checked.problems);
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

void discovery_events_are_parsed_or_rejected() {
    struct Case {
        const char* json;
        bool valid;
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
        // Numbers beyond the range of a 64-bit integer must not end the program.
        {R"({"no":18446744073709551615,"recall":{"lot":17,"issued":18446744073709551615}})", true},
        {R"({"no":1e300,"recall":{"lot":17,"issued":-1e300}})", true},
        {R"({"no":1,"recall":{"lot":1e300,"issued":5}})", false},
    };
    for (const Case& c : cases)
        CHECK(config::parse_event(*config::parse_json(c.json)).has_value() == c.valid);
    CHECK(!config::parse_json("{"));
    CHECK(!config::parse_json(std::string(100000, '[')));
}

// Discovery's keywords for the state of a server.
void server_states_are_translated() {
    using routing::Condition;
    const std::pair<const char*, Condition> states[] = {
        {"active", Condition::ready}, {"leaving", Condition::draining}, {"left", Condition::gone}};
    for (const auto& [keyword, condition] : states) {
        const auto event = config::parse_event(*config::parse_json(
            R"({"roster":{"servers":[{"id":"a","addr":"h:1","state":")" + std::string{keyword} +
            R"(","started_ms":1000},{"id":"b","addr":"h:1","state":"unheard-of"}]}})"));
        const auto& servers = std::get<core::ServerChange>(event->what).servers;
        CHECK(servers.size() == 1);  // the server with the unknown state is skipped
        CHECK(servers[0].entry.condition == condition);
        CHECK(servers[0].started_ms == 1000 && !servers[0].entry.started_at);
    }
}

Json::Value platform_config() {
    return *config::parse_json(R"({"listen":"127.0.0.1:1","settings":{"allowed":{},"invariants":{},
        "classes":[{"name":"pages","aim":1,"give-up":2,"effect":"pure"}],"zone":"z","dcs":["z"],
        "kinds":["small-box"],"family-info":{}}})");
}

// Returns the settings that result from the platform configuration as modified by `set`.
template <class Set>
routing::Settings settings_with(Set set) {
    Json::Value json = platform_config();
    set(json["settings"]);
    return config::parse_config(json).settings;
}

// The platform's keywords for the values of enumerations.
void platform_keywords_are_translated() {
    using namespace routing;
    const std::pair<const char*, Idempotency> effects[] = {
        {"pure", Idempotency::idempotent}, {"token", Idempotency::keyed}, {"side_effect", Idempotency::none}};
    for (const auto& [keyword, value] : effects)
        CHECK(settings_with([&](auto& s) { s["classes"][0]["effect"] = keyword; }).classes[0].idempotency ==
              value);
    const std::pair<const char*, KeyScope> scopes[] = {
        {"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}};
    for (const auto& [keyword, value] : scopes)
        CHECK(settings_with([&](auto& s) { s["classes"][0]["group"] = keyword; }).classes[0].key_scope ==
              value);
    const std::pair<const char*, ServerWeights> weights[] = {{"off", ServerWeights::none},
                                                             {"nominal", ServerWeights::nominal},
                                                             {"rough", ServerWeights::nominal},
                                                             {"live", ServerWeights::live}};
    for (const auto& [keyword, value] : weights)
        CHECK(settings_with([&](auto& s) { s["weights"] = keyword; }).server_weights == value);
    const std::pair<const char*, OutcomeDetail> details[] = {
        {"off", OutcomeDetail::off}, {"hit", OutcomeDetail::hit}, {"all", OutcomeDetail::all}};
    for (const auto& [keyword, value] : details)
        CHECK(settings_with([&](auto& s) { s["family-info"]["detail"] = keyword; }).outcome_detail == value);
}

void absent_platform_keywords_have_defaults() {
    const auto settings = settings_with([](auto&) {});
    CHECK(settings.classes[0].key_scope == routing::KeyScope::cell);
    CHECK(settings.server_weights == routing::ServerWeights::none);
    CHECK(settings.outcome_detail == routing::OutcomeDetail::off);
}

// Returns the message of the error for an invalid configuration; empty if it is valid.
std::string error_of(const Json::Value& json) {
    try {
        (void)config::parse_config(json);
    } catch (const config::ConfigError& e) {
        return e.what();
    }
    return {};
}

void platform_config_errors_contain_the_full_path() {
    struct Case {
        std::function<void(Json::Value&)> invalidate;
        const char* error;
    };
    const Case cases[] = {
        {[](auto& j) { j.removeMember("listen"); }, "listen: expected a string"},
        {[](auto& j) { j["seed"] = "xyz"; }, "seed: expected up to 16 hex digits"},
        {[](auto& j) { j.removeMember("settings"); }, "settings: expected an object"},
        {[](auto& j) { j["settings"].removeMember("allowed"); }, "settings.allowed: expected an object"},
        {[](auto& j) { j["settings"]["classes"] = 1; }, "settings.classes: expected a list"},
        {[](auto& j) { j["settings"]["classes"] = Json::Value{Json::arrayValue}; },
         "settings.classes: expected 1 to 1000 classes"},
        {[](auto& j) { j["settings"]["classes"][0]["effect"] = "magic"; },
         "settings.classes.0.effect: unknown value magic"},
        {[](auto& j) { j["settings"]["classes"][0].removeMember("aim"); },
         "settings.classes.0.aim: required"},
        {[](auto& j) { j["settings"]["classes"][0]["aim"] = -1; }, "settings.classes.0.aim: out of range"},
        {[](auto& j) { j["settings"]["classes"][0]["aim"] = "x"; },
         "settings.classes.0.aim: expected a number"},
        {[](auto& j) { j["settings"]["allowed"]["cancel"] = 1; },
         "settings.allowed.cancel: expected true or false"},
        {[](auto& j) { j = Json::Value{Json::arrayValue}; }, ": expected an object"},
    };
    for (const Case& c : cases) {
        Json::Value json = platform_config();
        c.invalidate(json);
        CHECK(error_of(json) == c.error);
    }
}

}  // namespace

int main() {
    operator_file_is_validated();
    all_problems_are_reported_with_full_paths();
    peers_section_is_validated();
    endpoints_are_parsed();
    discovery_events_are_parsed_or_rejected();
    server_states_are_translated();
    platform_keywords_are_translated();
    absent_platform_keywords_have_defaults();
    platform_config_errors_contain_the_full_path();
    std::puts("config: all cases passed");
}
