// The clients of a soak: some connections to each router, on which requests of all classes come in many ways,
// and the front's view of which router takes what.
#pragma once

#include <optional>
#include <random>

#include "lab/soak/async.h"
#include "lab/soak/oracle.h"

namespace silverrail::lab::soak {

// What the front lets through to one router, and what became of its process.
struct RouterAvailability {
    tcp::endpoint at{};
    bool connections = false;               // new ones come
    bool requests = false;                  // requests come on open ones
    std::uint64_t generation = 0;           // of the process
    std::uint64_t killed = 0;               // the last generation that SIGKILL has ended
    std::optional<Moment> terminated_at{};  // when SIGTERM was sent to this process
    bool breaks = false;                    // system calls fail, and connections with them
};

struct ClientHabits {
    int leave = 2;  // of 100 requests, left before their answer
    int pipeline = 0;
    int in_pieces = 1;
    int unreadable = 0;
    int new_connection = 15;
    int rest = 3;
    Millis think{60};  // in the mean
    Millis longest_wait = terms::kLongestDeadline;
};

class Clients {
public:
    Clients(asio::io_context& io, Oracle& oracle, std::size_t routers, std::size_t each, std::uint64_t seed);
    // Until stop().
    void start();
    void stop() {
        stopping_ = true;
    }
    bool done() const {
        return running_ == 0;
    }
    RouterAvailability& availability(std::size_t router) {
        return availability_.at(router);
    }
    ClientHabits habits;

    static constexpr std::size_t kGroups = 4;

private:
    struct Connection;
    struct Sent {
        std::string id;
        Request request;
    };
    Task<> client(std::size_t router, std::size_t number);
    Task<bool> connect(Connection& connection);
    Task<> exchange(Connection& connection);
    Task<> send(Connection& connection, const std::string& bytes, bool in_pieces);
    Task<bool> receive(Connection& connection, const Sent& sent);
    Task<> unreadable(std::size_t router);
    void lost(Connection& connection, const Sent& sent, bool closed);
    Sent draw_request(std::size_t router, std::string& bytes);
    int draw(int most) {
        return static_cast<int>(random_() % static_cast<unsigned>(most + 1));
    }
    bool chance(int of_100) {
        return draw(99) < of_100;
    }

    asio::io_context& io_;
    Oracle& oracle_;
    std::mt19937_64 random_;
    std::vector<RouterAvailability> availability_;
    std::size_t each_;
    std::size_t running_ = 0;
    std::uint64_t requests_ = 0;
    bool stopping_ = false;
};

}  // namespace silverrail::lab::soak
