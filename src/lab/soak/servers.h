// Stand-in servers: caches, two hubs and the store, each listening for each router at a port of its own, so
// that it is known who sends. They keep copies, honour the oldest that will do, and misbehave as they are
// told to.
#pragma once

#include <memory>
#include <random>
#include <set>

#include "lab/soak/async.h"
#include "lab/soak/oracle.h"

namespace silverrail::lab::soak {

// How often of 100 a server does what; the first that is drawn counts.
struct Misbehaviour {
    int hang = 0;
    int reset = 0;
    int error = 0;
    int spoil = 0;
    int close_idle = 0;
    Millis slow{};
};

class Servers {
public:
    Servers(asio::io_context& io, Oracle& oracle, std::size_t servers, std::size_t routers,
            std::uint64_t seed);
    ~Servers();

    std::size_t count() const {
        return servers_.size();
    }
    std::string id(std::size_t server) const {
        return "s-" + std::to_string(server);
    }
    const char* kind(std::size_t server) const;
    bool is_cache_server(std::size_t server) const {
        return server + kHubs + 1 < servers_.size();
    }
    std::string address(std::size_t server, std::size_t router) const;
    Misbehaviour& misbehaviour(std::size_t server) {
        return servers_.at(server)->how;
    }
    // Ends its process: refuses connections and resets those it has. Up again, it holds no copies.
    void set_up(std::size_t server, bool up);

    static constexpr std::size_t kHubs = 2;

private:
    struct Door {
        explicit Door(asio::io_context& io) : acceptor(io) {}
        tcp::acceptor acceptor;
        tcp::endpoint at;
        std::uint64_t openings = 0;
    };
    struct Server {
        std::vector<std::unique_ptr<Door>> doors;  // by router
        std::map<std::string, std::int64_t> copies;
        std::map<std::string, Moment> keys;  // of keyed requests that ran
        std::set<tcp::socket*> open;
        Misbehaviour how;
        bool up = true;
    };
    struct Exchange;
    enum class Next { go_on, close, reset };
    void open(std::size_t server, std::size_t router);
    Task<> accept(std::size_t server, std::size_t router, std::uint64_t opening);
    Task<> serve(std::size_t server, std::size_t router, tcp::socket socket);
    Task<Next> answer(std::size_t server, Exchange& exchange);
    Task<Next> misbehave(std::size_t server, Exchange& exchange);
    Task<Next> write(Exchange& exchange, http::response<http::string_body> response);
    Task<http::response<http::string_body>> carry_out(std::size_t server, Exchange& exchange);
    std::optional<std::size_t> place(const std::string& id) const;
    void run(Exchange& exchange);
    int draw(int most) {
        return static_cast<int>(random_() % static_cast<unsigned>(most + 1));
    }

    asio::io_context& io_;
    Oracle& oracle_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::map<std::string, Moment> keys_;  // the servers share which keys they have seen
};

}  // namespace silverrail::lab::soak
