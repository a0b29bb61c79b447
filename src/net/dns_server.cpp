#include "net/dns_server.h"

#include <deque>

#include "net/tcp_stream.h"
#include "net/tls.h"

namespace silverrail::net {

struct DnsServer::Session {
    virtual ~Session() = default;
    virtual void close() = 0;
};

template <class Stream>
struct DnsServer::StreamSession : Session, std::enable_shared_from_this<StreamSession<Stream>> {
    StreamSession(Stream s, DnsServer& server, std::shared_ptr<asio::ssl::context> context)
        : context_(std::move(context)), stream_(std::move(s)), server_(server), idle_(server.io_) {}

    void start() {
        alive();
        error_code gone;
        if (const auto at = stream_.lowest_layer().remote_endpoint(gone); !gone)
            client_ = client_address(at.address());
        if constexpr (std::is_same_v<Stream, TcpStream>) {
            read_length();
        } else {
            stream_.async_handshake(
                asio::ssl::stream_base::server, [self = this->shared_from_this()](const error_code& error) {
                    if (self->closed_)
                        return;
                    if (error) {
                        self->server_.log_.line("tls-handshake", "%s", error.message().c_str());
                        return self->close();
                    }
                    self->read_length();
                });
        }
    }

    void read_length() {
        reading_ = true;
        asio::async_read(stream_, asio::buffer(length_),
                         [self = this->shared_from_this()](const error_code& error, std::size_t) {
                             if (self->closed_)
                                 return;
                             if (error)
                                 return self->end_of_input();
                             const std::size_t size =
                                 static_cast<std::size_t>(self->length_[0]) << 8 | self->length_[1];
                             if (size == 0 || size > self->server_.limits_.query)
                                 return self->close();
                             self->read_query(size);
                         });
    }
    void read_query(std::size_t size) {
        query_.resize(size);
        asio::async_read(stream_, asio::buffer(query_),
                         [self = this->shared_from_this()](const error_code& error, std::size_t) {
                             if (self->closed_)
                                 return;
                             if (error)
                                 return self->close();
                             self->reading_ = false;
                             self->alive();
                             self->ask();
                             self->read_on();
                         });
    }
    void ask() {
        ++open_;
        server_.handler_(query_, {false, client_}, [weak = this->weak_from_this()](DnsAnswer answer) {
            const auto self = weak.lock();
            if (!self || self->closed_)
                return;
            --self->open_;
            self->unsent_.push_back(std::move(answer));
            self->write();
        });
    }
    // Answers go out in the order in which they are ready (RFC 7766); past the bound nothing more is read.
    void read_on() {
        if (!closed_ && !reading_ && !ended_ && open_ + unsent_.size() < server_.limits_.pipelined)
            read_length();
    }
    void write() {
        if (writing_ || unsent_.empty())
            return;
        writing_ = true;
        const DnsAnswer answer = std::move(unsent_.front());
        unsent_.pop_front();
        const std::string& bytes = server_.due(answer);
        out_ = {static_cast<char>(bytes.size() >> 8), static_cast<char>(bytes.size() & 0xff)};
        out_ += bytes;
        asio::async_write(stream_, asio::buffer(out_),
                          [self = this->shared_from_this()](const error_code& error, std::size_t) {
                              if (self->closed_)
                                  return;
                              if (error)
                                  return self->close();
                              self->writing_ = false;
                              self->alive();
                              self->write();
                              self->read_on();
                              if (self->ended_)
                                  self->end_of_input();
                          });
    }
    // The other side has said all: what it asked is still answered.
    void end_of_input() {
        ended_ = true;
        if (open_ == 0 && unsent_.empty() && !writing_)
            close();
    }
    core::ClientAddress client_{};
    void alive() {
        idle_.expires_after(server_.limits_.idle);
        idle_.async_wait([weak = this->weak_from_this()](const error_code& error) {
            const auto self = weak.lock();
            if (!error && self)
                self->close();
        });
    }
    void close() override {
        if (std::exchange(closed_, true))
            return;
        idle_.cancel();
        error_code ignored;
        auto& socket = beast::get_lowest_layer(stream_);
        socket.shutdown(tcp::socket::shutdown_both, ignored);
        socket.close(ignored);
        server_.sessions_.erase(this);
    }

    std::shared_ptr<asio::ssl::context> context_;  // outlives the stream
    Stream stream_;
    DnsServer& server_;
    asio::steady_timer idle_;
    std::array<unsigned char, 2> length_{};
    std::string query_;
    std::deque<DnsAnswer> unsent_;
    std::string out_;
    std::size_t open_ = 0;
    bool reading_ = false;
    bool writing_ = false;
    bool ended_ = false;
    bool closed_ = false;
};

DnsServer::DnsServer(asio::io_context& io, DnsLimits limits, DnsHandler handler, const core::Clock& clock,
                     Log& log)
    : io_(io), limits_(limits), handler_(std::move(handler)), clock_(clock), log_(log) {}

DnsServer::~DnsServer() {
    *alive_ = false;
    stop();
}

void DnsServer::stop() {
    if (std::exchange(stopping_, true))
        return;
    error_code ignored;
    if (udp_)
        udp_->close(ignored);
    if (tcp_)
        tcp_->close(ignored);
    if (tls_acceptor_)
        tls_acceptor_->close(ignored);
    for (auto& [session, weak] : std::map{sessions_})
        if (const auto alive = weak.lock())
            alive->close();
}

// Guards rule 3 (drains): an answer that waited behind others may be too old to name its server.
const std::string& DnsServer::due(const DnsAnswer& answer) const {
    return answer.leave_by && clock_.now() > *answer.leave_by ? answer.instead : answer.bytes;
}

void DnsServer::listen_udp(const asio::ip::udp::endpoint& at) {
    udp_.emplace(io_, at);
    udp_->non_blocking(true);
    receive();
}

void DnsServer::receive() {
    udp_->async_receive_from(
        asio::buffer(datagram_), from_, [this](const error_code& error, std::size_t size) {
            if (stopping_ || error == asio::error::operation_aborted)
                return;
            if (!error) {
                // An answer that can't be sent at once is dropped, as any datagram may
                // be: the resolver asks again.
                handler_({datagram_.data(), size}, {true, client_address(from_.address())},
                         [this, to = from_, alive = alive_](DnsAnswer answer) {
                             if (!*alive || stopping_)
                                 return;
                             error_code ignored;
                             udp_->send_to(asio::buffer(due(answer)), to, 0, ignored);
                         });
            }
            receive();
        });
}

std::optional<tcp::acceptor> DnsServer::open(const tcp::endpoint& at) {
    tcp::acceptor acceptor{io_};
    acceptor.open(at.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(at);
    acceptor.listen(128);
    return acceptor;
}

void DnsServer::listen_tcp(const tcp::endpoint& at) {
    tcp_ = open(at);
    accept(*tcp_, false);
}

void DnsServer::listen_tls(const tcp::endpoint& at) {
    tls_acceptor_ = open(at);
    accept(*tls_acceptor_, true);
}

void DnsServer::accept(tcp::acceptor& acceptor, bool secure) {
    acceptor.async_accept([this, &acceptor, secure](const error_code& error, tcp::socket socket) {
        if (stopping_ || error == asio::error::operation_aborted)
            return;
        if (!error) {
            admit(std::move(socket), secure);
            return accept(acceptor, secure);
        }
        log_.line("no-descriptors", "dns accept: %s", error.message().c_str());
        auto wait = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds{50});
        wait->async_wait([this, wait, alive = alive_, &acceptor, secure](const error_code& e) {
            if (!e && *alive && !stopping_)
                accept(acceptor, secure);
        });
    });
}

void DnsServer::admit(tcp::socket socket, bool secure) {
    if (sessions_.size() >= limits_.connections) {
        log_.line("too-many-resolvers", "%zu connections", sessions_.size());
        return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto begin = [this](auto session) {
        sessions_.emplace(session.get(), session);
        session->start();
    };
    if (!secure)
        begin(std::make_shared<StreamSession<TcpStream>>(TcpStream{std::move(socket)}, *this, nullptr));
    else if (tls_)
        begin(std::make_shared<StreamSession<asio::ssl::stream<TcpStream>>>(
            asio::ssl::stream<TcpStream>{TcpStream{std::move(socket)}, *tls_}, *this, tls_));
}

}  // namespace silverrail::net
