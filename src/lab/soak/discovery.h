// A stand-in for service discovery: the endpoint list and the purges as numbered events, sent to each router
// at an address of that router's own, which may move. It can be down, silent or slow for a single router.
#pragma once

#include <set>

#include "lab/soak/servers.h"
#include "lab/stand_in_support.h"

namespace silverrail::lab::soak {

// Routers and servers are named by their index. Tells the oracle what each router has been told and when,
// counted from when the router was awake to read it. Runs on the thread of `io`.
class Discovery {
public:
    enum class ServerState { active, leaving, left };

    Discovery(asio::io_context& io, Oracle& oracle, Servers& servers, std::size_t routers);
    ~Discovery();
    Discovery(const Discovery&) = delete;
    Discovery& operator=(const Discovery&) = delete;

    // ADDRESS:PORT at which the router finds it.
    std::string address(std::size_t router) const {
        return address_text(routers_.at(router)->endpoint);
    }
    // The events so far, for a configuration of the router that is written now: a JSON object.
    std::string known_events(std::size_t router);
    // A new process of the router begins with the configuration that was written last.
    void on_configuration_read(std::size_t router);

    void list(std::size_t server, ServerState state);
    // The same id, another start.
    void list_restarted(std::size_t server);
    void purge(std::size_t group);

    // To a new address; the old one sends no more events, and closes 1.5 s later.
    void move(std::size_t router);
    void set_down(std::size_t router, bool down);
    void set_silent(std::size_t router, bool silent) {
        routers_.at(router)->silent = silent;
    }
    // Answers come so much later; zero: at once.
    void set_slow(std::size_t router, Millis delay) {
        routers_.at(router)->answer_delay = delay;
    }
    // The router's process is stopped, and reads nothing until it goes on.
    void set_stopped(std::size_t router, bool stopped);

private:
    struct Event {
        std::int64_t number = 0;
        std::optional<std::size_t> server{};  // absent: a purge
        ServerState state = ServerState::active;
        std::int64_t started_ms = 0;
        std::size_t group = 0;
        std::int64_t issued_ms = 0;
    };
    struct ListedServer {
        ServerState state = ServerState::active;
        std::int64_t started_ms = 0;
    };
    struct Router {
        explicit Router(asio::io_context& io) : acceptor(io) {}
        tcp::acceptor acceptor;
        tcp::endpoint endpoint;
        std::uint64_t opening = 0;  // an accept of an earlier opening is over
        std::uint64_t moves = 0;
        std::set<tcp::socket*> connections;
        bool down = false;
        bool silent = false;
        bool stopped = false;
        std::int64_t known_number = 0;         // the last event in the configuration that was written last
        std::vector<ListedServer> known_list;  // and the list in it
        std::vector<Event> unread;             // sent while it was stopped
        Millis answer_delay{};
    };
    // One watch of a router, from its request to its end.
    struct Stream {
        std::uint64_t moves = 0;     // as they were at its beginning
        std::int64_t last_sent = 0;  // number of an event
        std::string unsent;
        Moment heartbeat_at{};  // the last one
        Moment closes_at = Moment::max();
    };
    void open(std::size_t router, const tcp::endpoint& endpoint);
    void add(Event event);
    std::string event_json(const Event& event, std::size_t router) const;
    std::string server_json(std::size_t server, const ListedServer& listed, std::size_t router) const;
    Task<> accept(std::size_t router, std::uint64_t opening);
    Task<> serve(std::size_t router, std::uint64_t moves, tcp::socket socket);
    std::vector<Event> queue_events(std::size_t router, Stream& stream) const;
    void on_watch(std::size_t router, std::int64_t last_event);
    void on_refetch(std::size_t router, const Event& event);
    void on_delivered(std::size_t router, const Event& event);

    asio::io_context& io_;
    Oracle& oracle_;
    Servers& servers_;
    std::vector<Event> events_;
    std::vector<ListedServer> listed_;
    std::vector<std::unique_ptr<Router>> routers_;
};

}  // namespace silverrail::lab::soak
