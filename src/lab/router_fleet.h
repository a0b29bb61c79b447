// A fleet of real router processes on loopback, for tests of several processes: each has a folder ($TMPDIR),
// ports and a `peers` section of its own, and all traffic between peers goes through a FaultProxy.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/fault_proxy.h"
#include "lab/fleet_config.h"

namespace silverrail::lab {

// One member as another one sees it, by the answer to MEMBERS.
struct MemberStatus {
    std::string state;
    std::uint64_t incarnation = 0;
    std::uint64_t start = 0;  // of its process, Unix ms
    bool operator==(const MemberStatus&) const = default;
};
using MembershipView = std::map<std::string, MemberStatus>;  // by name

using CounterValues = std::map<std::string, std::uint64_t>;

// Members are named by their index. Every process that is started here is ended here, by its process id, at
// the latest when the fleet is destroyed. Used by one thread.
class RouterFleet {
public:
    // No process runs yet. Throws std::runtime_error without free ports.
    explicit RouterFleet(FleetOptions options);
    ~RouterFleet();
    RouterFleet(const RouterFleet&) = delete;
    RouterFleet& operator=(const RouterFleet&) = delete;

    std::size_t members() const {
        return processes_.size();
    }
    FaultProxy& proxy() {
        return proxy_;
    }

    // Starts a process, after killing the one that runs: the same name, folder and ports.
    void start(std::size_t member);
    void signal(std::size_t member, int number);
    // SIGKILL; returns once the process is gone.
    void kill(std::size_t member);
    bool running(std::size_t member) const {
        return processes_.at(member).pid > 0;
    }
    pid_t pid(std::size_t member) const {
        return processes_.at(member).pid;
    }
    // Where the process keeps its files.
    std::filesystem::path folder(std::size_t member) const;
    // What it has written to standard error up to the last wait_until().
    const std::string& log(std::size_t member) const {
        return processes_.at(member).log;
    }
    // ADDRESS:PORT of the member itself, not of its proxy.
    std::string peer_address(std::size_t member) const;

    // The whole answer to a command on the member's control address; empty without one.
    std::string control(std::size_t member, const std::string& command);
    // By MEMBERS; empty if it does not answer.
    MembershipView membership(std::size_t member);
    // By GET /counters; empty if it does not answer.
    CounterValues counters(std::size_t member);
    // By REPLICA: the latest version held of each origin; empty if it does not answer.
    CounterValues replica_digest(std::size_t member);

    // In place of an HTTP status.
    static constexpr int kNoAnswer = 0;
    static constexpr int kSeveralAnswers = -1;
    // A client's request for an object: a write in class lodge, a read in any other. Returns the status, and
    // the request's id in `id` if this is not null.
    int request(std::size_t member, const std::string& class_name, std::uint64_t object,
                std::string* id = nullptr);

    // Waits until `condition` holds, reading logs meanwhile: it is looked at after each log line and every
    // 100 ms. False if it does not hold at the end of `timeout`.
    bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout);
    void wait_for(std::chrono::milliseconds span);
    // Every running member except `viewers_left_out` sees each running member as alive.
    bool agree(const std::vector<std::size_t>& viewers_left_out = {});
    // Every other running member except `viewers_left_out` sees `member` in `state`.
    bool all_see(std::size_t member, const std::string& state,
                 const std::vector<std::size_t>& viewers_left_out = {});

private:
    struct Process {
        pid_t pid = -1;  // -1: none runs
        int log_pipe = -1;
        std::string log;
        unsigned short peer_port = 0;
        unsigned short client_port = 0;
        unsigned short control_port = 0;
    };
    void write_files(std::size_t member);
    [[noreturn]] void execute(std::size_t member, int log) const;
    void read_logs(std::chrono::milliseconds timeout);

    FleetOptions options_;
    std::filesystem::path folder_;
    FaultProxy proxy_;
    std::vector<Process> processes_;
    std::uint64_t requests_ = 0;
};

}  // namespace silverrail::lab
