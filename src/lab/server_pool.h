// Stand-in servers for a fleet of real router processes. Every server answers each request as a cache hit. It
// listens for each router at a port of its own, so that the sender of a request is known and the link of a
// single router can fail. A server or a link that is down refuses connections and resets the open ones.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/asio.h"

namespace silverrail::lab {

// A request as a stand-in server received it.
struct ReceivedRequest {
    std::size_t server;
    std::size_t router;
    std::chrono::steady_clock::time_point received_at;
    std::string id;  // the client's
    bool is_write;
};

// Servers and routers are named by their index. The pool runs on a thread of its own; all public functions
// may be called from any other thread.
class StandInServerPool {
public:
    // Everything is up at first. Throws boost::system::system_error without free ports.
    StandInServerPool(std::size_t servers, std::size_t routers);
    ~StandInServerPool();
    StandInServerPool(const StandInServerPool&) = delete;
    StandInServerPool& operator=(const StandInServerPool&) = delete;

    // ADDRESS:PORT at which the server listens for the router; the same for the life of the pool.
    std::string address(std::size_t server, std::size_t router) const;

    // Both return once the change is in force.
    void set_server_up(std::size_t server, bool up);
    void set_link_up(std::size_t server, std::size_t router, bool up);

    // All requests so far, in the order of their arrival; none after the first 200,000 are kept.
    std::vector<ReceivedRequest> received() const;
    // The number of those that came to any of `servers` at or after `since`.
    std::size_t received_since(const std::vector<std::size_t>& servers,
                               std::chrono::steady_clock::time_point since) const;
    // How often each write was executed, by the client's id.
    std::map<std::string, int> write_executions() const;

private:
    struct Listener;
    struct Connection;

    Listener& listener(std::size_t server, std::size_t router) const;
    void bind(Listener& listener);
    void apply_state(Listener& listener);
    void accept(Listener& listener, std::uint64_t opening);
    void read(const std::shared_ptr<Connection>& connection);
    void record(const Connection& connection);
    void answer(const std::shared_ptr<Connection>& connection);
    void run_on_pool_thread(const std::function<void()>& action);

    net::asio::io_context io_;
    std::vector<std::unique_ptr<Listener>> listeners_;
    std::size_t routers_;
    mutable std::mutex mutex_;
    std::vector<ReceivedRequest> received_;  // guarded by mutex_
    std::thread thread_;
};

}  // namespace silverrail::lab
