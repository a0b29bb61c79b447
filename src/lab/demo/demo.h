// The demo: the real program before stand-in servers on loopback.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/demo/client.h"
#include "lab/discovery_server.h"
#include "lab/sample_deployment.h"
#include "lab/stand_in_server.h"

namespace silverrail::lab::demo {

// Starts stand-in servers and the program, and sends some hundred requests of all classes; meanwhile an
// object is purged and a server drains. Then ends the program and reads the trace that it recorded.
class Demo {
public:
    // `program`: the path of silverrail.
    explicit Demo(std::string program);
    // Kills the program if it still runs, and removes its files.
    ~Demo();
    Demo(const Demo&) = delete;
    Demo& operator=(const Demo&) = delete;

    // Plays the whole demo and prints its figures to standard output. True if each request had one answer
    // with the right bytes, no write was executed twice, the program ended with exit code 0, and its trace
    // replays. Throws boost::system::system_error if no port is free.
    bool run();

private:
    using Duration = std::chrono::steady_clock::duration;

    void start_servers();
    void add_server(const std::string& id, StandInServer::Role role, const char* kind);
    std::string find_address(const std::string& id) const;
    void write_files() const;
    void start_router();
    [[noreturn]] void execute_router() const;
    bool router_listens();
    bool play_workload();
    void purge_an_object();
    void drain_a_server();
    bool stop_router();
    // Runs handlers until `condition` holds; false if it does not within `timeout`.
    bool run_until(const std::function<bool()>& condition, Duration timeout);

    void print_servers() const;
    int repeated_writes() const;
    bool read_trace() const;
    void print_log() const;

    std::string program_;
    std::filesystem::path folder_;
    net::asio::io_context io_;
    Workload workload_;
    DiscoveryServer discovery_{io_};
    std::vector<std::unique_ptr<StandInServer>> servers_;
    std::vector<SampleServer> endpoints_;
    net::tcp::endpoint router_;
    pid_t router_pid_ = -1;  // -1: it does not run
};

}  // namespace silverrail::lab::demo
