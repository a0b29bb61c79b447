#include "net/peer.h"

#include "config/config.h"
#include "net/tcp_stream.h"

namespace silverrail::net {

namespace cw = cluster::wire;

struct Peer::Stream {
    explicit Stream(asio::io_context& io) : socket(io), timer(io) {}
    TcpStream socket;
    asio::steady_timer timer;
    std::array<unsigned char, 4> header{};
    std::string body;
    std::string out;  // what is written
};

std::optional<udp::endpoint> Peer::endpoint_of(std::string_view address) {
    // The settings' own reading of host:port; here the host must be a number, so that nothing is looked up.
    const auto parsed = config::parse_endpoint(address);
    if (!parsed || parsed->port == 0)
        return std::nullopt;
    error_code bad;
    const auto ip = asio::ip::make_address(parsed->host, bad);
    if (bad)
        return std::nullopt;
    return udp::endpoint{ip, parsed->port};
}

namespace {

udp::endpoint bound(const std::string& bind) {
    const auto at = Peer::endpoint_of(bind);
    if (!at)
        throw boost::system::system_error(asio::error::invalid_argument, "peers.bind: " + bind);
    return *at;
}

std::string encoded(const Peer::Message& message) {
    return std::visit([](const auto& m) { return cw::encode(m); }, message);
}

}  // namespace

Peer::Peer(asio::io_context& io, const std::string& bind, PeerLimits limits, Handler handler, Log& log)
    : io_(io),
      limits_(limits),
      handler_(std::move(handler)),
      log_(log),
      udp_(io, bound(bind)),
      acceptor_(io, tcp::endpoint{udp_.local_endpoint().address(), udp_.local_endpoint().port()}) {}

Peer::~Peer() {
    stop();
}

void Peer::start() {
    receive();
    accept();
}

void Peer::stop() {
    if (stopped_)
        return;
    stopped_ = true;
    error_code ignored;
    udp_.close(ignored);
    acceptor_.close(ignored);
    for (auto set : {&in_, &out_})
        for (const auto& s : std::set{*set})
            close(s);
}

void Peer::refused(cw::Trouble trouble) {
    ++counts_.refused[static_cast<std::size_t>(trouble)];
    log_.line("peer-refused", "%s", cw::name_of(trouble));
}

std::optional<Peer::Message> Peer::taken(std::string_view bytes, bool stream) {
    auto decoded = cw::decode(bytes, stream);
    if (auto* m = std::get_if<cluster::MembershipMessage>(&decoded))
        return std::move(*m);
    if (auto* m = std::get_if<cluster::ReplicaMessage>(&decoded))
        return std::move(*m);
    refused(std::get<cw::Trouble>(decoded));
    return std::nullopt;
}

void Peer::receive() {
    udp_.async_receive_from(asio::buffer(datagram_), sender_, [this](const error_code& error, std::size_t n) {
        if (error == asio::error::operation_aborted || stopped_)
            return;
        if (!error) {
            ++counts_.datagrams_in;
            counts_.bytes_in += n;
            if (const auto message = taken({datagram_.data(), n}, false))
                send(handler_(*message));
        }
        receive();
    });
}

void Peer::send(std::vector<Send> sends) {
    for (const auto& s : sends) {
        if (stopped_)
            return;
        if (s.stream)
            open_stream(s);
        else
            send_datagram(s);
    }
}

void Peer::send_datagram(const Send& s) {
    const auto to = endpoint_of(s.address);
    if (!to) {
        ++counts_.unsendable;
        return;
    }
    // Gossip rides along where there is room: records are let go from the end until the datagram fits.
    std::string bytes = encoded(s.message);
    if (const auto* view = std::get_if<cluster::MembershipMessage>(&s.message);
        view && bytes.size() > cw::kMostDatagram) {
        cluster::MembershipMessage m = *view;
        while (bytes.size() > cw::kMostDatagram && !m.records.empty()) {
            m.records.pop_back();
            bytes = cw::encode(m);
        }
    }
    if (bytes.size() > cw::kMostDatagram) {
        ++counts_.unsendable;  // an entry with many marks: the rounds bring it
        return;
    }
    error_code error;
    udp_.send_to(asio::buffer(bytes), *to, 0, error);  // a full buffer loses a datagram, as a network would
    if (error) {
        ++counts_.unsendable;
        return;
    }
    ++counts_.datagrams_out;
    counts_.bytes_out += bytes.size();
}

void Peer::open_stream(const Send& s) {
    const auto to = endpoint_of(s.address);
    if (!to || out_.size() >= limits_.streams) {
        ++counts_.unsendable;
        return;
    }
    auto stream = std::make_shared<Stream>(io_);
    out_.insert(stream);
    ++counts_.streams_out;
    const auto body = encoded(s.message);
    stream->out = cw::frame_header(body.size()) + body;
    stream->timer.expires_after(limits_.stream_time);
    stream->timer.async_wait([this, stream](const error_code& error) {
        if (error)
            return;
        ++counts_.streams_timed_out;
        close(stream);
    });
    error_code error;
    // From our own address: whoever is asked can tell who asks by it.
    stream->socket.open(to->protocol() == udp::v4() ? tcp::v4() : tcp::v6(), error);
    if (!error)
        stream->socket.bind(tcp::endpoint{udp_.local_endpoint().address(), 0}, error);
    if (error)
        return close(stream);
    stream->socket.async_connect(tcp::endpoint{to->address(), to->port()},
                                 [this, stream](const error_code& e) {
                                     if (e)
                                         return close(stream);
                                     asio::async_write(stream->socket, asio::buffer(stream->out),
                                                       [this, stream](const error_code& w, std::size_t n) {
                                                           if (w)
                                                               return close(stream);
                                                           counts_.bytes_out += n;
                                                           read_frame(stream, false);
                                                       });
                                 });
}

void Peer::accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || stopped_)
            return;
        if (!error) {
            if (in_.size() >= limits_.streams) {
                ++counts_.streams_turned_away;
                error_code ignored;
                socket.close(ignored);
            } else {
                auto stream = std::make_shared<Stream>(io_);
                stream->socket = std::move(socket);
                in_.insert(stream);
                ++counts_.streams_in;
                // A peer that stays silent, or sends half a message, is let go at the end of its time.
                stream->timer.expires_after(limits_.stream_time);
                stream->timer.async_wait([this, stream](const error_code& e) {
                    if (e)
                        return;
                    ++counts_.streams_timed_out;
                    close(stream);
                });
                read_frame(stream, true);
            }
        }
        accept();
    });
}

void Peer::read_frame(const std::shared_ptr<Stream>& stream, bool incoming) {
    asio::async_read(stream->socket, asio::buffer(stream->header),
                     [this, stream, incoming](const error_code& e, std::size_t) {
                         if (e)
                             return close(stream);
                         const auto length = cw::frame_length(stream->header.data());
                         if (length > cw::kMostFrame) {
                             refused(cw::Trouble::oversize);
                             return close(stream);
                         }
                         stream->body.resize(length);
                         asio::async_read(stream->socket, asio::buffer(stream->body),
                                          [this, stream, incoming](const error_code& r, std::size_t n) {
                                              if (r)
                                                  return close(stream);
                                              counts_.bytes_in += n + 4;
                                              on_frame(stream, incoming);
                                          });
                     });
}

void Peer::on_frame(const std::shared_ptr<Stream>& stream, bool incoming) {
    const auto message = taken(stream->body, true);
    if (!message)
        return close(stream);
    auto sends = handler_(*message);
    if (!incoming) {
        close(stream);
        return send(std::move(sends));
    }
    // The answer goes back on the stream that asked; anything else the usual way.
    std::vector<Send> rest;
    std::optional<Send> answer;
    for (auto& s : sends) {
        if (!answer && s.stream)
            answer = std::move(s);
        else
            rest.push_back(std::move(s));
    }
    send(std::move(rest));
    if (!answer)
        return close(stream);
    const auto body = encoded(answer->message);
    stream->out = cw::frame_header(body.size()) + body;
    asio::async_write(stream->socket, asio::buffer(stream->out),
                      [this, stream](const error_code&, std::size_t n) {
                          counts_.bytes_out += n;
                          close(stream);
                      });
}

void Peer::close(const std::shared_ptr<Stream>& stream) {
    error_code ignored;
    stream->timer.cancel();
    stream->socket.close(ignored);
    in_.erase(stream);
    out_.erase(stream);
}

}  // namespace silverrail::net
