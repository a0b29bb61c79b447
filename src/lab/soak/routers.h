// The routers of a soak: real processes, each with a folder, a configuration, a fault control file and a log
// of its own. Every process that is started here is ended here, by its id.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "lab/faults/control.h"
#include "lab/soak/oracle.h"

namespace silverrail::lab::soak {

struct RouterPlaces {
    std::string listen;     // address:port for clients
    std::string discovery;  // where its discovery is
};

class Routers {
public:
    struct Programs {
        std::string router;
        std::string fault_library;
    };
    Routers(Programs programs, std::filesystem::path folder, std::size_t count, std::uint64_t seed);
    ~Routers();
    Routers(const Routers&) = delete;
    Routers& operator=(const Routers&) = delete;

    // Writes the configuration; `known`: the events so far, as JSON of an object.
    void configure(std::size_t router, const RouterPlaces& places, const std::string& known);
    void write_half_a_configuration(std::size_t router);
    void start(std::size_t router);
    void signal(std::size_t router, int signal);
    // The exit status as waitpid gives it, once it has ended.
    std::optional<int> ended(std::size_t router);
    void kill(std::size_t router);  // SIGKILL, and waited for

    bool running(std::size_t router) const {
        return routers_.at(router)->pid > 0;
    }
    // A new number with each process.
    std::uint64_t generation(std::size_t router) const {
        return routers_.at(router)->generation;
    }
    FaultFile& faults(std::size_t router) {
        return *routers_.at(router)->faults;
    }
    std::filesystem::path folder(std::size_t router) const {
        return routers_.at(router)->folder;
    }
    std::size_t count() const {
        return routers_.size();
    }
    // The sum of the violations that its processes have counted themselves, by their logs.
    std::uint64_t own_violations(std::size_t router) const;

private:
    struct Router {
        std::filesystem::path folder;
        std::unique_ptr<FaultFile> faults;
        pid_t pid = -1;
        std::uint64_t generation = 0;
    };
    Programs programs_;
    std::uint64_t seed_;
    std::vector<std::unique_ptr<Router>> routers_;
};

}  // namespace silverrail::lab::soak
