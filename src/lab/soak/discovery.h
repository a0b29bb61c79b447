// A stand-in for discovery: the list of servers and the purges as numbered events, told to each router at an
// address of that router's own, which may move. It can be down, silent or slow, for one router at a time.
#pragma once

#include <functional>
#include <set>

#include "lab/soak/servers.h"

namespace silverrail::lab::soak {

class Discovery {
public:
    enum class ServerState { active, leaving, left };

    Discovery(asio::io_context& io, Oracle& oracle, Servers& servers, std::size_t routers);
    ~Discovery();

    std::string address(std::size_t router) const {
        return text_of(routers_.at(router)->at);
    }
    // What the router is told with a configuration that is written now, as JSON.
    std::string known(std::size_t router);
    // A new process has begun with that.
    void known_told(std::size_t router);

    void list(std::size_t server, ServerState state);
    void restarted(std::size_t server);  // the same id, another start
    void purge(std::size_t lot);

    void move(std::size_t router);  // the old address tells nothing more and closes 1.5 s later
    void set_down(std::size_t router, bool down);
    void set_silent(std::size_t router, bool silent) {
        routers_.at(router)->silent = silent;
    }
    void set_slow(std::size_t router, Millis by) {
        routers_.at(router)->slow = by;
    }
    // A router that is stopped is not told anything until it runs on.
    void set_stopped(std::size_t router, bool stopped);

private:
    struct Event {
        std::int64_t no = 0;
        std::optional<std::size_t> server{};  // absent: a purge
        ServerState state = ServerState::active;
        std::int64_t started_ms = 0;
        std::size_t lot = 0;
        std::int64_t issued_ms = 0;
    };
    struct Listed {
        ServerState state = ServerState::active;
        std::int64_t started_ms = 0;
    };
    struct Router {
        explicit Router(asio::io_context& io) : acceptor(io) {}
        tcp::acceptor acceptor;
        tcp::endpoint at;
        std::uint64_t openings = 0;
        std::uint64_t moves = 0;
        std::set<tcp::socket*> open;
        bool down = false;
        bool silent = false;
        bool stopped = false;
        std::int64_t known_no = 0;  // the last event in the configuration as it was written last
        std::vector<Listed> known;  // and the list
        std::vector<Event> unread;  // written while it was stopped
        Millis slow{};
    };
    void open(std::size_t router, const tcp::endpoint& at);
    void add(Event event);
    std::string text_of_event(const Event& event, std::size_t router) const;
    std::string server_text(std::size_t server, const Listed& listed, std::size_t router) const;
    Task<> accept(std::size_t router, std::uint64_t opening);
    Task<> tell(std::size_t router, std::uint64_t moves, tcp::socket socket);
    void not_told(std::size_t router, const Event& event);
    void delivered(std::size_t router, const Event& event);

    asio::io_context& io_;
    Oracle& oracle_;
    Servers& servers_;
    std::vector<Event> events_;
    std::vector<Listed> listed_;
    std::vector<std::unique_ptr<Router>> routers_;
};

}  // namespace silverrail::lab::soak
