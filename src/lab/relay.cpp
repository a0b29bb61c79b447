#include "lab/relay.h"

#include <unistd.h>

namespace silverrail::lab {

namespace asio = net::asio;
using udp = asio::ip::udp;
using net::error_code;
using net::tcp;

namespace {

constexpr std::size_t kMostHeld = 4096;
constexpr std::size_t kMostStreams = 64;

// Bytes of one stream one way, until either side ends.
void pump(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
          std::shared_ptr<std::array<char, 16384>> buffer) {
    from->async_read_some(asio::buffer(*buffer), [from, to, buffer](const error_code& e, std::size_t n) {
        if (e) {
            error_code ignored;
            to->shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::async_write(*to, asio::buffer(buffer->data(), n),
                          [from, to, buffer](const error_code& w, std::size_t) {
                              if (w) {
                                  error_code ignored;
                                  from->close(ignored);
                                  return;
                              }
                              pump(from, to, buffer);
                          });
    });
}

}  // namespace

struct Relay::Port {
    // A port free for datagrams and for streams alike: tests side by side may hold the one or the other.
    explicit Port(asio::io_context& io) : socket(io), acceptor(io) {
        const auto loopback = asio::ip::make_address("127.0.0.1");
        for (int tries = 0; tries < 64; ++tries) {
            error_code e;
            socket = udp::socket{io, udp::endpoint{loopback, 0}};
            acceptor.open(tcp::v4(), e);
            if (!e)
                acceptor.bind(tcp::endpoint{loopback, socket.local_endpoint().port()}, e);
            if (!e)
                acceptor.listen(asio::socket_base::max_listen_connections, e);
            if (!e)
                return;
            acceptor.close(e);
        }
        throw std::runtime_error("relay: no port free for both datagrams and streams");
    }
    udp::socket socket;
    tcp::acceptor acceptor;
    std::array<char, 65536> datagram{};
    udp::endpoint sender;
    std::atomic<unsigned short> member_port{0};
};

Relay::Relay(std::size_t members, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < members; ++i) {
        ports_.push_back(std::make_unique<Port>(io_));
        receive(i);
        accept(i);
    }
    thread_ = std::thread{[this] {
        io_.run();
    }};
}

Relay::~Relay() {
    io_.stop();
    thread_.join();
}

std::string Relay::address(std::size_t i) const {
    return "127.0.0.1:" + std::to_string(ports_.at(i)->socket.local_endpoint().port());
}

void Relay::to(std::size_t i, unsigned short port) {
    ports_.at(i)->member_port = port;
}

void Relay::set(std::size_t from, std::size_t to, Link link) {
    const std::lock_guard lock{mutex_};
    links_[{from, to}] = link;
}

void Relay::clear() {
    const std::lock_guard lock{mutex_};
    links_.clear();
}

Link Relay::link(std::size_t from, std::size_t to) {
    const std::lock_guard lock{mutex_};
    const auto found = links_.find({from, to});
    return found == links_.end() ? Link{} : found->second;
}

std::optional<std::size_t> Relay::who(const asio::ip::address& source) const {
    for (std::size_t i = 0; i < ports_.size(); ++i)
        if (source == asio::ip::make_address(member_ip(i)))
            return i;
    return std::nullopt;
}

std::string Relay::loopback(std::size_t last) {
    // Once: a member forked off asks too, before it is another program.
    static const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250) + "." +
           std::to_string(last);
}

void Relay::receive(std::size_t i) {
    auto& port = *ports_[i];
    port.socket.async_receive_from(
        asio::buffer(port.datagram), port.sender, [this, i](const error_code& e, std::size_t n) {
            if (e == asio::error::operation_aborted)
                return;
            auto& p = *ports_[i];
            const auto from = who(p.sender.address());
            const auto l = from ? link(*from, i) : Link{};
            const auto member = p.member_port.load();
            std::uniform_real_distribution<double> share{0, 1};
            const bool lost = l.cut || share(random_) < l.loss || member == 0 || e;
            if (lost) {
                ++dropped_;
            } else {
                const int copies = share(random_) < l.duplicate ? 2 : 1;
                auto bytes = std::make_shared<std::string>(p.datagram.data(), n);
                const udp::endpoint target{asio::ip::make_address(member_ip(i)), member};
                for (int c = 0; c < copies; ++c) {
                    auto wait = l.delay;
                    if (l.jitter.count() > 0)
                        wait += std::chrono::milliseconds{
                            static_cast<long>(random_() % static_cast<std::uint64_t>(l.jitter.count() + 1))};
                    if (wait.count() == 0 || held_ >= kMostHeld) {
                        error_code ignored;
                        p.socket.send_to(asio::buffer(*bytes), target, 0, ignored);
                        ++passed_;
                        continue;
                    }
                    ++held_;
                    auto timer = std::make_shared<asio::steady_timer>(io_, wait);
                    timer->async_wait([this, i, bytes, target, timer](const error_code&) {
                        --held_;
                        error_code ignored;
                        ports_[i]->socket.send_to(asio::buffer(*bytes), target, 0, ignored);
                        ++passed_;
                    });
                }
            }
            receive(i);
        });
}

void Relay::accept(std::size_t i) {
    ports_[i]->acceptor.async_accept([this, i](const error_code& e, tcp::socket socket) {
        if (e == asio::error::operation_aborted)
            return;
        if (!e) {
            error_code ignored;
            const auto source = socket.remote_endpoint(ignored).address();
            const auto from = who(source);
            const auto there = from ? link(*from, i) : Link{};
            const auto back = from ? link(i, *from) : Link{};
            const auto member = ports_[i]->member_port.load();
            if (there.cut || back.cut || member == 0 || streams_ >= kMostStreams) {
                ++dropped_;
                socket.close(ignored);
            } else {
                ++streams_;
                auto client = std::make_shared<tcp::socket>(std::move(socket));
                auto server = std::make_shared<tcp::socket>(io_);
                auto timer = std::make_shared<asio::steady_timer>(io_, there.delay + back.delay);
                timer->async_wait([this, i, client, server, member, timer](const error_code&) {
                    server->async_connect(
                        tcp::endpoint{asio::ip::make_address(member_ip(i)), member},
                        [this, client, server](const error_code& c) {
                            --streams_;
                            if (c) {
                                error_code unused;
                                client->close(unused);
                                return;
                            }
                            ++passed_;
                            pump(client, server, std::make_shared<std::array<char, 16384>>());
                            pump(server, client, std::make_shared<std::array<char, 16384>>());
                        });
                });
            }
        }
        accept(i);
    });
}

}  // namespace silverrail::lab
