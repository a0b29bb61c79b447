// The transport between routers: datagrams for probes and gossip, streams for push-pull, both at one address
// and port. It carries messages as encoded by cluster/codec and decides nothing itself: it passes received
// messages to the handler and sends those that the handler returns. Its resources are limited to one datagram
// buffer and, in each direction, `streams` streams, each with at most `stream_timeout` and frames of
// kMaxFrameBytes bytes. Addresses are numeric, so no name is resolved.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <set>

#include "cluster/codec/message_codec.h"
#include "cluster/membership/membership_message.h"
#include "log/log.h"
#include "net/asio.h"

namespace silverrail::net {

using udp = asio::ip::udp;

struct PeerTransportLimits {
    std::size_t streams = 8;  // in each direction
    std::chrono::milliseconds stream_timeout{2'000};
};

struct PeerTransportCounters {
    std::uint64_t datagrams_in = 0, datagrams_out = 0, streams_in = 0, streams_out = 0;
    std::uint64_t bytes_in = 0, bytes_out = 0;
    std::array<std::uint64_t, 4> refused{};  // by cluster::codec::DecodeError
    std::uint64_t streams_rejected = 0, streams_timed_out = 0, unsendable = 0;
};

class PeerTransport {
public:
    using Message = std::variant<cluster::MembershipMessage, cluster::ReplicaMessage>;
    struct Outgoing {
        std::string address;
        Message message;
        bool stream = false;
    };
    // Converts messages of the cluster's state machines.
    template <class From>
    static std::vector<Outgoing> outgoing(std::vector<From> from) {
        std::vector<Outgoing> out;
        out.reserve(from.size());
        for (auto& message : from) {
            const bool stream = message.stream();
            out.push_back({std::move(message.address), std::move(message.message), stream});
        }
        return out;
    }
    // Returns the replies to a message. The first stream reply to a message that came on a stream is sent on
    // the same stream.
    using Handler = std::function<std::vector<Outgoing>(const Message&)>;

    // Binds at once, for datagrams and streams on the same port; throws boost::system::system_error if it
    // cannot.
    PeerTransport(asio::io_context& io, const std::string& bind, PeerTransportLimits limits, Handler handler,
                  Log& log);
    ~PeerTransport();
    void start();
    void stop();
    void send(const std::vector<Outgoing>& messages);
    udp::endpoint local() const {
        return udp_.local_endpoint();
    }
    const PeerTransportCounters& counters() const {
        return counters_;
    }

    // Parses "a.b.c.d:port" or "[v6]:port". Returns nothing for a host name, as none is ever resolved.
    static std::optional<udp::endpoint> endpoint_of(std::string_view address);

private:
    struct Stream;
    using StreamPointer = std::shared_ptr<Stream>;

    void receive_datagram();
    void accept();
    void on_accept(tcp::socket socket);
    void count_refused(cluster::codec::DecodeError reason);
    // Decodes a message. Returns nothing if it is refused, and counts that.
    std::optional<Message> decode(std::string_view bytes, bool stream);
    void send_datagram(const Outgoing& message);
    void open_stream(const Outgoing& message);
    bool open_socket(const StreamPointer& stream, const udp::endpoint& to);
    void start_timeout(const StreamPointer& stream);
    void write_message(const StreamPointer& stream);
    void read_frame(const StreamPointer& stream, bool incoming);
    void read_body(const StreamPointer& stream, bool incoming);
    void on_frame(const StreamPointer& stream, bool incoming);
    void reply(const StreamPointer& stream, std::vector<Outgoing> messages);
    void close(const StreamPointer& stream);

    asio::io_context& io_;
    PeerTransportLimits limits_;
    Handler handler_;
    Log& log_;
    udp::socket udp_;
    tcp::acceptor acceptor_;
    std::array<char, cluster::codec::kMaxDatagramBytes + 1> datagram_{};
    udp::endpoint sender_;
    std::set<StreamPointer> incoming_, outgoing_;
    PeerTransportCounters counters_;
    bool stopped_ = false;
};

}  // namespace silverrail::net
