#include "net/peer_transport.h"

#include "config/endpoint.h"
#include "net/tcp_stream.h"

namespace silverrail::net {

namespace codec = cluster::codec;

namespace {

constexpr std::size_t kFrameHeaderBytes = 4;

udp::endpoint bind_endpoint(const std::string& bind) {
    const auto endpoint = PeerTransport::endpoint_of(bind);
    if (!endpoint)
        throw boost::system::system_error(asio::error::invalid_argument, "peers.bind: " + bind);
    return *endpoint;
}

std::string encode(const PeerTransport::Message& message) {
    return std::visit([](const auto& m) { return codec::encode(m); }, message);
}

std::string frame(const PeerTransport::Message& message) {
    const std::string body = encode(message);
    return codec::frame_header(body.size()) + body;
}

// Gossip is piggybacked as far as there is space: records are dropped from the end until the message fits.
std::string encode_datagram(const PeerTransport::Message& message) {
    std::string bytes = encode(message);
    const auto* membership = std::get_if<cluster::MembershipMessage>(&message);
    if (!membership || bytes.size() <= codec::kMaxDatagramBytes)
        return bytes;
    cluster::MembershipMessage shortened = *membership;
    while (bytes.size() > codec::kMaxDatagramBytes && !shortened.records.empty()) {
        shortened.records.pop_back();
        bytes = codec::encode(shortened);
    }
    return bytes;
}

}  // namespace

struct PeerTransport::Stream {
    explicit Stream(asio::io_context& io) : socket(io), timer(io) {}
    TcpStream socket;
    asio::steady_timer timer;
    std::array<unsigned char, kFrameHeaderBytes> header{};
    std::string body;
    std::string out;  // the frame that is being written
};

std::optional<udp::endpoint> PeerTransport::endpoint_of(std::string_view address) {
    const auto parsed = config::parse_endpoint(address);
    if (!parsed || parsed->port == 0)
        return std::nullopt;
    error_code error;
    const auto ip = asio::ip::make_address(parsed->host, error);
    if (error)
        return std::nullopt;
    return udp::endpoint{ip, parsed->port};
}

PeerTransport::PeerTransport(asio::io_context& io, const std::string& bind, PeerTransportLimits limits,
                             Handler handler, Log& log)
    : io_(io),
      limits_(limits),
      handler_(std::move(handler)),
      log_(log),
      udp_(io, bind_endpoint(bind)),
      acceptor_(io, tcp::endpoint{udp_.local_endpoint().address(), udp_.local_endpoint().port()}) {}

PeerTransport::~PeerTransport() {
    stop();
}

void PeerTransport::start() {
    receive_datagram();
    accept();
}

void PeerTransport::stop() {
    if (std::exchange(stopped_, true))
        return;
    error_code ignored;
    udp_.close(ignored);
    acceptor_.close(ignored);
    for (auto set : {&incoming_, &outgoing_})
        for (const auto& stream : std::set{*set})
            close(stream);
}

void PeerTransport::count_refused(codec::DecodeError reason) {
    ++counters_.refused[static_cast<std::size_t>(reason)];
    log_.line("peer-refused", "%s", codec::name_of(reason));
}

std::optional<PeerTransport::Message> PeerTransport::decode(std::string_view bytes, bool stream) {
    auto decoded = codec::decode(bytes, stream ? codec::Transport::stream : codec::Transport::datagram);
    if (auto* membership = std::get_if<cluster::MembershipMessage>(&decoded))
        return std::move(*membership);
    if (auto* replica = std::get_if<cluster::ReplicaMessage>(&decoded))
        return std::move(*replica);
    count_refused(std::get<codec::DecodeError>(decoded));
    return std::nullopt;
}

void PeerTransport::receive_datagram() {
    udp_.async_receive_from(asio::buffer(datagram_), sender_,
                            [this](const error_code& error, std::size_t size) {
                                if (error == asio::error::operation_aborted || stopped_)
                                    return;
                                if (!error) {
                                    ++counters_.datagrams_in;
                                    counters_.bytes_in += size;
                                    if (const auto message = decode({datagram_.data(), size}, false))
                                        send(handler_(*message));
                                }
                                receive_datagram();
                            });
}

void PeerTransport::send(const std::vector<Outgoing>& messages) {
    for (const auto& message : messages) {
        if (stopped_)
            return;
        if (message.stream)
            open_stream(message);
        else
            send_datagram(message);
    }
}

void PeerTransport::send_datagram(const Outgoing& message) {
    const auto to = endpoint_of(message.address);
    if (!to) {
        ++counters_.unsendable;
        return;
    }
    const std::string bytes = encode_datagram(message.message);
    if (bytes.size() > codec::kMaxDatagramBytes) {
        ++counters_.unsendable;  // a single large entry, which push-pull will transfer
        return;
    }
    error_code error;
    udp_.send_to(asio::buffer(bytes), *to, 0, error);  // lost if the send buffer is full, as on a network
    if (error) {
        ++counters_.unsendable;
        return;
    }
    ++counters_.datagrams_out;
    counters_.bytes_out += bytes.size();
}

void PeerTransport::open_stream(const Outgoing& message) {
    const auto to = endpoint_of(message.address);
    if (!to || outgoing_.size() >= limits_.streams) {
        ++counters_.unsendable;
        return;
    }
    const auto stream = std::make_shared<Stream>(io_);
    outgoing_.insert(stream);
    ++counters_.streams_out;
    stream->out = frame(message.message);
    start_timeout(stream);
    if (!open_socket(stream, *to))
        return close(stream);
    stream->socket.async_connect(tcp::endpoint{to->address(), to->port()},
                                 [this, stream](const error_code& error) {
                                     if (error)
                                         return close(stream);
                                     write_message(stream);
                                 });
}

// Binds the stream to this router's own address, by which the peer can tell who sends the message.
bool PeerTransport::open_socket(const StreamPointer& stream, const udp::endpoint& to) {
    error_code error;
    stream->socket.open(to.protocol() == udp::v4() ? tcp::v4() : tcp::v6(), error);
    if (!error)
        stream->socket.bind(tcp::endpoint{udp_.local_endpoint().address(), 0}, error);
    return !error;
}

// Closes the stream at the timeout, if the peer sends nothing or only a part of a message.
void PeerTransport::start_timeout(const StreamPointer& stream) {
    stream->timer.expires_after(limits_.stream_timeout);
    stream->timer.async_wait([this, stream](const error_code& error) {
        if (error)
            return;
        ++counters_.streams_timed_out;
        close(stream);
    });
}

void PeerTransport::write_message(const StreamPointer& stream) {
    asio::async_write(stream->socket, asio::buffer(stream->out),
                      [this, stream](const error_code& error, std::size_t size) {
                          if (error)
                              return close(stream);
                          counters_.bytes_out += size;
                          read_frame(stream, false);
                      });
}

void PeerTransport::accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || stopped_)
            return;
        if (!error)
            on_accept(std::move(socket));
        accept();
    });
}

void PeerTransport::on_accept(tcp::socket socket) {
    if (incoming_.size() >= limits_.streams) {
        ++counters_.streams_rejected;
        error_code ignored;
        socket.close(ignored);
        return;
    }
    const auto stream = std::make_shared<Stream>(io_);
    stream->socket = std::move(socket);
    incoming_.insert(stream);
    ++counters_.streams_in;
    start_timeout(stream);
    read_frame(stream, true);
}

void PeerTransport::read_frame(const StreamPointer& stream, bool incoming) {
    asio::async_read(stream->socket, asio::buffer(stream->header),
                     [this, stream, incoming](const error_code& error, std::size_t) {
                         if (error)
                             return close(stream);
                         read_body(stream, incoming);
                     });
}

void PeerTransport::read_body(const StreamPointer& stream, bool incoming) {
    const auto length = codec::frame_length(stream->header.data());
    if (length > codec::kMaxFrameBytes) {
        count_refused(codec::DecodeError::oversize);
        return close(stream);
    }
    stream->body.resize(length);
    asio::async_read(stream->socket, asio::buffer(stream->body),
                     [this, stream, incoming](const error_code& error, std::size_t size) {
                         if (error)
                             return close(stream);
                         counters_.bytes_in += size + kFrameHeaderBytes;
                         on_frame(stream, incoming);
                     });
}

void PeerTransport::on_frame(const StreamPointer& stream, bool incoming) {
    const auto message = decode(stream->body, true);
    if (!message)
        return close(stream);
    auto replies = handler_(*message);
    if (incoming)
        return reply(stream, std::move(replies));
    close(stream);
    send(replies);
}

// Sends the first stream reply on the stream that the message came on, and the others like any message.
void PeerTransport::reply(const StreamPointer& stream, std::vector<Outgoing> messages) {
    std::vector<Outgoing> others;
    std::optional<Outgoing> stream_reply;
    for (auto& message : messages) {
        if (!stream_reply && message.stream)
            stream_reply = std::move(message);
        else
            others.push_back(std::move(message));
    }
    send(others);
    if (!stream_reply)
        return close(stream);
    stream->out = frame(stream_reply->message);
    asio::async_write(stream->socket, asio::buffer(stream->out),
                      [this, stream](const error_code&, std::size_t size) {
                          counters_.bytes_out += size;
                          close(stream);
                      });
}

void PeerTransport::close(const StreamPointer& stream) {
    error_code ignored;
    stream->timer.cancel();
    stream->socket.close(ignored);
    incoming_.erase(stream);
    outgoing_.erase(stream);
}

}  // namespace silverrail::net
