// The routers of a soak: real processes, each with a folder, a configuration, a control file of its system
// calls' faults, and a log.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/faults/control.h"
#include "lab/soak/oracle.h"

namespace silverrail::lab::soak {

// ADDRESS:PORT of each.
struct RouterAddresses {
    std::string listen;
    std::string discovery;
};

// Routers are named by their index. Every process that is started here is ended here, by its process id, at
// the latest when this object is destroyed.
class RouterProcesses {
public:
    static constexpr std::size_t kMemoryMb = 64;  // the limit of each router

    struct Programs {
        std::string router;
        std::string fault_library;
    };
    // Makes the routers' folders in `folder`; no process runs yet. Throws std::filesystem::filesystem_error
    // and std::system_error.
    // `longest_deadline`: of all classes.
    RouterProcesses(Programs programs, const std::filesystem::path& folder, std::size_t count,
                    std::uint64_t seed, Millis longest_deadline);
    ~RouterProcesses();
    RouterProcesses(const RouterProcesses&) = delete;
    RouterProcesses& operator=(const RouterProcesses&) = delete;

    std::size_t count() const {
        return routers_.size();
    }

    // Replaces the router's configuration file; `known`: the events of discovery so far, as a JSON object.
    void write_configuration(std::size_t router, const RouterAddresses& addresses, const std::string& known);
    // Leaves a file that breaks off, as a reader sees it that comes while it is written.
    void write_half_a_configuration(std::size_t router);

    // Does nothing if a process runs.
    void start(std::size_t router);
    void signal(std::size_t router, int number);
    // SIGKILL; returns once the process is gone.
    void kill(std::size_t router);
    bool running(std::size_t router) const {
        return routers_.at(router)->pid > 0;
    }
    // The status as waitpid gives it, once after the process has ended; else absent.
    std::optional<int> exit_status(std::size_t router);
    // The number of processes that were started: it tells one from the next.
    std::uint64_t generation(std::size_t router) const {
        return routers_.at(router)->generation;
    }

    // Resident memory in KB; 0: none runs, or it has just been started.
    std::size_t resident_kb(std::size_t router) const;

    FaultFile& faults(std::size_t router) {
        return *routers_.at(router)->faults;
    }
    // How many violations of the rules its processes have logged themselves.
    std::uint64_t logged_violations(std::size_t router) const;

private:
    struct Router {
        std::filesystem::path folder;
        std::unique_ptr<FaultFile> faults;
        pid_t pid = -1;  // -1: none runs
        std::uint64_t generation = 0;
    };
    [[noreturn]] void execute(std::size_t router) const;

    Programs programs_;
    std::uint64_t seed_;
    Millis longest_deadline_;
    std::vector<std::unique_ptr<Router>> routers_;
};

}  // namespace silverrail::lab::soak
