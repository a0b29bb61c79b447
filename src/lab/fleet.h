// A fleet of real processes of the program on loopback, for tests of several processes: each with its own
// folder ($TMPDIR), ports and peers section, all peer traffic through a lab::Relay. It starts, stops
// (SIGSTOP), wakes, kills, restarts and ends them by process id, and ends every process it started when it
// goes. Waiting is on the processes' own log lines (poll on their standard error), bounded by a deadline.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/relay.h"

namespace silverrail::lab {

// One member as a MEMBERS answer gives it.
struct Seen {
    std::string state;
    std::uint64_t incarnation = 0;
    std::uint64_t start = 0;
    bool operator==(const Seen&) const = default;
};
using View = std::map<std::string, Seen>;

class Fleet {
public:
    struct Options {
        std::size_t members = 8;
        std::string program;      // the silverrail binary
        std::string peers_extra;  // more keys of the peers section, as JSON text starting with a comma
        std::uint64_t seed = 1;
        // Where each member stands; empty: zones z0 to z2 of region r1, and all of them clients' zone edge-1.
        struct Place {
            std::string zone, region;
        };
        std::vector<Place> places{};
        // The servers in member i's list; absent: forty of zone edge-1 that nobody listens for.
        struct ServerRecord {
            std::string id, address, zone, kind = "small-box", state = "active";
            int weight = 10;
        };
        std::function<std::vector<ServerRecord>(std::size_t)> servers{};
        std::string rules = "{}";  // the settings' `invariants`, as JSON text
        std::string family{};      // more keys of `family-info`, as JSON text starting with a comma
    };
    explicit Fleet(Options options);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // Appended, not "m" + ...: GCC 12 takes the insert at the front for an overlap (-Wrestrict, an error in
    // CI).
    static std::string name(std::size_t i) {
        return std::string{"m"}.append(std::to_string(i));
    }
    void start(std::size_t i);  // also a restart: the same name and ports, a new process
    void signal(std::size_t i, int sig);
    void kill(std::size_t i);  // SIGKILL, and reaped
    bool running(std::size_t i) const {
        return pids_.at(i) > 0;
    }
    pid_t pid(std::size_t i) const {
        return pids_.at(i);
    }
    Relay& relay() {
        return relay_;
    }
    std::string peer_address(std::size_t i) const;  // the member's own port, not the relay's
    std::string http(std::size_t i) const;          // where its clients connect

    // MEMBERS of member i; empty if it does not answer.
    View view(std::size_t i);
    // A call on member i's control address, the whole answer.
    std::string call(std::size_t i, const std::string& line);
    // GET /counters of member i: name to value.
    std::map<std::string, std::uint64_t> counters(std::size_t i);
    // REPLICA of member i: origin to the number held; empty if it does not answer.
    std::map<std::string, std::uint64_t> digest(std::size_t i);
    // A read (or, of class lodge, a write) by a client of member i; the status, 0: no answer, -1: more than
    // one answer. `id`, if not null, is given the client's id.
    int ask(std::size_t i, const std::string& class_name, std::uint64_t object, std::string* id = nullptr);
    // The servers in the list that every member is given: "b-0" to "b-39".
    static constexpr std::size_t kServers = 40;
    static std::string server(std::size_t k) {
        return std::string{"b-"}.append(std::to_string(k));
    }
    std::filesystem::path folder(std::size_t i) const {
        return folder_ / name(i);
    }
    std::size_t members() const {
        return pids_.size();
    }
    // What member i wrote on its standard error so far.
    const std::string& log(std::size_t i) {
        return logs_.at(i);
    }
    // Waits until `done` holds, reading logs meanwhile; false at the deadline.
    bool wait_until(const std::function<bool()>& done, std::chrono::milliseconds most);
    // Every running member but those in `except` sees each running member as `state` ("alive" for all).
    bool agree(const std::vector<std::size_t>& except = {});
    bool everyone_sees(std::size_t who, const std::string& state,
                       const std::vector<std::size_t>& except = {});

private:
    void read_logs(int wait_ms);

    Options options_;
    std::filesystem::path folder_;
    Relay relay_;
    std::vector<pid_t> pids_;
    std::vector<int> pipes_;
    std::vector<std::string> logs_;
    std::uint64_t asked_ = 0;
    std::vector<unsigned short> peer_ports_, http_ports_, control_ports_;
};

}  // namespace silverrail::lab
