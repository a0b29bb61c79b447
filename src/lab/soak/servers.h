// Stand-in servers: caches, two hubs (parent caches) and the store (the origin). Each listens for each router
// at a port of its own, so that the sender of a request is known. They keep copies, honour the age that a
// request allows, and misbehave as they are set.
#pragma once

#include <memory>
#include <random>
#include <set>

#include "lab/soak/async.h"
#include "lab/soak/oracle.h"

namespace silverrail::lab::soak {

// How many of 100 requests a server treats how; one request in one way.
struct Misbehaviour {
    int hang = 0;        // no answer
    int reset = 0;       // the connection is reset
    int error = 0;       // 500, or 503 that says it was not begun
    int spoil = 0;       // an answer that can't be read, breaks off, or has a second one behind it
    int close_idle = 0;  // a good answer, and then the connection ends
    Millis slow{};       // all answers come late, by half of this up to one and a half of it
};

// Servers and routers are named by their index: caches first, then the hubs, the store last. Tells the oracle
// of each request and execution. Runs on the thread of `io`.
class Servers {
public:
    // All are up. Throws boost::system::system_error if no port is free.
    Servers(asio::io_context& io, Oracle& oracle, std::size_t servers, std::size_t routers,
            std::uint64_t seed);
    ~Servers();
    Servers(const Servers&) = delete;
    Servers& operator=(const Servers&) = delete;

    static constexpr std::size_t kHubs = 2;
    std::size_t count() const {
        return servers_.size();
    }
    bool is_cache_server(std::size_t server) const {
        return server + kHubs + 1 < servers_.size();
    }
    bool is_store(std::size_t server) const {
        return server + 1 == servers_.size();
    }
    std::string id(std::size_t server) const {
        return "s-" + std::to_string(server);
    }
    // As discovery lists it.
    const char* kind(std::size_t server) const;
    // ADDRESS:PORT at which the server listens for the router.
    std::string address(std::size_t server, std::size_t router) const;

    Misbehaviour& misbehaviour(std::size_t server) {
        return servers_.at(server)->misbehaviour;
    }
    // Down, it refuses connections, has reset those it had, and has lost its copies.
    void set_up(std::size_t server, bool up);

private:
    struct Listener {
        explicit Listener(asio::io_context& io) : acceptor(io) {}
        tcp::acceptor acceptor;
        tcp::endpoint endpoint;
        std::uint64_t opening = 0;  // an accept of an earlier opening is over
    };
    struct Server {
        std::vector<std::unique_ptr<Listener>> listeners;  // by router
        std::map<std::string, std::int64_t> copies;        // by path: when the store made it, Unix ms
        std::set<tcp::socket*> connections;
        Misbehaviour misbehaviour;
        bool up = true;
    };
    struct Exchange;
    using Response = http::response<http::string_body>;
    enum class Next { go_on, close, reset };  // what becomes of a connection

    void open(std::size_t server, std::size_t router);
    Task<> accept(std::size_t server, std::size_t router, std::uint64_t opening);
    Task<> serve(std::size_t server, std::size_t router, tcp::socket socket);
    void on_request(std::size_t server, std::size_t router, Exchange& exchange, Moment first_byte);
    Task<Next> answer(std::size_t server, Exchange& exchange);
    Task<Next> misbehave(std::size_t server, Exchange& exchange);
    Task<Next> hang(Exchange& exchange);
    Task<Next> spoil(Exchange& exchange);
    Task<Next> write(Exchange& exchange, Response response);
    Task<Response> carry_out(std::size_t server, Exchange& exchange);
    Task<Response> carry_out_write(Exchange& exchange);
    Task<Response> fill(std::size_t server, Exchange& exchange);
    void execute(Exchange& exchange);
    std::optional<std::size_t> index_of(const std::string& id) const;
    // From 0 to `max`.
    int draw(int max) {
        return static_cast<int>(random_() % static_cast<unsigned>(max + 1));
    }

    asio::io_context& io_;
    Oracle& oracle_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::map<std::string, Moment> executed_keys_;  // of keyed requests; the servers share them
};

}  // namespace silverrail::lab::soak
