// Stand-in servers, clients and a router's parts for the tests, on loopback with ports chosen by the system
// and on one thread. Nothing here takes the passing of time as proof of anything.
#pragma once

#include <memory>
#include <vector>

#include "../core/sample_settings.h"
#include "check.h"
#include "core/engine.h"
#include "front/platform/platform.h"
#include "net/clock.h"
#include "net/connection_pool.h"

namespace silverrail::test {

using namespace std::chrono_literals;
using net::asio::ip::tcp;
using Request = net::http::request<net::http::string_body>;
using Response = net::http::response<net::http::string_body>;

inline tcp::endpoint loopback(const char* address = "127.0.0.1") {
    return {net::asio::ip::make_address(address), 0};
}
inline std::string text_of(const tcp::endpoint& at) {
    return at.address().to_string() + ":" + std::to_string(at.port());
}

// Runs the event loop until the condition holds; the deadline only ends a test that fails.
template <class Condition>
void run_until(net::asio::io_context& io, Condition condition) {
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    while (!condition()) {
        CHECK(std::chrono::steady_clock::now() < deadline);
        io.restart();
        io.run_one_for(20ms);
    }
}

// A stand-in server with configurable behaviour.
class Server {
public:
    enum class Behaviour {
        answer,
        never_respond,
        reset_after_reading,
        truncate_response,
        close_after_answer,
        send_raw_response
    };
    struct Seen {
        Request request;
        std::size_t connection;
    };
    explicit Server(net::asio::io_context& io, const char* address = "127.0.0.1")
        : io_(io), acceptor_(io, loopback(address)) {
        accept();
    }
    std::string address() const {
        return text_of(acceptor_.local_endpoint());
    }
    void stop_listening() {
        acceptor_.close();
    }
    // Resets all open connections, as a process does that dies.
    void reset_connections() {
        for (const auto& weak : open_connections_)
            if (const auto connection = weak.lock(); connection && connection->socket.is_open()) {
                connection->socket.set_option(net::asio::socket_base::linger(true, 0));
                connection->socket.close();
            }
    }

    Behaviour behaviour = Behaviour::answer;
    Response response = hit("bytes of the object");
    std::string raw_response;  // sent unchanged; the connection stays open
    std::vector<Seen> seen;
    std::size_t connections = 0;
    std::size_t closed = 0;  // by the router

    static Response hit(std::string body) {
        Response r{net::http::status::ok, 11};
        r.set("Tag", "4be0c1927d55a6f3");
        r.set("Made-At", "1764576000123");
        r.set("Detail", "hit");
        r.body() = std::move(body);
        return r;
    }

private:
    struct Connection {
        explicit Connection(tcp::socket s) : socket(std::move(s)) {}
        tcp::socket socket;
        net::beast::flat_buffer buffer;
        Request request;
        Response response;
        std::size_t number = 0;
    };
    void accept() {
        acceptor_.async_accept([this](const net::error_code& error, tcp::socket socket) {
            if (error)
                return;
            auto connection = std::make_shared<Connection>(std::move(socket));
            connection->number = ++connections;
            open_connections_.push_back(connection);
            read(connection);
            accept();
        });
    }
    void read(const std::shared_ptr<Connection>& connection) {
        connection->request = {};
        net::http::async_read(connection->socket, connection->buffer, connection->request,
                              [this, connection](const net::error_code& error, std::size_t) {
                                  if (error) {
                                      ++closed;
                                      return;
                                  }
                                  seen.push_back({connection->request, connection->number});
                                  reply(connection);
                              });
    }
    void reply(const std::shared_ptr<Connection>& connection) {
        if (behaviour == Behaviour::never_respond)
            return read(connection);
        if (behaviour == Behaviour::reset_after_reading) {
            connection->socket.set_option(net::asio::socket_base::linger(true, 0));
            connection->socket.close();
            return;
        }
        if (behaviour == Behaviour::send_raw_response) {
            net::asio::write(connection->socket, net::asio::buffer(raw_response));
            return read(connection);
        }
        connection->response = response;
        connection->response.prepare_payload();
        if (behaviour == Behaviour::truncate_response)
            connection->response.set(net::http::field::content_length, "100000");
        net::http::async_write(connection->socket, connection->response,
                               [this, connection](const net::error_code& error, std::size_t) {
                                   if (error)
                                       return;
                                   if (behaviour == Behaviour::answer)
                                       return read(connection);
                                   connection->socket.close();
                               });
    }
    net::asio::io_context& io_;
    tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<Connection>> open_connections_;
};

// One client connection with one request at a time.
class Client {
public:
    Client(net::asio::io_context& io, const tcp::endpoint& to) : socket_(io) {
        socket_.connect(to);
    }
    void send(Request request) {
        done = false;
        broken = false;
        response = {};
        request_ = std::move(request);
        request_.prepare_payload();
        net::http::async_write(socket_, request_, [](const net::error_code&, std::size_t) {});
        net::http::async_read(socket_, buffer_, response, [this](const net::error_code& error, std::size_t) {
            broken = bool(error);
            done = true;
        });
    }
    void leave() {
        socket_.close();
    }
    bool extra_bytes() {
        net::error_code error;
        return buffer_.size() > 0 || socket_.available(error) > 0;
    }
    unsigned status() const {
        return response.result_int();
    }

    bool done = false;
    bool broken = false;
    Response response;

private:
    tcp::socket socket_;
    net::beast::flat_buffer buffer_;
    Request request_;
};

// A connection on which bytes are written unchanged.
class RawConnection {
public:
    explicit RawConnection(net::asio::io_context& io) : socket_(io) {}
    void send(const std::string& bytes) {
        net::asio::write(socket_, net::asio::buffer(bytes));
    }
    // Returns false if the other side has reset the connection.
    bool accepts_writes() {
        net::error_code error;
        net::asio::write(socket_, net::asio::buffer("x", 1), error);
        return !error;
    }
    void half_close() {
        socket_.shutdown(tcp::socket::shutdown_send);
    }

protected:
    tcp::socket socket_;
};

// Writes bytes unchanged, and collects what it receives until the connection ends.
class RawClient : public RawConnection {
public:
    RawClient(net::asio::io_context& io, const tcp::endpoint& to, std::string bytes = {})
        : RawConnection(io), bytes_(std::move(bytes)) {
        socket_.open(to.protocol());
        // Small, so that further bytes wait until the other side has read.
        socket_.set_option(net::asio::socket_base::send_buffer_size(16 * 1024));
        socket_.connect(to);
        net::asio::async_write(
            socket_, net::asio::buffer(bytes_),
            [this](const net::error_code& error, std::size_t) { write_failed = bool(error); });
        read();
    }
    void reset() {
        socket_.set_option(net::asio::socket_base::linger(true, 0));
        socket_.close();
    }
    bool ended = false;
    bool clean = false;         // it ended and was not reset
    bool write_failed = false;  // of the initial bytes
    std::string received;

private:
    void read() {
        socket_.async_read_some(net::asio::buffer(part_),
                                [this](const net::error_code& error, std::size_t got) {
                                    received.append(part_, got);
                                    if (!error)
                                        return read();
                                    clean = error == net::asio::error::eof;
                                    ended = true;
                                });
    }
    std::string bytes_;
    char part_[4096];
};

// A client of the control address: sends one line, and collects what it receives until the other side closes.
class ControlClient : public RawConnection {
public:
    ControlClient(net::asio::io_context& io, const tcp::endpoint& to, const std::string& line)
        : RawConnection(io) {
        socket_.connect(to);
        if (!line.empty())
            net::asio::write(socket_, net::asio::buffer(line));
        net::asio::async_read(socket_, net::asio::dynamic_buffer(answer),
                              [this](const net::error_code& error, std::size_t) {
                                  clean = error == net::asio::error::eof;
                                  done = true;
                              });
    }
    std::string answer;
    bool done = false;
    bool clean = false;  // it ended and was not reset
};

inline std::string send_command(net::asio::io_context& io, const tcp::endpoint& to, const std::string& line) {
    ControlClient client{io, to, line + "\n"};
    run_until(io, [&] { return client.done; });
    CHECK(client.clean);
    return client.answer;
}

inline Request make_request(const std::string& class_name, const std::string& object,
                            int max_wait_ms = 5000) {
    const bool write = class_name == "lodge" || class_name == "order";
    Request r{write ? net::http::verb::put : net::http::verb::get,
              "/ops/" + class_name + "/" + object + "/piece-3", 11};
    r.set("Host", "app.svc");
    static std::uint64_t last_id = 0;
    char id[17];
    std::snprintf(id, sizeof id, "9b1f%012llx", static_cast<unsigned long long>(++last_id));
    r.set("Trace-Id", id);
    r.set("Max-Wait-Ms", std::to_string(max_wait_ms));
    r.set("X-Lot", "17");
    if (write)
        r.body() = "timesheet";
    if (class_name == "order")
        r.set("Replay-Key", "key-of-" + object);
    return r;
}

using core::test::listed;
using core::test::settings;

// The router's parts in this process, connected as in the program.
class Router {
public:
    explicit Router(net::asio::io_context& io, net::HttpLimits limits = {},
                    std::size_t max_open_requests = 1000, net::ConnectionPoolLimits pool_limits = {})
        : timers(io),
          pool(io, pool_limits, clock, memory, log),
          engine(settings(), 7, max_open_requests, clock, timers, pool, log),
          platform(engine, lifecycle, log),
          server(
              io, loopback(), limits, front::kRequestFields,
              [this](auto session, auto request) { platform.handle(session, std::move(request)); }, memory,
              log) {
        lifecycle.enter(Lifecycle::Phase::ready);
        server.start();
    }
    void list(std::vector<core::Server> servers, bool complete = true) {
        engine.apply(core::ServerChange{complete, std::move(servers)});
    }
    // Lists the given servers, and a parent and an origin that are used only as sources.
    void list_with_sources(std::vector<core::Server> servers) {
        servers.push_back(listed("s-parent", "127.0.0.1:9", "parent"));
        servers.push_back(listed("s-origin", "127.0.0.1:9", "origin"));
        list(std::move(servers));
    }
    Log log;
    net::SystemClock clock;
    limits::MemoryBudget memory;
    net::TimerQueue timers;
    net::ConnectionPool pool;
    Lifecycle lifecycle;
    core::Engine engine;
    front::Platform platform;
    net::HttpServer server;
};

// Waits until a connection to a server that has just responded may be reused.
inline void wait_until_reusable(net::asio::io_context& io, const Router& router) {
    const auto reusable_at = router.clock.now() + net::ConnectionPoolLimits{}.min_idle_before_reuse;
    run_until(io, [&] { return router.clock.now() > reusable_at; });
}

}  // namespace silverrail::test
