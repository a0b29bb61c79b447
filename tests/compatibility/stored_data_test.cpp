// Files that an earlier version of the program wrote (fixtures/README.md) are read as ever: traces with the
// same content, sums and decisions, a ban file and a replica store with the same entries.
#include "support.h"

using namespace compatibility;

namespace {

const std::filesystem::path kFixtures{SILVERRAIL_FIXTURES};

std::string fixture(const std::string& name) {
    const auto path = kFixtures / name;
    check_that(std::filesystem::exists(path), path.string() + " is there");
    return read_file(path);
}

// ---- traces
// ------------------------------------------------------------------------------------------------

constexpr int kWhole = 0;

// What a tool says of a trace, with the file's name as it was when the fixture was written.
ProgramResult trace_tool(std::vector<std::string> arguments, const std::string& trace) {
    const std::string path = (kFixtures / trace).string();
    arguments.insert(arguments.begin(), "trace");
    arguments.push_back(path);
    auto result = run_program(arguments);
    for (auto at = result.output.find(path); at != std::string::npos; at = result.output.find(path))
        result.output.replace(at, path.size(), trace);
    return result;
}

struct Trace {
    std::string name;
    std::string shown;  // the part from its begin whose calls the fixture holds
};

const Trace kTraces[] = {{"demo", "+40ms"}, {"synth-n0", "+2s"}, {"synth-n1", "+2s"}, {"synth-n1-2", "+2s"}};

void trace_is_read_and_replayed_as_ever(const Trace& trace) {
    const struct {
        std::string fixture_suffix;
        std::vector<std::string> arguments;
    } kTools[] = {{".info.json", {"info", "--json"}},
                  {".verify.txt", {"verify"}},
                  {".summary.txt", {"summary"}},
                  {".summary.json", {"summary", "--every", "1s", "--json"}},
                  {".show.txt", {"show", "--to", trace.shown}},
                  {".show.json", {"show", "--to", trace.shown, "--json"}},
                  {".replay.txt", {"replay"}}};
    for (const auto& tool : kTools) {
        const auto result = trace_tool(tool.arguments, trace.name + ".slt");
        const std::string expected = fixture(trace.name + tool.fixture_suffix);
        check_that(result.exit_code == kWhole, trace.name + tool.fixture_suffix + ": " + result.output);
        check_that(result.output == expected,
                   trace.name + tool.fixture_suffix + " is\n" + result.output + "and should be\n" + expected);
    }
    CHECK(fixture(trace.name + ".replay.txt").ends_with(" decisions, all the same\n"));
}

// The same seed gives the same trace: decisions and what is written of them.
void synthetic_traces_are_made_as_ever() {
    const TemporaryFolder folder;
    const auto made =
        run_program({"trace", "synth", "-o", folder.file("synth.slt"), "--seconds", "10", "--rate", "20",
                     "--routers", "2", "--skew", "500", "--drift", "20", "--restart", "--seed", "7"});
    check_that(made.exit_code == 0, made.output);
    for (const char* name : {"synth-n0.slt", "synth-n1.slt", "synth-n1-2.slt"}) {
        const auto now = run_program({"trace", "show", folder.file(name), "--json"});
        const auto then = run_program({"trace", "show", (kFixtures / name).string(), "--json"});
        CHECK(now.exit_code == 0 && then.exit_code == 0 && !then.output.empty());
        check_that(now.output == then.output, std::string{name} + " is made as ever");
    }
}

// ---- the ban file and the replica store
// --------------------------------------------------------------------

// A router in whose folder a file of an earlier version stands.
class RouterWithFile {
public:
    explicit RouterWithFile(const std::string& kind) {
        file_ = router.folder().file("silverrail-127-0-0-1-" + std::to_string(router.port) + "." + kind);
        write_file(file_, fixture(kind));
    }
    void start() {
        Json::Value config =
            platform_config(router.port, {listed_server("s-a", "127.0.0.1:9", "small-box", "syd-a"),
                                          listed_server("s-b", "127.0.0.1:9", "small-box", "syd-b"),
                                          listed_server("s-c", "127.0.0.1:9", "small-box", "syd-b")});
        value_at(config, "settings.zone") = "syd-a";
        value_at(config, "settings.dcs") = parse_json(R"(["north", "syd-a"])");
        router.start(config);
    }
    const std::string& file() const {
        return file_;
    }
    RouterProcess router;

private:
    std::string file_;
};

void ban_file_is_read_and_written_as_ever() {
    CHECK(fixture("bans") == "silverrail-bans 1\nout s-a\nout s-c\nend 2\n");
    RouterWithFile banned{"bans"};
    banned.start();
    CHECK(contains(banned.router.call("DUMP"), "edge.hosts_down=2\n"));
    CHECK(banned.router.counters().at("bans.out") == 2);
    CHECK(banned.router.call("ONLINE s-a") == "ACK in use\n");
    CHECK(banned.router.call("OFFLINE s-b") == "ACK out\n");
    CHECK(read_file(banned.file()) == "silverrail-bans 1\nout s-b\nout s-c\nend 2\n");
}

void replica_store_is_read_as_ever() {
    RouterWithFile stored{"replica"};
    auto& router = stored.router;
    // What was taken back is forgotten in time: the same here as long after the file was written.
    router.settings = parse_json(R"({"peers": {"name": "syd-a-07", "zone": "syd-a", "region": "au-east",
        "tombstone_keep_ms": 10000,
        "failover": {"zones": [{"name": "syd-a", "region": "au-east", "routers": 12},
                               {"name": "syd-b", "region": "au-east", "routers": 12}]}}})");
    router.settings["peers"]["bind"] = address_text(free_port());
    stored.start();
    const std::string replica = router.call("REPLICA");
    check_that(replica == fixture("replica.txt"), replica);
    // Bans that were made, but the one that was taken back.
    CHECK(contains(router.call("DUMP"), "edge.hosts_down=2\n"));
    CHECK(wait_until([&router] {
        const std::string zones = router.call("FAILOVER");
        return contains(zones, "syd-a au-east 1/12 ") && contains(zones, " 0 0 - out 0 0\n") &&
               contains(zones, "syd-b au-east 0/12 - 0 0 - in 0 0\n");
    }));
    // Nothing was refused, and it goes on in the same store.
    CHECK(!std::filesystem::exists(stored.file() + ".refused"));
    CHECK(router.call("ONLINE s-a") == "ACK in use\n");
    CHECK(contains(router.call("DUMP"), "edge.hosts_down=1\n"));
    CHECK(router.stop() == 0);
    const auto origin = replica.substr(0, replica.find(' '));
    stored.start();
    check_that(router.call("REPLICA") != replica && router.call("REPLICA").starts_with(origin + " "),
               router.call("REPLICA"));
    CHECK(contains(router.call("DUMP"), "edge.hosts_down=1\n"));
}

}  // namespace

int main() {
    for (const auto& trace : kTraces)
        trace_is_read_and_replayed_as_ever(trace);
    synthetic_traces_are_made_as_ever();
    ban_file_is_read_and_written_as_ever();
    replica_store_is_read_as_ever();
    std::puts("stored data: traces, bans and the shared state are read as ever");
}
