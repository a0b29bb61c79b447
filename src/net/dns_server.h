// DNS over UDP, TCP (RFC 7766) and TLS (RFC 7858): datagrams and streams of length-prefixed messages.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/ports.h"
#include "log/log.h"
#include "net/asio.h"

namespace boost::asio::ssl {
class context;
}

namespace silverrail::net {

struct DnsAnswer {
    std::string bytes;
    std::optional<core::Time> leave_by;  // not to be sent later than that: then `instead`
    std::string instead;
};
using DnsReply = std::function<void(DnsAnswer)>;
// Where a query came from and how.
struct DnsFrom {
    bool datagram = false;
    core::ClientAddress client;
};
using DnsHandler = std::function<void(std::string_view query, const DnsFrom& from, DnsReply reply)>;

struct DnsLimits {
    std::size_t connections = 48;
    std::size_t pipelined = 32;            // queries of one connection that are open or unsent
    std::size_t query = 4096;              // bytes
    std::chrono::milliseconds idle{5000};  // also for a query that has come in half
};

class DnsServer {
public:
    DnsServer(asio::io_context& io, DnsLimits limits, DnsHandler handler, const core::Clock& clock, Log& log);
    ~DnsServer();
    // Each throws boost::system::system_error where it can't listen.
    void listen_udp(const asio::ip::udp::endpoint& at);
    void listen_tcp(const tcp::endpoint& at);
    void listen_tls(const tcp::endpoint& at);
    // For connections from now on; without one, TLS connections are closed at once.
    void use_certificate(std::shared_ptr<asio::ssl::context> context) {
        tls_ = std::move(context);
    }
    void stop();

    asio::ip::udp::endpoint udp_local() const {
        return udp_->local_endpoint();
    }
    tcp::endpoint tcp_local() const {
        return tcp_->local_endpoint();
    }
    tcp::endpoint tls_local() const {
        return tls_acceptor_->local_endpoint();
    }
    std::size_t connections() const {
        return sessions_.size();
    }

private:
    struct Session;
    template <class Stream>
    struct StreamSession;
    void receive();
    void accept(tcp::acceptor& acceptor, bool secure);
    void admit(tcp::socket socket, bool secure);
    std::optional<tcp::acceptor> open(const tcp::endpoint& at);
    const std::string& due(const DnsAnswer& answer) const;

    asio::io_context& io_;
    DnsLimits limits_;
    DnsHandler handler_;
    const core::Clock& clock_;
    Log& log_;
    std::shared_ptr<asio::ssl::context> tls_;
    std::optional<asio::ip::udp::socket> udp_;
    std::optional<tcp::acceptor> tcp_;
    std::optional<tcp::acceptor> tls_acceptor_;
    asio::ip::udp::endpoint from_;
    std::array<char, 4096> datagram_{};
    std::map<Session*, std::weak_ptr<Session>> sessions_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool stopping_ = false;
};

}  // namespace silverrail::net
