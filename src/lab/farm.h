// Stand-in servers for a fleet of real processes: each server answers every request as a hit, and listens for
// each router at a port of its own, so that it is known who asked, and one router's link to it can fail
// alone. A server or a link that is down refuses connections, and resets those it had. On a thread of its
// own; what was asked is kept up to a bound.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/asio.h"

namespace silverrail::lab {

class Farm {
public:
    Farm(std::size_t servers, std::size_t routers);
    ~Farm();
    std::string address(std::size_t server, std::size_t router) const;
    void set_server(std::size_t server, bool up);
    void set_link(std::size_t server, std::size_t router, bool up);

    struct Asked {
        std::size_t server, router;
        std::chrono::steady_clock::time_point at;
        std::string id;  // the client's
        bool write;
    };
    // Everything asked so far, in order; at most 200,000 are kept.
    std::vector<Asked> asked() const;
    // Of those, how many came to any of `servers` since.
    std::size_t asked_since(const std::vector<std::size_t>& servers,
                            std::chrono::steady_clock::time_point since) const;
    // How often each write ran, by the client's id.
    std::map<std::string, int> runs() const;

private:
    struct Door;
    struct Link;
    void arrange(Door& door);
    void accept(Door& door, std::uint64_t opened);
    void read(const std::shared_ptr<Link>& link);

    static constexpr std::size_t kMost = 200'000;
    net::asio::io_context io_;
    std::vector<std::unique_ptr<Door>> doors_;
    std::size_t routers_;
    mutable std::mutex mutex_;
    std::vector<Asked> asked_;
    std::thread thread_;
};

}  // namespace silverrail::lab
