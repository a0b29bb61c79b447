// Stand-ins for the tests: servers, clients and a router's parts on loopback, ports chosen by the system, one
// thread. Nothing here waits for a time to pass as proof of anything.
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

// Runs until it is so; the bound only ends a test that has gone wrong.
template <class Test>
void run_until(net::asio::io_context& io, Test test) {
    const auto bound = std::chrono::steady_clock::now() + 20s;
    while (!test()) {
        CHECK(std::chrono::steady_clock::now() < bound);
        io.restart();
        io.run_one_for(20ms);
    }
}

// A server that answers as it is told to.
class Server {
public:
    enum class Behaviour {
        answer,
        never_respond,
        reset_after_reading,
        break_off,
        close_after_answer,
        say_raw
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
    // Whatever is open now, as a process that dies does.
    void reset_connections() {
        for (const auto& weak : links_)
            if (const auto link = weak.lock(); link && link->socket.is_open()) {
                link->socket.set_option(net::asio::socket_base::linger(true, 0));
                link->socket.close();
            }
    }

    Behaviour behaviour = Behaviour::answer;
    Response response = hit("bytes of the object");
    std::string raw;  // said as it is, with the connection left open
    std::vector<Seen> seen;
    std::size_t connections = 0;
    std::size_t closed = 0;  // by the other side

    static Response hit(std::string body) {
        Response r{net::http::status::ok, 11};
        r.set("Tag", "4be0c1927d55a6f3");
        r.set("Made-At", "1764576000123");
        r.set("Detail", "hit");
        r.body() = std::move(body);
        return r;
    }

private:
    struct Link {
        explicit Link(tcp::socket s) : socket(std::move(s)) {}
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
            auto link = std::make_shared<Link>(std::move(socket));
            link->number = ++connections;
            links_.push_back(link);
            read(link);
            accept();
        });
    }
    void read(const std::shared_ptr<Link>& link) {
        link->request = {};
        net::http::async_read(link->socket, link->buffer, link->request,
                              [this, link](const net::error_code& error, std::size_t) {
                                  if (error) {
                                      ++closed;
                                      return;
                                  }
                                  seen.push_back({link->request, link->number});
                                  reply(link);
                              });
    }
    void reply(const std::shared_ptr<Link>& link) {
        if (behaviour == Behaviour::never_respond)
            return read(link);
        if (behaviour == Behaviour::reset_after_reading) {
            link->socket.set_option(net::asio::socket_base::linger(true, 0));
            link->socket.close();
            return;
        }
        if (behaviour == Behaviour::say_raw) {
            net::asio::write(link->socket, net::asio::buffer(raw));
            return read(link);
        }
        link->response = response;
        link->response.prepare_payload();
        if (behaviour == Behaviour::break_off)
            link->response.set(net::http::field::content_length, "100000");
        net::http::async_write(link->socket, link->response,
                               [this, link](const net::error_code& error, std::size_t) {
                                   if (error)
                                       return;
                                   if (behaviour == Behaviour::answer)
                                       return read(link);
                                   link->socket.close();
                               });
    }
    net::asio::io_context& io_;
    tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<Link>> links_;
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

// A connection on which bytes are written as they are.
class RawConnection {
public:
    explicit RawConnection(net::asio::io_context& io) : socket_(io) {}
    void send(const std::string& bytes) {
        net::asio::write(socket_, net::asio::buffer(bytes));
    }
    // False: the other side has reset the connection.
    bool takes_more() {
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

// Writes bytes as they are and collects what comes back until the end of the connection.
class RawClient : public RawConnection {
public:
    RawClient(net::asio::io_context& io, const tcp::endpoint& to, std::string bytes = {})
        : RawConnection(io), bytes_(std::move(bytes)) {
        socket_.open(to.protocol());
        socket_.set_option(
            net::asio::socket_base::send_buffer_size(16 * 1024));  // more waits for the other side
        socket_.connect(to);
        net::asio::async_write(
            socket_, net::asio::buffer(bytes_),
            [this](const net::error_code& error, std::size_t) { cut_short = bool(error); });
        read();
    }
    void reset() {
        socket_.set_option(net::asio::socket_base::linger(true, 0));
        socket_.close();
    }
    bool ended = false;
    bool clean = false;      // it ended, and was not reset
    bool cut_short = false;  // what it writes was not taken
    std::string heard;

private:
    void read() {
        socket_.async_read_some(net::asio::buffer(part_),
                                [this](const net::error_code& error, std::size_t got) {
                                    heard.append(part_, got);
                                    if (!error)
                                        return read();
                                    clean = error == net::asio::error::eof;
                                    ended = true;
                                });
    }
    std::string bytes_;
    char part_[4096];
};

// One line at a second address, and all that comes back until the other side closes.
class ControlClient : public RawConnection {
public:
    ControlClient(net::asio::io_context& io, const tcp::endpoint& to, const std::string& says)
        : RawConnection(io) {
        socket_.connect(to);
        if (!says.empty())
            net::asio::write(socket_, net::asio::buffer(says));
        net::asio::async_read(socket_, net::asio::dynamic_buffer(answer),
                              [this](const net::error_code& error, std::size_t) {
                                  clean = error == net::asio::error::eof;
                                  done = true;
                              });
    }
    std::string answer;
    bool done = false;
    bool clean = false;  // it ended, and was not reset
};

inline std::string send_command(net::asio::io_context& io, const tcp::endpoint& to, const std::string& line) {
    ControlClient caller{io, to, line + "\n"};
    run_until(io, [&] { return caller.done; });
    CHECK(caller.clean);
    return caller.answer;
}

inline Request make_request(const std::string& class_name, const std::string& object, int wait_ms = 5000) {
    const bool write = class_name == "lodge" || class_name == "order";
    Request r{write ? net::http::verb::put : net::http::verb::get,
              "/ops/" + class_name + "/" + object + "/piece-3", 11};
    r.set("Host", "app.svc");
    static std::uint64_t asked = 0;
    char id[17];
    std::snprintf(id, sizeof id, "9b1f%012llx", static_cast<unsigned long long>(++asked));
    r.set("Trace-Id", id);
    r.set("Max-Wait-Ms", std::to_string(wait_ms));
    r.set("X-Lot", "17");
    if (write)
        r.body() = "timesheet";
    if (class_name == "order")
        r.set("Replay-Key", "key-of-" + object);
    return r;
}

using core::test::listed;
using core::test::settings;

// The router's parts as main.cpp wires them, in this process.
class Router {
public:
    explicit Router(net::asio::io_context& io, net::HttpLimits limits = {}, std::size_t most_open = 1000,
                    net::ConnectionPoolLimits to_servers = {})
        : timers(io),
          pool(io, to_servers, clock, log),
          engine(settings(), 7, most_open, clock, timers, pool, log),
          platform(engine, lifecycle, log),
          server(
              io, loopback(), limits,
              [this](auto session, auto request) { platform.handle(session, std::move(request)); }, log) {
        lifecycle.enter(Lifecycle::Phase::ready);
        server.start();
    }
    void list(std::vector<core::Server> servers, bool complete = true) {
        engine.apply(core::ServerChange{complete, std::move(servers)});
    }
    // The servers given, and a hub cache and an origin that only ever appear as sources.
    void list_with_sources(std::vector<core::Server> servers) {
        servers.push_back(listed("s-parent", "127.0.0.1:9", "parent"));
        servers.push_back(listed("s-origin", "127.0.0.1:9", "origin"));
        list(std::move(servers));
    }
    Log log;
    net::SystemClock clock;
    net::TimerQueue timers;
    net::ConnectionPool pool;
    Lifecycle lifecycle;
    core::Engine engine;
    front::Platform platform;
    net::HttpServer server;
};

// Until a connection to a server that has just answered is used again.
inline void rest(net::asio::io_context& io, const Router& router) {
    const auto rested = router.clock.now() + net::ConnectionPoolLimits{}.quiet_before_reuse;
    run_until(io, [&] { return router.clock.now() > rested; });
}

}  // namespace silverrail::test
