// Stand-in servers on loopback: servers that keep copies and fill misses from a hub or the store, and a
// discovery. One thread, ports chosen by the system. They are what the demo and tests need, no model of a
// real server.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "lab/sample_deployment.h"
#include "net/asio.h"

namespace silverrail::lab {

// The bytes of an object's part, the same wherever they are made.
std::string bytes_of(const std::string& class_name, const std::string& object, const std::string& part);

class Server {
public:
    enum class Role { server, hub, store };
    struct Counts {
        std::uint64_t asked = 0;
        std::uint64_t hits = 0;
        std::uint64_t fills = 0;
        std::uint64_t misses = 0;
        std::uint64_t writes = 0;
    };
    // `find` gives the address of another server by its id; empty: there is none.
    using Find = std::function<std::string(const std::string& id)>;
    Server(net::asio::io_context& io, std::string id, Role role, Find find);
    ~Server();
    std::string address() const;
    const std::string& id() const {
        return id_;
    }
    const Counts& counts() const {
        return counts_;
    }
    // The store: how often each write ran, by the client's id.
    const std::map<std::string, int>& runs() const {
        return runs_;
    }
    // Closes its listener and all connections, as a process that dies.
    void die();

private:
    struct Link;
    using Response = net::http::response<net::http::string_body>;
    void accept();
    void read(const std::shared_ptr<Link>& link);
    void answer(const std::shared_ptr<Link>& link);
    void fetch(const std::shared_ptr<Link>& link, const std::string& from);
    void say(const std::shared_ptr<Link>& link, Response response);
    Response good(const std::string& class_name, const std::string& object, const std::string& part,
                  const char* cache_status, std::int64_t made_ms) const;

    static constexpr std::size_t kMostCopies = 100'000;
    net::asio::io_context& io_;
    net::tcp::acceptor acceptor_;
    std::string id_;
    Role role_;
    Find find_;
    Counts counts_;
    std::map<std::string, std::int64_t> copies_;  // by path: when the store gave it out
    std::map<std::string, int> runs_;
    std::set<Link*> links_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

// Tells numbered events to whoever asks, from the one after the last that they have.
class DiscoveryWatch {
public:
    explicit DiscoveryWatch(net::asio::io_context& io);
    ~DiscoveryWatch();
    std::string address() const;
    void say(const Json::Value& event);  // its `no` goes up by one each time
    std::int64_t last() const {
        return static_cast<std::int64_t>(events_.size()) + first_ - 1;
    }
    // Numbers begin after what a configuration holds as known.
    void begin_after(std::int64_t no) {
        first_ = no + 1;
    }

private:
    struct Link;
    void accept();
    void read(const std::shared_ptr<Link>& link);
    void write(const std::shared_ptr<Link>& link);
    void beat();

    static constexpr std::size_t kMostEvents = 100'000;
    net::asio::io_context& io_;
    net::tcp::acceptor acceptor_;
    net::asio::steady_timer timer_;
    std::int64_t first_ = 1;
    std::deque<std::string> events_;
    std::set<std::shared_ptr<Link>> links_;
};

}  // namespace silverrail::lab
