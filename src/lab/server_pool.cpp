#include "lab/server_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <future>
#include <set>

#include "lab/stand_in_support.h"

namespace silverrail::lab {

namespace asio = net::asio;
namespace http = net::http;
using net::error_code;
using net::tcp;

namespace {

constexpr std::size_t kMaxReceived = 200'000;

}  // namespace

// One server's port for one router.
struct StandInServerPool::Listener {
    explicit Listener(asio::io_context& io) : acceptor(io) {}
    std::size_t server = 0;
    std::size_t router = 0;
    bool server_up = true;
    bool link_up = true;
    tcp::acceptor acceptor;
    tcp::endpoint endpoint{asio::ip::make_address("127.0.0.1"), 0};
    std::uint64_t opening = 0;  // a pending accept of an earlier opening is stale
    std::set<Connection*> connections;
};

struct StandInServerPool::Connection {
    Connection(tcp::socket accepted, Listener& at) : socket(std::move(accepted)), listener(at) {
        listener.connections.insert(this);
    }
    ~Connection() {
        listener.connections.erase(this);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    tcp::socket socket;
    Listener& listener;
    net::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
};

StandInServerPool::StandInServerPool(std::size_t servers, std::size_t routers) : routers_(routers) {
    for (std::size_t i = 0; i < servers * routers; ++i) {
        auto listener = std::make_unique<Listener>(io_);
        listener->server = i / routers;
        listener->router = i % routers;
        bind(*listener);
        apply_state(*listener);
        listeners_.push_back(std::move(listener));
    }
    thread_ = std::thread{[this] {
        const auto work = asio::make_work_guard(io_);
        io_.run();
    }};
}

StandInServerPool::~StandInServerPool() {
    io_.stop();
    thread_.join();
    // A connection refers to its listener: all of them end before the listeners do.
    error_code ignored;
    for (const auto& listener : listeners_) {
        listener->acceptor.close(ignored);
        for (Connection* connection : listener->connections)
            connection->socket.close(ignored);
    }
    io_.restart();
    io_.poll();
}

StandInServerPool::Listener& StandInServerPool::listener(std::size_t server, std::size_t router) const {
    return *listeners_.at(server * routers_ + router);
}

std::string StandInServerPool::address(std::size_t server, std::size_t router) const {
    return "127.0.0.1:" + std::to_string(listener(server, router).endpoint.port());
}

void StandInServerPool::run_on_pool_thread(const std::function<void()>& action) {
    std::promise<void> done;
    asio::post(io_, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

void StandInServerPool::set_server_up(std::size_t server, bool up) {
    run_on_pool_thread([&] {
        for (const auto& listener : listeners_) {
            if (listener->server != server || listener->server_up == up)
                continue;
            listener->server_up = up;
            apply_state(*listener);
        }
    });
}

void StandInServerPool::set_link_up(std::size_t server, std::size_t router, bool up) {
    run_on_pool_thread([&] {
        Listener& changed = listener(server, router);
        if (changed.link_up == up)
            return;
        changed.link_up = up;
        apply_state(changed);
    });
}

// Once for the life of the pool, so that no other process can get the port while the server is down.
void StandInServerPool::bind(Listener& listener) {
    listener.endpoint = tcp::acceptor{io_, listener.endpoint}.local_endpoint();
    listener.acceptor.open(tcp::v4());
    listener.acceptor.bind(listener.endpoint);
}

void StandInServerPool::apply_state(Listener& listener) {
    ++listener.opening;
    if (listener.server_up && listener.link_up) {
        listener.acceptor.listen();
        accept(listener, listener.opening);
        return;
    }
    // On Linux a listener that is shut down for reading refuses connections, and may listen again.
    ::shutdown(listener.acceptor.native_handle(), SHUT_RD);
    error_code ignored;
    for (Connection* connection : listener.connections) {
        connection->socket.set_option(asio::socket_base::linger{true, 0}, ignored);
        connection->socket.close(ignored);
    }
}

void StandInServerPool::accept(Listener& listener, std::uint64_t opening) {
    listener.acceptor.async_accept([this, &listener, opening](const error_code& error, tcp::socket socket) {
        if (error || listener.opening != opening)
            return;
        read(std::make_shared<Connection>(std::move(socket), listener));
        accept(listener, opening);
    });
}

void StandInServerPool::read(const std::shared_ptr<Connection>& connection) {
    connection->request = {};
    http::async_read(connection->socket, connection->buffer, connection->request,
                     [this, connection](const error_code& error, std::size_t) {
                         if (error)
                             return;
                         record(*connection);
                         answer(connection);
                     });
}

void StandInServerPool::record(const Connection& connection) {
    const auto& request = connection.request;
    const std::lock_guard lock{mutex_};
    if (received_.size() >= kMaxReceived)
        return;
    received_.push_back({.server = connection.listener.server,
                         .router = connection.listener.router,
                         .received_at = std::chrono::steady_clock::now(),
                         .id = std::string{request["Call-Id"]},
                         .is_write = request.method() == http::verb::put});
}

void StandInServerPool::answer(const std::shared_ptr<Connection>& connection) {
    auto& response = connection->response;
    response = {http::status::ok, kHttpVersion};
    response.body() = "bytes of " + std::string{connection->request.target()};
    response.set("Tag", "t1");
    response.set("Made-At", std::to_string(unix_time_ms()));
    response.set("Detail", "hit");
    response.prepare_payload();
    http::async_write(connection->socket, response, [this, connection](const error_code& error, std::size_t) {
        if (!error)
            read(connection);
    });
}

std::vector<ReceivedRequest> StandInServerPool::received() const {
    const std::lock_guard lock{mutex_};
    return received_;
}

std::size_t StandInServerPool::received_since(const std::vector<std::size_t>& servers,
                                              std::chrono::steady_clock::time_point since) const {
    const auto all = received();
    const auto counts = [&](const ReceivedRequest& request) {
        return request.received_at >= since &&
               std::find(servers.begin(), servers.end(), request.server) != servers.end();
    };
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), counts));
}

std::map<std::string, int> StandInServerPool::write_executions() const {
    std::map<std::string, int> executions;
    for (const ReceivedRequest& request : received())
        if (request.is_write)
            ++executions[request.id];
    return executions;
}

}  // namespace silverrail::lab
