#include "net/dns_server.h"

#include <deque>

#include "net/tcp_stream.h"

namespace silverrail::net {

namespace {

constexpr int kMaxQueuedDatagrams = 4096;  // handled when the server stops
constexpr unsigned kBitsPerByte = 8;

// A datagram that is not answered yet may hold the flag beyond the server's life.
bool is_alive(const std::weak_ptr<bool>& flag) {
    const auto alive = flag.lock();
    return alive && *alive;
}

std::string length_prefix(std::size_t size) {
    return {static_cast<char>(size >> kBitsPerByte & 0xff), static_cast<char>(size & 0xff)};
}

}  // namespace

struct DnsServer::Session {
    virtual ~Session() = default;
    virtual void close() = 0;
    // Closes it once its queries are answered; reads no further ones.
    virtual void finish() = 0;
};

// One TCP or TLS connection. Its pending reads and writes keep it alive; it refers to the server until it is
// closed.
template <class Stream>
class DnsServer::StreamSession : public Session, public std::enable_shared_from_this<StreamSession<Stream>> {
public:
    // `tls_context`: null for plain TCP.
    StreamSession(Stream stream, DnsServer& server, std::shared_ptr<asio::ssl::context> tls_context)
        : tls_context_(std::move(tls_context)),
          stream_(std::move(stream)),
          server_(server),
          idle_timer_(server.io_) {}

    void start() {
        restart_idle_timer();
        error_code no_address;
        const auto peer = stream_.lowest_layer().remote_endpoint(no_address);
        if (!no_address)
            client_ = client_address(peer.address());
        if constexpr (std::is_same_v<Stream, TcpStream>)
            read_length();
        else
            start_handshake();
    }

    void close() override {
        if (std::exchange(closed_, true))
            return;
        idle_timer_.cancel();
        error_code ignored;
        auto& socket = beast::get_lowest_layer(stream_);
        socket.shutdown(tcp::socket::shutdown_both, ignored);
        socket.close(ignored);
        server_.sessions_.erase(this);
    }

    void finish() override {
        if (!closed_)
            on_end_of_input();
    }

private:
    void start_handshake() {
        stream_.async_handshake(asio::ssl::stream_base::server,
                                [self = this->shared_from_this()](const error_code& error) {
                                    if (!self->closed_)
                                        self->on_handshake(error);
                                });
    }
    void on_handshake(const error_code& error) {
        if (!error)
            return read_length();
        server_.log_.line("tls-handshake", "%s", error.message().c_str());
        close();
    }

    void read_length() {
        reading_ = true;
        asio::async_read(stream_, asio::buffer(length_),
                         [self = this->shared_from_this()](const error_code& error, std::size_t) {
                             if (!self->closed_)
                                 self->on_length(error);
                         });
    }
    void on_length(const error_code& error) {
        if (error)
            return on_end_of_input();
        const std::size_t size = static_cast<std::size_t>(length_[0]) << kBitsPerByte | length_[1];
        if (size == 0 || size > server_.limits_.query_bytes)
            return close();
        read_query(size);
    }
    void read_query(std::size_t size) {
        query_.resize(size);
        asio::async_read(stream_, asio::buffer(query_),
                         [self = this->shared_from_this()](const error_code& error, std::size_t) {
                             if (!self->closed_)
                                 self->on_query(error);
                         });
    }
    void on_query(const error_code& error) {
        if (error)
            return close();
        reading_ = false;
        restart_idle_timer();
        handle_query();
        read_next();
    }
    void handle_query() {
        ++unanswered_;
        const DnsQuerySource source{.datagram = false, .client = client_};
        server_.handler_(query_, source, [weak = this->weak_from_this()](DnsReply reply) {
            const auto self = weak.lock();
            if (!self || self->closed_)
                return;
            --self->unanswered_;
            self->unsent_.push_back(std::move(reply));
            self->write_next();
        });
    }
    void read_next() {
        const bool within_bound = unanswered_ + unsent_.size() < server_.limits_.queries_per_connection;
        if (!closed_ && !reading_ && !input_ended_ && within_bound)
            read_length();
    }

    // Responses go out in the order in which they are ready (RFC 7766).
    void write_next() {
        if (writing_ || unsent_.empty())
            return;
        writing_ = true;
        const DnsReply reply = std::move(unsent_.front());
        unsent_.pop_front();
        const std::string& bytes = server_.bytes_to_send(reply);
        output_ = length_prefix(bytes.size()) + bytes;
        asio::async_write(stream_, asio::buffer(output_),
                          [self = this->shared_from_this()](const error_code& error, std::size_t) {
                              if (!self->closed_)
                                  self->on_written(error);
                          });
    }
    void on_written(const error_code& error) {
        if (error)
            return close();
        writing_ = false;
        restart_idle_timer();
        write_next();
        read_next();
        if (input_ended_)
            on_end_of_input();
    }

    // The client has ended its side of the stream, or the server stops; earlier queries still get their
    // responses.
    void on_end_of_input() {
        input_ended_ = true;
        if (unanswered_ == 0 && unsent_.empty() && !writing_)
            close();
    }
    void restart_idle_timer() {
        idle_timer_.expires_after(server_.limits_.idle_timeout);
        idle_timer_.async_wait([weak = this->weak_from_this()](const error_code& error) {
            const auto self = weak.lock();
            if (!error && self)
                self->close();
        });
    }

    std::shared_ptr<asio::ssl::context> tls_context_;  // outlives the stream
    Stream stream_;
    DnsServer& server_;
    asio::steady_timer idle_timer_;
    core::ClientAddress client_{};
    std::array<unsigned char, 2> length_{};
    std::string query_;
    std::deque<DnsReply> unsent_;
    std::string output_;
    std::size_t unanswered_ = 0;
    bool reading_ = false;
    bool writing_ = false;
    bool input_ended_ = false;
    bool closed_ = false;
};

DnsServer::DnsServer(asio::io_context& io, DnsServerLimits limits, DnsQueryHandler handler,
                     const core::Clock& clock, Log& log)
    : io_(io), limits_(limits), handler_(std::move(handler)), clock_(clock), log_(log) {}

DnsServer::~DnsServer() {
    *alive_ = false;
    // Iterates over a copy, as each session removes itself from sessions_.
    for (auto& [session, weak] : std::map{sessions_})
        if (const auto alive = weak.lock())
            alive->close();
}

void DnsServer::stop() {
    if (std::exchange(stopped_, true))
        return;
    for (auto* listener : {&tcp_listener_, &tls_listener_})
        if (*listener)
            (*listener)->stop();
    if (udp_)
        stop_receiving();
    for (auto& [session, weak] : std::map{sessions_})
        if (const auto alive = weak.lock())
            alive->finish();
}

// The datagrams that have arrived belong to this process, and another one never sees them.
void DnsServer::stop_receiving() {
    error_code error;
    udp_->cancel(error);
    // Not `datagram_`: a read that has completed may still wait for its handler there.
    std::array<char, kMaxDatagramBytes> query{};
    asio::ip::udp::endpoint sender;
    for (int i = 0; i < kMaxQueuedDatagrams; ++i) {
        const std::size_t size = udp_->receive_from(asio::buffer(query), sender, 0, error);
        if (error)
            break;
        on_datagram({query.data(), size}, sender);
    }
    receiving_ = false;
    close_if_answered();
}

void DnsServer::close_if_answered() {
    const bool unanswered = alive_.use_count() > 1;
    error_code ignored;
    if (!receiving_ && !unanswered)
        udp_->close(ignored);
}

const std::string& DnsServer::bytes_to_send(const DnsReply& reply) const {
    const bool late = reply.send_by && clock_.now() > *reply.send_by;
    return late ? reply.bytes_if_late : reply.bytes;
}

void DnsServer::listen_udp(const asio::ip::udp::endpoint& at) {
    udp_.emplace(io_, at.protocol());
    if (limits_.port == Port::shared)
        allow_sharing(*udp_);
    udp_->bind(at);
    if (limits_.port == Port::shared)
        route_to_latest(udp_->native_handle(), log_);
    udp_->non_blocking(true);
    receiving_ = true;
    receive();
}

void DnsServer::receive() {
    udp_->async_receive_from(
        asio::buffer(datagram_), datagram_sender_,
        [this, server = std::weak_ptr{alive_}](const error_code& error, std::size_t size) {
            if (error == asio::error::operation_aborted || !is_alive(server))
                return;
            if (!error)
                on_datagram({datagram_.data(), size}, datagram_sender_);
            if (!stopped_)
                receive();
        });
}

void DnsServer::on_datagram(std::string_view query, const asio::ip::udp::endpoint& sender) {
    const DnsQuerySource source{.datagram = true, .client = client_address(sender.address())};
    handler_(query, source, [this, to = sender, alive = alive_](const DnsReply& reply) mutable {
        if (!*alive)
            return;
        // A response that cannot be sent at once is dropped, as any datagram may be: the resolver retries.
        error_code ignored;
        udp_->send_to(asio::buffer(bytes_to_send(reply)), to, 0, ignored);
        alive.reset();
        close_if_answered();
    });
}

void DnsServer::listen_tcp(const tcp::endpoint& at) {
    tcp_listener_.emplace(io_, at, limits_.port, log_);
    tcp_listener_->start([this](tcp::socket socket) { start_session(std::move(socket), false); });
}

void DnsServer::listen_tls(const tcp::endpoint& at) {
    tls_listener_.emplace(io_, at, limits_.port, log_);
    tls_listener_->start([this](tcp::socket socket) { start_session(std::move(socket), true); });
}

void DnsServer::start_session(tcp::socket socket, bool secure) {
    if (sessions_.size() >= limits_.connections) {
        log_.line("too-many-resolvers", "%zu DNS connections open, closing a new one", sessions_.size());
        return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto start = [this](const auto& session) {
        sessions_.emplace(session.get(), session);
        session->start();
    };
    using TlsStream = asio::ssl::stream<TcpStream>;
    TcpStream stream{std::move(socket)};
    if (!secure)
        start(std::make_shared<StreamSession<TcpStream>>(std::move(stream), *this, nullptr));
    else if (tls_context_)
        start(std::make_shared<StreamSession<TlsStream>>(TlsStream{std::move(stream), *tls_context_}, *this,
                                                         tls_context_));
}

}  // namespace silverrail::net
