// The names of all settings, held against literals: every key of the platform's configuration (EDGE_CONFIG),
// every key of the operator's file, the environment variables, and the sub-commands with their options. A key
// that is read under another name no longer refuses a value of the wrong type, and the test fails.
#include <set>

#include "support.h"

using namespace compatibility;

namespace {

constexpr int kGood = 0;
constexpr int kStartFailed = 1;
constexpr int kWrong = 2;  // wrong settings, or wrong words on the command line

// `silverrail check` on these two files.
ProgramResult check_settings(const Json::Value& config, const Json::Value& operator_file) {
    const TemporaryFolder folder;
    write_file(folder.file("config.json"), to_text(config));
    write_file(folder.file("settings.json"), to_text(operator_file));
    return run_program(
        {"check", "--config", folder.file("config.json"), "--settings", folder.file("settings.json")});
}

Json::Value whole_config() {
    Json::Value config = platform_config(4100, {listed_server("s-a", "127.0.0.1:9", "small-box", "edge-1")});
    config["control"] = "127.0.0.1:4190";
    return config;
}

// ---- the platform's configuration

struct WrongValue {
    const char* path;   // where the wrong value is put
    const char* value;  // as JSON
    const char* named;  // the path that the program's message names
};

// One line for each key: a value of a type, or a word, that the key does not take.
const WrongValue kWrongPlatformValues[] = {
    {"name", "5", "name"},
    {"listen", "5", "listen"},
    {"control", "5", "control"},
    {"bulletin", "5", "bulletin"},
    {"seed", "5", "seed"},
    {"seed", "\"not hex\"", "seed"},
    {"limits", "5", "limits"},
    {"limits.sockets", "\"x\"", "limits.sockets"},
    {"limits.memory_mb", "\"x\"", "limits.memory_mb"},
    {"flow_bytes_per_s", "\"x\"", "flow_bytes_per_s"},
    {"link_bytes_per_s", "\"x\"", "link_bytes_per_s"},
    {"known", "5", "known"},
    {"known.no", "\"x\"", "known.no"},
    {"known.items", "5", "known.items"},
    {"settings", "5", "settings"},
    {"settings.zone", "5", "settings.zone"},
    {"settings.dcs", "5", "settings.dcs"},
    {"settings.kinds", "5", "settings.kinds"},
    {"settings.balancers", "\"x\"", "settings.balancers"},
    {"settings.weights", "\"x\"", "settings.weights"},
    {"settings.classes", "5", "settings.classes"},
    {"settings.classes.0.name", "5", "settings.classes.0.name"},
    {"settings.classes.0.aim", "\"x\"", "settings.classes.0.aim"},
    {"settings.classes.0.aim-stretch", "\"x\"", "settings.classes.0.aim-stretch"},
    {"settings.classes.0.give-up", "\"x\"", "settings.classes.0.give-up"},
    {"settings.classes.0.worth", "\"x\"", "settings.classes.0.worth"},
    {"settings.classes.0.late-worth", "\"x\"", "settings.classes.0.late-worth"},
    {"settings.classes.0.effect", "\"x\"", "settings.classes.0.effect"},
    {"settings.classes.0.group", "\"x\"", "settings.classes.0.group"},
    {"settings.classes.0.window", "\"x\"", "settings.classes.0.window"},
    {"settings.allowed", "5", "settings.allowed"},
    {"settings.allowed.cancel", "\"x\"", "settings.allowed.cancel"},
    {"settings.allowed.retry-after", "\"x\"", "settings.allowed.retry-after"},
    {"settings.allowed.connect-timeout", "\"x\"", "settings.allowed.connect-timeout"},
    {"settings.allowed.conn-idle", "\"x\"", "settings.allowed.conn-idle"},
    {"settings.allowed.max-retry-after", "\"x\"", "settings.allowed.max-retry-after"},
    {"settings.allowed.try-limit", "\"x\"", "settings.allowed.try-limit"},
    {"settings.invariants", "5", "settings.invariants"},
    {"settings.invariants.cold-from", "\"x\"", "settings.invariants.cold-from"},
    {"settings.invariants.cold", "\"x\"", "settings.invariants.cold"},
    {"settings.invariants.tip-multiple", "\"x\"", "settings.invariants.tip-multiple"},
    {"settings.invariants.fall", "\"x\"", "settings.invariants.fall"},
    {"settings.family-info", "5", "settings.family-info"},
    // Lists with an item for each zone or class: the item that counts here is of the wrong type.
    {"settings.family-info.zone-balancers.1", "\"x\"", "settings.family-info.zone-balancers"},
    {"settings.family-info.pipe-kb-per-s.1", "\"x\"", "settings.family-info.pipe-kb-per-s"},
    {"settings.family-info.max-age.0", "\"x\"", "settings.family-info.max-age"},
    {"settings.family-info.class-grace.0", "\"x\"", "settings.family-info.class-grace"},
    {"settings.family-info.stale-earns.0", "\"x\"", "settings.family-info.stale-earns"},
    {"settings.family-info.segmented.0", "\"x\"", "settings.family-info.segmented"},
    {"settings.family-info.uncached.0", "\"x\"", "settings.family-info.uncached"},
    {"settings.family-info.one-flow-kb-per-s", "\"x\"", "settings.family-info.one-flow-kb-per-s"},
    {"settings.family-info.detail", "\"x\"", "settings.family-info.detail"},
    {"settings.family-info.bypass-allowed", "\"x\"", "settings.family-info.bypass-allowed"},
    {"settings.family-info.shares-fills", "\"x\"", "settings.family-info.shares-fills"},
    {"settings.family-info.heed-within", "\"x\"", "settings.family-info.heed-within"},
    {"settings.family-info.cleared-within", "\"x\"", "settings.family-info.cleared-within"},
    {"settings.family-info.upper-cold-from", "\"x\"", "settings.family-info.upper-cold-from"},
    {"settings.family-info.parent-warms-in", "\"x\"", "settings.family-info.parent-warms-in"},
    {"settings.family-info.parent-limit-factor", "\"x\"", "settings.family-info.parent-limit-factor"},
};
// "second-tier-kind" and "origin-kind" are held by protocol_test: they decide from where a miss is filled.

void wrong_platform_values_are_refused_by_path() {
    for (const auto& wrong : kWrongPlatformValues) {
        Json::Value config = whole_config();
        value_at(config, wrong.path) = parse_json(wrong.value);
        const auto result = check_settings(config, Json::objectValue);
        check_that(
            result.exit_code == kWrong && contains(result.output, std::string{": "} + wrong.named + ": "),
            std::string{wrong.path} + " = " + wrong.value + " is refused by its path: " + result.output);
    }
}

// Without these there is no start.
void needed_platform_keys_are_named_when_absent() {
    for (const char* path :
         {"listen", "settings", "settings.zone", "settings.dcs", "settings.allowed", "settings.invariants",
          "settings.classes", "settings.classes.0.name", "settings.classes.0.aim",
          "settings.classes.0.give-up", "settings.classes.0.effect"}) {
        Json::Value config = whole_config();
        value_at(config, path) = Json::Value{};
        const auto result = check_settings(config, Json::objectValue);
        check_that(result.exit_code == kWrong && contains(result.output, std::string{": "} + path + ": "),
                   std::string{path} + " is needed: " + result.output);
    }
}

struct Words {
    const char* path;
    std::vector<const char*> words;
};

void platform_words_are_known() {
    const Words kWords[] = {{"settings.classes.0.effect", {"pure", "token", "side_effect"}},
                            {"settings.classes.0.group", {"all", "zone", "cell"}},
                            {"settings.weights", {"off", "nominal", "rough", "live"}},
                            {"settings.family-info.detail", {"off", "hit", "all"}}};
    for (const auto& of_key : kWords)
        for (const char* word : of_key.words) {
            Json::Value config = whole_config();
            value_at(config, of_key.path) = word;
            const auto result = check_settings(config, Json::objectValue);
            check_that(result.exit_code == kGood,
                       std::string{of_key.path} + " = " + word + ": " + result.output);
        }
}

// ---- the operator's file

// Every key, each with a value that is not its default.
constexpr const char* kOperatorFile = R"({
    "peers": {
        "name": "syd-a-07", "zone": "syd-a", "region": "au-east", "bind": "127.0.0.1:7946",
        "advertise": "127.0.0.1:7947", "seeds": ["127.0.0.1:7948"], "probe_ms": 900, "probe_timeout_ms": 400,
        "push_pull_ms": 20000, "dead_keep_ms": 50000, "indirect": 2, "suspicion_mult": 5,
        "suspicion_max_mult": 7, "replica_ms": 800, "tombstone_keep_ms": 80000000, "hearsay_ms": 9000,
        "failover": {
            "zones": [{"name": "syd-a", "region": "au-east", "routers": 12},
                      {"name": "per-a", "region": "au-west", "routers": 8}],
            "overprovision": 1.5, "panic": 0.4, "least": 0.2, "step_out": 0.6, "step_back": 0.3,
            "hold_ms": 6000, "confirm_ms": 400, "slot_ms": 400, "witnesses": 8}},
    "dns": {"udp": "127.0.0.1:5300", "tcp": "127.0.0.1:5301", "tls": "127.0.0.1:5302", "zone": "route.example",
            "server": "ns1.route.example", "server_address": "127.0.0.1", "mailbox": "hostmaster.example",
            "ttl_s": 0, "deadline_ms": 900},
    "acme": {"directory": "https://127.0.0.1/directory", "contact": "mailto:a@b.example", "folder": "/acme",
             "trust": "/trust.pem"},
    "trace": {"folder": "/traces", "most_mb": 512, "file_mb": 32, "file_minutes": 30, "flush_ms": 1000,
              "queue_kb": 2048, "flight_mb": 2, "leave_out": ["clients", "tags"],
              "dump": {"at_failed_share": 0.5, "window_s": 9, "least_answers": 40, "hold_off_s": 500}}})";

// Every key again, with a value that it does not take.
constexpr const char* kWrongOperatorFile = R"({
    "peers": {
        "name": 5, "zone": 5, "region": 5, "bind": 5, "advertise": 5, "seeds": 5, "probe_ms": "x",
        "probe_timeout_ms": "x", "push_pull_ms": "x", "dead_keep_ms": "x", "indirect": "x",
        "suspicion_mult": "x", "suspicion_max_mult": "x", "replica_ms": "x", "tombstone_keep_ms": "x",
        "hearsay_ms": "x",
        "failover": {
            "zones": [{"name": 5, "region": 5, "routers": "x"}], "overprovision": "x", "panic": "x",
            "least": "x", "step_out": "x", "step_back": "x", "hold_ms": "x", "confirm_ms": "x",
            "slot_ms": "x", "witnesses": "x"}},
    "dns": {"udp": 5, "tcp": 5, "tls": 5, "zone": 5, "server": 5, "server_address": 5, "mailbox": 5,
            "ttl_s": "x", "deadline_ms": "x"},
    "acme": {"directory": 5, "contact": 5, "folder": 5, "trust": 5},
    "trace": {"folder": 5, "most_mb": "x", "file_mb": "x", "file_minutes": "x", "flush_ms": "x",
              "queue_kb": "x", "flight_mb": "x", "leave_out": 5,
              "dump": {"at_failed_share": "x", "window_s": "x", "least_answers": "x", "hold_off_s": "x"}}})";

// The paths of all keys that hold no object and no list of objects.
void collect_paths(const Json::Value& json, const std::string& path, std::vector<std::string>& paths) {
    const bool has_keys = json.isObject() || (json.isArray() && !json.empty() && json[0].isObject());
    if (!has_keys) {
        paths.push_back(path);
        return;
    }
    const auto below = [&path](const std::string& part) {
        return path.empty() ? part : path + "." + part;
    };
    if (json.isArray())
        for (Json::ArrayIndex i = 0; i < json.size(); ++i)
            collect_paths(json[i], below(std::to_string(i)), paths);
    else
        for (const auto& key : json.getMemberNames())
            collect_paths(json[key], below(key), paths);
}

void whole_operator_file_is_good() {
    const auto result = check_settings(whole_config(), parse_json(kOperatorFile));
    check_that(result.exit_code == kGood, result.output);
}

// A key that is no longer read is told as unknown, and no longer as one of the wrong type.
void wrong_operator_values_are_refused_by_path() {
    const Json::Value wrong = parse_json(kWrongOperatorFile);
    const auto result = check_settings(whole_config(), wrong);
    check_that(result.exit_code == kWrong, result.output);
    check_that(!contains(result.output, "no such setting"), result.output);
    std::vector<std::string> paths;
    collect_paths(wrong, "", paths);
    for (const auto& path : paths)
        check_that(contains(result.output, ": " + path + ": expected"),
                   path + " is refused: " + result.output);
}

// Both files name the same keys: none is tested with a wrong value only.
void both_operator_files_have_the_same_keys() {
    const auto keys = [](const char* text) {
        std::vector<std::string> paths;
        collect_paths(parse_json(text), "", paths);
        std::set<std::string> unique;
        for (const auto& path : paths)
            if (!contains(path, "zones.1"))
                unique.insert(path);
        return unique;
    };
    CHECK(keys(kOperatorFile) == keys(kWrongOperatorFile));
}

void unknown_operator_keys_are_refused() {
    for (const char* path :
         {"colour", "peers.colour", "peers.failover.colour", "peers.failover.zones.0.colour", "dns.colour",
          "acme.colour", "trace.colour", "trace.dump.colour"}) {
        Json::Value file = parse_json(kOperatorFile);
        value_at(file, path) = "red";
        const auto result = check_settings(whole_config(), file);
        check_that(result.exit_code == kWrong && contains(result.output, std::string{": "} + path + ": "),
                   std::string{path} + " is unknown: " + result.output);
    }
}

// The file as it is shipped: all parts are off, and every key in it is known.
void shipped_operator_file_is_good() {
    const auto result = run_program({"check", "--settings", SILVERRAIL_SHIPPED_SETTINGS});
    check_that(result.exit_code == kGood, result.output);
}

// ---- environment

// EDGE_LISTEN and EDGE_CONTROL stand before the file's own words.
void environment_names_the_files_and_addresses() {
    RouterProcess files;  // never started: its folder and its free ports are used
    const unsigned short other_port = free_port();
    Json::Value config = platform_config(other_port, {});
    write_file(files.folder().file("config.json"), to_text(config));
    write_file(files.folder().file("settings.json"), R"({"trace":{"colour":"red"}})");
    Environment environment = files.environment();
    environment["EDGE_LISTEN"] = address_text(files.port);

    const auto refused = run_program({}, environment);
    check_that(refused.exit_code == kStartFailed && contains(refused.output, "trace.colour"),
               "SILVERRAIL_SETTINGS is read at the start: " + refused.output);
    const auto checked = run_program({"check"}, environment);
    check_that(checked.exit_code == kWrong && contains(checked.output, "trace.colour"), checked.output);

    write_file(files.folder().file("settings.json"), "{}");
    const pid_t pid = start_program({"serve"}, environment, files.folder().file("log"));
    check_that(wait_until([&files] { return listens(files.port); }), files.log());
    CHECK(get(files.port, "/alive").status() == 200);
    CHECK(!listens(other_port));
    CHECK(files.call("HEALTH").starts_with("ACK"));
    CHECK(::kill(pid, SIGTERM) == 0);
    int status = 0;
    CHECK(::waitpid(pid, &status, 0) == pid && WIFEXITED(status) && WEXITSTATUS(status) == 0);

    environment["EDGE_CONFIG"] = files.folder().file("nowhere.json");
    CHECK(run_program({}, environment).exit_code == kStartFailed);
}

// ---- the command line

// Each sub-command with what its help lists, a line each.
struct Command {
    std::vector<std::string> words;
    std::vector<std::string> listed_in_help;
};

const Command kCommands[] = {
    {{}, {"serve", "check", "trace", "lab"}},
    {{"serve"}, {}},
    {{"check"}, {"--config", "--settings"}},
    {{"lab"}, {"fleet", "replica", "check", "failover"}},
    {{"lab", "fleet"}, {"--members", "--seed", "--faults", "--loss", "--csv"}},
    {{"lab", "replica"}, {"--members", "--keys", "--missed", "--seed"}},
    {{"lab", "check"}, {"--seed", "--seeds", "--keep-ms", "--learned", "--members"}},
    {{"lab", "failover"}, {"--members", "--seed", "--loss", "--calm-s"}},
    {{"trace"}, {"info", "verify", "show", "cut", "merge", "strip", "summary", "replay", "synth"}},
    {{"trace", "info"}, {"--json", "--columns", "FILE"}},
    {{"trace", "verify"}, {"FILE"}},
    {{"trace", "show"},
     {"--json", "--from", "--to", "--class", "--outcome", "--box", "--call", "--object", "FILE"}},
    {{"trace", "cut"},
     {"-o,--output", "--from", "--to", "--class", "--outcome", "--box", "--call", "--object", "FILE"}},
    {{"trace", "merge"}, {"-o,--output", "--offset", "--json", "FILE"}},
    {{"trace", "strip"}, {"-o,--output", "--objects", "--key-file", "--shift", "FILE"}},
    {{"trace", "summary"}, {"--every", "--json", "FILE"}},
    {{"trace", "replay"}, {"--diff", "--json", "FILE"}},
    {{"trace", "synth"},
     {"-o,--output", "--seconds", "--rate", "--routers", "--skew", "--drift", "--seed", "--restart",
      "--truth"}},
};

void help_lists_all_commands_and_options() {
    for (const auto& command : kCommands) {
        auto words = command.words;
        words.push_back("--help");
        const auto result = run_program(words);
        check_that(result.exit_code == kGood, result.output);
        for (const auto& name : command.listed_in_help)
            check_that(contains(result.output, "\n  " + name + " "),
                       name + " is listed by the help: " + result.output);
    }
    CHECK(run_program({"nonsense"}).exit_code == kWrong);
    CHECK(run_program({"check", "--nonsense"}).exit_code == kWrong);
}

}  // namespace

int main() {
    wrong_platform_values_are_refused_by_path();
    needed_platform_keys_are_named_when_absent();
    platform_words_are_known();
    whole_operator_file_is_good();
    wrong_operator_values_are_refused_by_path();
    both_operator_files_have_the_same_keys();
    unknown_operator_keys_are_refused();
    shipped_operator_file_is_good();
    environment_names_the_files_and_addresses();
    help_lists_all_commands_and_options();
    std::puts("settings: every key, word, variable and option is known under its name");
}
