// DNS transport over UDP, TCP (RFC 7766) and TLS (RFC 7858): datagrams, and streams of length-prefixed
// messages. It does not interpret the messages.
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
#include "net/listener.h"
#include "net/tls.h"

namespace silverrail::net {

struct DnsReply {
    std::string bytes{};
    // If it cannot be sent by then, `bytes_if_late` is sent instead.
    std::optional<core::Time> send_by{};
    std::string bytes_if_late{};
};
// Called at most once, on the event loop's thread, at any time.
using DnsReplyHandler = std::function<void(DnsReply)>;

struct DnsQuerySource {
    bool datagram = false;  // false: a stream, which carries messages of any length
    core::ClientAddress client;
};
// `query` is valid during the call only.
using DnsQueryHandler =
    std::function<void(std::string_view query, const DnsQuerySource& source, DnsReplyHandler reply)>;

struct DnsServerLimits {
    std::size_t connections = 48;
    std::size_t queries_per_connection = 32;  // without a response that has been written
    std::size_t query_bytes = 4096;           // of a query on a stream
    // Without a complete query or a written response; a partial query does not count.
    std::chrono::milliseconds idle_timeout{5000};
    Port port = Port::exclusive;
};

class DnsServer {
public:
    DnsServer(asio::io_context& io, DnsServerLimits limits, DnsQueryHandler handler, const core::Clock& clock,
              Log& log);
    ~DnsServer();
    DnsServer(const DnsServer&) = delete;
    DnsServer& operator=(const DnsServer&) = delete;

    // Each throws boost::system::system_error if it cannot listen.
    void listen_udp(const asio::ip::udp::endpoint& at);
    void listen_tcp(const tcp::endpoint& at);
    void listen_tls(const tcp::endpoint& at);
    // Sets the certificate of TLS connections accepted from now on; without one they are closed at once.
    void use_certificate(std::shared_ptr<asio::ssl::context> context) {
        tls_context_ = std::move(context);
    }
    // Takes nothing new: closes the listeners, and the connections and the datagram socket once every query
    // that has arrived is answered.
    void stop();

    // Each is valid only while the server listens on that transport.
    asio::ip::udp::endpoint udp_local() const {
        return udp_->local_endpoint();
    }
    tcp::endpoint tcp_local() const {
        return tcp_listener_->local();
    }
    tcp::endpoint tls_local() const {
        return tls_listener_->local();
    }
    std::size_t connections() const {
        return sessions_.size();
    }

private:
    static constexpr std::size_t kMaxDatagramBytes = 4096;
    struct Session;
    template <class Stream>
    class StreamSession;

    void receive();
    void on_datagram(std::string_view query, const asio::ip::udp::endpoint& sender);
    void stop_receiving();
    void close_if_answered();
    void start_session(tcp::socket socket, bool secure);
    const std::string& bytes_to_send(const DnsReply& reply) const;

    asio::io_context& io_;
    DnsServerLimits limits_;
    DnsQueryHandler handler_;
    const core::Clock& clock_;
    Log& log_;
    std::shared_ptr<asio::ssl::context> tls_context_;
    std::optional<asio::ip::udp::socket> udp_;
    std::optional<Listener> tcp_listener_;
    std::optional<Listener> tls_listener_;
    asio::ip::udp::endpoint datagram_sender_;
    std::array<char, kMaxDatagramBytes> datagram_{};
    std::map<Session*, std::weak_ptr<Session>> sessions_;
    // Held by each datagram that is not answered yet; false once the server is destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool receiving_ = false;  // datagrams, until the server stops
    bool stopped_ = false;
};

}  // namespace silverrail::net
