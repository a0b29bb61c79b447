#include "lab/farm.h"

#include <sys/socket.h>

#include <algorithm>
#include <future>
#include <set>

namespace silverrail::lab {

namespace asio = net::asio;
namespace http = net::http;
using net::error_code;
using net::tcp;

// One server's port for one router.
struct Farm::Door {
    explicit Door(asio::io_context& io) : acceptor(io) {}
    std::size_t server = 0, router = 0;
    bool server_up = true, link_up = true;
    tcp::acceptor acceptor;
    tcp::endpoint at{asio::ip::make_address("127.0.0.1"), 0};
    std::uint64_t opened = 0;  // an accept of an earlier opening is over
    std::set<Link*> links;
};

struct Farm::Link {
    Link(tcp::socket s, Door& of) : socket(std::move(s)), door(of) {
        door.links.insert(this);
    }
    ~Link() {
        door.links.erase(this);
    }
    tcp::socket socket;
    Door& door;
    net::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
};

Farm::Farm(std::size_t servers, std::size_t routers) : routers_(routers) {
    for (std::size_t i = 0; i < servers * routers; ++i) {
        doors_.push_back(std::make_unique<Door>(io_));
        doors_.back()->server = i / routers;
        doors_.back()->router = i % routers;
        arrange(*doors_.back());
    }
    thread_ = std::thread{[this] {
        const auto stay = asio::make_work_guard(io_);
        io_.run();
    }};
}

Farm::~Farm() {
    io_.stop();
    thread_.join();
}

std::string Farm::address(std::size_t server, std::size_t router) const {
    return "127.0.0.1:" + std::to_string(doors_.at(server * routers_ + router)->at.port());
}

// Bound once and for all, so that the port stays ours: one that is shut down for reading listens no more
// (Linux), and may listen again.
void Farm::arrange(Door& door) {
    if (!door.acceptor.is_open()) {
        door.at = tcp::acceptor{io_, door.at}.local_endpoint();
        door.acceptor.open(tcp::v4());
        door.acceptor.bind(door.at);
    }
    ++door.opened;
    if (door.server_up && door.link_up) {
        door.acceptor.listen();
        accept(door, door.opened);
        return;
    }
    ::shutdown(door.acceptor.native_handle(), SHUT_RD);
    error_code ignored;
    for (auto* link : door.links) {
        link->socket.set_option(asio::socket_base::linger{true, 0}, ignored);
        link->socket.close(ignored);
    }
}

void Farm::set_server(std::size_t server, bool up) {
    std::promise<void> done;
    asio::post(io_, [&] {
        for (auto& door : doors_)
            if (door->server == server && std::exchange(door->server_up, up) != up)
                arrange(*door);
        done.set_value();
    });
    done.get_future().wait();
}

void Farm::set_link(std::size_t server, std::size_t router, bool up) {
    std::promise<void> done;
    asio::post(io_, [&] {
        auto& door = *doors_.at(server * routers_ + router);
        if (std::exchange(door.link_up, up) != up)
            arrange(door);
        done.set_value();
    });
    done.get_future().wait();
}

void Farm::accept(Door& door, std::uint64_t opened) {
    door.acceptor.async_accept([this, &door, opened](const error_code& error, tcp::socket socket) {
        if (error || door.opened != opened)
            return;
        read(std::make_shared<Link>(std::move(socket), door));
        accept(door, opened);
    });
}

void Farm::read(const std::shared_ptr<Link>& link) {
    link->request = {};
    http::async_read(
        link->socket, link->buffer, link->request, [this, link](const error_code& error, std::size_t) {
            if (error)
                return;
            const auto& request = link->request;
            {
                const std::lock_guard lock{mutex_};
                if (asked_.size() < kMost)
                    asked_.push_back({link->door.server, link->door.router, std::chrono::steady_clock::now(),
                                      std::string{request["Call-Id"]}, request.method() == http::verb::put});
            }
            auto& r = link->response;
            r = {http::status::ok, 11};
            r.body() = "bytes of " + std::string{request.target()};
            r.set("Tag", "t1");
            r.set("Made-At", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                std::chrono::system_clock::now().time_since_epoch())
                                                .count()));
            r.set("Detail", "hit");
            r.prepare_payload();
            http::async_write(link->socket, r, [this, link](const error_code& broken, std::size_t) {
                if (!broken)
                    read(link);
            });
        });
}

std::vector<Farm::Asked> Farm::asked() const {
    const std::lock_guard lock{mutex_};
    return asked_;
}

std::size_t Farm::asked_since(const std::vector<std::size_t>& servers,
                              std::chrono::steady_clock::time_point since) const {
    const auto all = asked();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const Asked& a) {
        return a.at >= since && std::find(servers.begin(), servers.end(), a.server) != servers.end();
    }));
}

std::map<std::string, int> Farm::runs() const {
    std::map<std::string, int> out;
    for (const auto& a : asked())
        if (a.write)
            ++out[a.id];
    return out;
}

}  // namespace silverrail::lab
