// The peers' transport: datagrams for probes and gossip, a stream for push-pull, both at one address and
// port. It carries cluster::MembershipMessage as cluster/wire encodes it and decides nothing: what comes in
// goes to the handler, what the handler returns goes out. Bounded: one datagram buffer, at most `streams`
// streams each way, each within `stream_time` and kMostFrame bytes. Addresses are numeric: nothing is looked
// up.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <set>

#include "cluster/membership/membership_message.h"
#include "cluster/wire.h"
#include "log/log.h"
#include "net/asio.h"

namespace silverrail::net {

using udp = asio::ip::udp;

struct PeerLimits {
    std::size_t streams = 8;  // each way
    std::chrono::milliseconds stream_time{2'000};
};

struct PeerCounts {
    std::uint64_t datagrams_in = 0, datagrams_out = 0, streams_in = 0, streams_out = 0;
    std::uint64_t bytes_in = 0, bytes_out = 0;
    std::array<std::uint64_t, 4> refused{};  // by cluster::wire::Trouble
    std::uint64_t streams_turned_away = 0, streams_timed_out = 0, unsendable = 0;
};

class Peer {
public:
    using Message = std::variant<cluster::MembershipMessage, cluster::ReplicaMessage>;
    struct Send {
        std::string address;
        Message message;
        bool stream = false;
    };
    // What the state machines ask to send, as the transport takes it.
    template <class From>
    static std::vector<Send> sends(std::vector<From> from) {
        std::vector<Send> out;
        out.reserve(from.size());
        for (auto& s : from) {
            const bool stream = s.stream();
            out.push_back({std::move(s.address), std::move(s.message), stream});
        }
        return out;
    }
    // What a message that came in asks to send. The first stream answer to one that came by a stream goes
    // back on it.
    using Handler = std::function<std::vector<Send>(const Message&)>;

    // Binds at once, datagrams and stream on the same port; throws boost::system::system_error if it cannot.
    Peer(asio::io_context& io, const std::string& bind, PeerLimits limits, Handler handler, Log& log);
    ~Peer();
    void start();
    void stop();
    void send(std::vector<Send> sends);
    udp::endpoint local() const {
        return udp_.local_endpoint();
    }
    const PeerCounts& counts() const {
        return counts_;
    }

    // "a.b.c.d:port" or "[v6]:port"; nothing else, so that nothing is looked up.
    static std::optional<udp::endpoint> endpoint_of(std::string_view address);

private:
    struct Stream;
    void receive();
    void accept();
    void refused(cluster::wire::Trouble trouble);
    // The message in the bytes; empty: refused, and counted.
    std::optional<Message> taken(std::string_view bytes, bool stream);
    void send_datagram(const Send& send);
    void open_stream(const Send& send);
    void read_frame(const std::shared_ptr<Stream>& stream, bool incoming);
    void on_frame(const std::shared_ptr<Stream>& stream, bool incoming);
    void close(const std::shared_ptr<Stream>& stream);

    asio::io_context& io_;
    PeerLimits limits_;
    Handler handler_;
    Log& log_;
    udp::socket udp_;
    tcp::acceptor acceptor_;
    std::array<char, cluster::wire::kMostDatagram + 1> datagram_{};
    udp::endpoint sender_;
    std::set<std::shared_ptr<Stream>> in_, out_;
    PeerCounts counts_;
    bool stopped_ = false;
};

}  // namespace silverrail::net
