#include "lab/demo/demo.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "config/hex.h"
#include "config/json_text.h"
#include "lab/stand_in_support.h"

namespace silverrail::lab::demo {

namespace asio = net::asio;
namespace fs = std::filesystem;
using net::error_code;
using net::tcp;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 7;
constexpr int kClients = 12;
constexpr auto kStartTimeout = 10s;
constexpr auto kWorkloadTimeout = 40s;
constexpr auto kStopTimeout = 10s;
constexpr auto kPollInterval = 20ms;
constexpr int kCannotExecute = 127;
constexpr const char* kOriginId = "store";

// Runs a command and waits for it. True if its exit code is 0.
bool run_command(const std::vector<std::string>& command) {
    std::fflush(stdout);
    const pid_t pid = ::fork();
    if (pid == 0) {
        std::vector<char*> arguments;
        arguments.reserve(command.size() + 1);
        for (const std::string& word : command)
            arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        ::execv(arguments[0], arguments.data());
        ::_exit(kCannotExecute);
    }
    int status = 0;
    return pid > 0 && ::waitpid(pid, &status, 0) == pid && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

void print_results(const std::map<std::string, ClassResult>& results) {
    std::printf("%-14s %6s %7s %9s %7s %6s %5s %9s %9s\n", "class", "asked", "served", "unchanged", "refused",
                "failed", "lost", "mean ms", "most ms");
    for (const auto& [name, result] : results)
        std::printf("%-14s %6d %7d %9d %7d %6d %5d %9.1f %9.1f\n", name.c_str(), result.requests,
                    result.served, result.not_modified, result.rejected, result.failed, result.unanswered,
                    result.total_latency_ms / std::max(1, result.requests), result.max_latency_ms);
}

bool all_as_expected(const std::map<std::string, ClassResult>& results) {
    return std::all_of(results.begin(), results.end(), [](const auto& entry) {
        const ClassResult& result = entry.second;
        return result.unanswered == 0 && result.wrong_body == 0 && result.served > 0;
    });
}

}  // namespace

Demo::Demo(std::string program)
    : program_(std::move(program)),
      folder_(fs::temp_directory_path() / ("silverrail-demo-" + std::to_string(::getpid()))) {
    fs::create_directories(folder_);
    workload_.random.seed(kSeed);
}

Demo::~Demo() {
    if (router_pid_ > 0) {
        ::kill(router_pid_, SIGKILL);
        ::waitpid(router_pid_, nullptr, 0);
    }
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
}

bool Demo::run() {
    start_servers();
    start_router();
    const bool answered = play_workload();
    const bool stopped = stop_router();
    print_results(workload_.results);
    print_servers();
    const int repeated = repeated_writes();
    std::printf("writes that ran twice: %d\n", repeated);
    const bool trace_read = read_trace();
    const bool good =
        answered && stopped && trace_read && repeated == 0 && all_as_expected(workload_.results);
    if (!good) {
        std::printf("\nnot as it should be: all answered %d, ended well %d, trace read %d\n", answered,
                    stopped, trace_read);
        print_log();
    }
    return good;
}

void Demo::start_servers() {
    for (const char* id : {"s-one", "s-two", "s-three", "s-four"})
        add_server(id, StandInServer::Role::cache, "small-box");
    add_server("hub", StandInServer::Role::parent, "hub");
    add_server(kOriginId, StandInServer::Role::origin, "store");
    discovery_.number_events_after(1);  // the first is in the configuration
}

void Demo::add_server(const std::string& id, StandInServer::Role role, const char* kind) {
    const auto find = [this](const std::string& other) {
        return find_address(other);
    };
    servers_.push_back(std::make_unique<StandInServer>(io_, id, role, find));
    SampleServer endpoint;
    endpoint.id = id;
    endpoint.address = servers_.back()->address();
    endpoint.kind = kind;
    endpoints_.push_back(endpoint);
}

std::string Demo::find_address(const std::string& id) const {
    for (const auto& server : servers_)
        if (server->id() == id)
            return server->address();
    return {};
}

void Demo::write_files() const {
    std::vector<Json::Value> endpoints;
    endpoints.reserve(endpoints_.size());
    for (const SampleServer& endpoint : endpoints_)
        endpoints.push_back(endpoint_json(endpoint, "active"));
    Json::Value config = router_config("demo", kSeed, address_text(router_), discovery_.address(), 1);
    config["known"]["no"] = 1;
    config["known"]["items"].append(endpoint_list_event(1, true, endpoints));
    std::ofstream{folder_ / "config.json"} << config::json_line(config);
    Json::Value settings;
    settings["trace"]["folder"] = (folder_ / "traces").string();
    std::ofstream{folder_ / "settings.json"} << config::json_line(settings);
}

void Demo::start_router() {
    router_ = tcp::acceptor{io_, loopback_endpoint()}.local_endpoint();
    write_files();
    router_pid_ = ::fork();
    if (router_pid_ == 0)
        execute_router();
    if (!run_until([this] { return router_listens(); }, kStartTimeout))
        std::puts("the program did not come up");
}

// In the forked child.
void Demo::execute_router() const {
    ::setenv("EDGE_CONFIG", (folder_ / "config.json").c_str(), 1);
    ::setenv("SILVERRAIL_SETTINGS", (folder_ / "settings.json").c_str(), 1);
    ::unsetenv("EDGE_LISTEN");
    const int log = ::open((folder_ / "log").c_str(), O_CREAT | O_WRONLY, 0600);
    ::dup2(log, STDERR_FILENO);
    ::execl(program_.c_str(), program_.c_str(), "serve", nullptr);
    ::_exit(kCannotExecute);
}

bool Demo::router_listens() {
    error_code error;
    tcp::socket socket{io_};
    socket.connect(router_, error);
    return !error;
}

bool Demo::play_workload() {
    for (int i = 0; i < kClients; ++i)
        std::make_shared<Client>(io_, router_, workload_)->start();
    bool purged = false;
    bool drained = false;
    const auto advance = [&] {
        if (!purged && workload_.requests_left < kRequests * 2 / 3) {
            purged = true;
            purge_an_object();
        }
        if (!drained && workload_.requests_left < kRequests / 3) {
            drained = true;
            drain_a_server();
        }
        return workload_.finished();
    };
    return run_until(advance, kWorkloadTimeout);
}

void Demo::purge_an_object() {
    discovery_.publish(purge_event(0, config::hex_text(0), unix_time_ms()));
}

void Demo::drain_a_server() {
    discovery_.publish(endpoint_list_event(0, false, {endpoint_json(endpoints_.front(), "leaving")}));
}

// True if it ended in time with exit code 0.
bool Demo::stop_router() {
    ::kill(router_pid_, SIGTERM);
    int status = -1;
    const auto ended = [&] {
        return ::waitpid(router_pid_, &status, WNOHANG) == router_pid_;
    };
    if (!run_until(ended, kStopTimeout))
        return false;
    router_pid_ = -1;
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

bool Demo::run_until(const std::function<bool()>& condition, Duration timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        io_.restart();
        io_.run_one_for(kPollInterval);
    }
    return true;
}

void Demo::print_servers() const {
    for (const auto& server : servers_) {
        const StandInServer::Counts& counts = server->counts();
        std::printf(
            "%-8s asked %llu, hits %llu, fills %llu, misses %llu, writes %llu\n", server->id().c_str(),
            static_cast<unsigned long long>(counts.requests), static_cast<unsigned long long>(counts.hits),
            static_cast<unsigned long long>(counts.fills), static_cast<unsigned long long>(counts.misses),
            static_cast<unsigned long long>(counts.writes));
    }
}

int Demo::repeated_writes() const {
    int repeated = 0;
    for (const auto& server : servers_)
        for (const auto& [id, executions] : server->write_executions())
            repeated += executions > 1 ? 1 : 0;
    return repeated;
}

// Prints the summary of the recorded trace, and replays it. True if there is one file, and both succeed.
bool Demo::read_trace() const {
    std::vector<std::string> files;
    std::error_code ignored;
    for (const auto& file : fs::directory_iterator{folder_ / "traces", ignored})
        files.push_back(file.path().string());
    if (files.size() != 1)
        return false;
    std::puts("\nwhat it recorded of itself:");
    return run_command({program_, "trace", "summary", files.front()}) &&
           run_command({program_, "trace", "replay", files.front()});
}

void Demo::print_log() const {
    std::ifstream log{folder_ / "log"};
    const std::string text{std::istreambuf_iterator<char>{log}, {}};
    std::printf("the program said:\n%s", text.c_str());
}

}  // namespace silverrail::lab::demo
