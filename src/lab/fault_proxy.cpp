#include "lab/fault_proxy.h"

#include <unistd.h>

#include <stdexcept>

namespace silverrail::lab {

namespace asio = net::asio;
using udp = asio::ip::udp;
using net::error_code;
using net::tcp;

namespace {

constexpr std::size_t kMaxHeldDatagrams = 4096;
constexpr std::size_t kMaxConnectingStreams = 64;
constexpr std::size_t kMaxDatagram = 65536;
constexpr std::size_t kCopyBuffer = 16384;
constexpr int kPortAttempts = 64;
constexpr std::size_t kFirstMemberByte = 10;

using SocketPointer = std::shared_ptr<tcp::socket>;
using CopyBuffer = std::array<char, kCopyBuffer>;

// Copies a stream's bytes in one direction until either side ends.
void copy_stream(const SocketPointer& from, const SocketPointer& to,
                 const std::shared_ptr<CopyBuffer>& buffer) {
    from->async_read_some(
        asio::buffer(*buffer), [from, to, buffer](const error_code& error, std::size_t size) {
            error_code ignored;
            if (error) {
                to->shutdown(tcp::socket::shutdown_send, ignored);
                return;
            }
            asio::async_write(*to, asio::buffer(buffer->data(), size),
                              [from, to, buffer](const error_code& write_error, std::size_t) {
                                  if (!write_error)
                                      return copy_stream(from, to, buffer);
                                  error_code unused;
                                  from->close(unused);
                              });
        });
}

}  // namespace

// A port that is free for datagrams and streams alike: other tests' processes may hold it for one of them.
struct FaultProxy::Port {
    explicit Port(asio::io_context& io) : socket(io), acceptor(io) {
        const auto loopback = asio::ip::make_address("127.0.0.1");
        for (int attempt = 0; attempt < kPortAttempts; ++attempt) {
            error_code error;
            socket = udp::socket{io, udp::endpoint{loopback, 0}};
            acceptor.open(tcp::v4(), error);
            if (!error)
                acceptor.bind(tcp::endpoint{loopback, socket.local_endpoint().port()}, error);
            if (!error)
                acceptor.listen(asio::socket_base::max_listen_connections, error);
            if (!error)
                return;
            acceptor.close(error);
        }
        throw std::runtime_error("fault proxy: no port is free for both datagrams and streams");
    }

    udp::socket socket;
    tcp::acceptor acceptor;
    std::array<char, kMaxDatagram> datagram{};
    udp::endpoint sender;
    std::atomic<unsigned short> member_port{0};
};

FaultProxy::FaultProxy(std::size_t members, std::uint64_t seed) : random_(seed) {
    for (std::size_t member = 0; member < members; ++member) {
        ports_.push_back(std::make_unique<Port>(io_));
        receive(member);
        accept(member);
    }
    thread_ = std::thread{[this] {
        io_.run();
    }};
}

FaultProxy::~FaultProxy() {
    io_.stop();
    thread_.join();
}

std::string FaultProxy::member_ip(std::size_t member) {
    return process_loopback_ip(kFirstMemberByte + member);
}

std::string FaultProxy::process_loopback_ip(std::size_t last_byte) {
    // Read once: a forked child that asks before it executes its program has to get the parent's.
    static const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250) + "." +
           std::to_string(last_byte);
}

std::string FaultProxy::address(std::size_t member) const {
    return "127.0.0.1:" + std::to_string(ports_.at(member)->socket.local_endpoint().port());
}

void FaultProxy::set_member_port(std::size_t member, unsigned short port) {
    ports_.at(member)->member_port = port;
}

void FaultProxy::set_faults(std::size_t from, std::size_t to, LinkFaults faults) {
    const std::lock_guard lock{mutex_};
    faults_[{from, to}] = faults;
}

void FaultProxy::set_faults_both_ways(std::size_t a, std::size_t b, LinkFaults faults) {
    set_faults(a, b, faults);
    set_faults(b, a, faults);
}

void FaultProxy::clear_faults() {
    const std::lock_guard lock{mutex_};
    faults_.clear();
}

LinkFaults FaultProxy::faults(std::size_t from, std::size_t to) {
    const std::lock_guard lock{mutex_};
    const auto found = faults_.find({from, to});
    return found == faults_.end() ? LinkFaults{} : found->second;
}

std::optional<std::size_t> FaultProxy::member_at(const asio::ip::address& source) const {
    for (std::size_t member = 0; member < ports_.size(); ++member)
        if (source == asio::ip::make_address(member_ip(member)))
            return member;
    return std::nullopt;
}

void FaultProxy::receive(std::size_t to) {
    Port& port = *ports_[to];
    port.socket.async_receive_from(asio::buffer(port.datagram), port.sender,
                                   [this, to](const error_code& error, std::size_t size) {
                                       if (error == asio::error::operation_aborted)
                                           return;
                                       on_datagram(to, size, error);
                                       receive(to);
                                   });
}

void FaultProxy::on_datagram(std::size_t to, std::size_t size, const error_code& error) {
    const Port& port = *ports_[to];
    const auto from = member_at(port.sender.address());
    const LinkFaults link = from ? faults(*from, to) : LinkFaults{};
    std::uniform_real_distribution<double> share{0, 1};
    const bool lost = link.cut || share(random_) < link.loss;
    if (lost || port.member_port == 0 || error) {
        ++dropped_;
        return;
    }
    const int copies = share(random_) < link.duplicate ? 2 : 1;
    const auto bytes = std::make_shared<std::string>(port.datagram.data(), size);
    for (int copy = 0; copy < copies; ++copy)
        deliver(to, bytes, draw_delay(link));
}

std::chrono::milliseconds FaultProxy::draw_delay(const LinkFaults& faults) {
    if (faults.jitter.count() <= 0)
        return faults.delay;
    const auto steps = static_cast<std::uint64_t>(faults.jitter.count() + 1);
    return faults.delay + std::chrono::milliseconds{static_cast<long>(random_() % steps)};
}

void FaultProxy::deliver(std::size_t to, const std::shared_ptr<std::string>& bytes,
                         std::chrono::milliseconds delay) {
    if (delay.count() == 0 || held_datagrams_ >= kMaxHeldDatagrams)
        return send(to, *bytes);
    ++held_datagrams_;
    const auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([this, to, bytes, timer](const error_code&) {
        --held_datagrams_;
        send(to, *bytes);
    });
}

void FaultProxy::send(std::size_t to, const std::string& bytes) {
    Port& port = *ports_[to];
    const udp::endpoint member{asio::ip::make_address(member_ip(to)), port.member_port};
    error_code ignored;
    port.socket.send_to(asio::buffer(bytes), member, 0, ignored);
    ++passed_;
}

void FaultProxy::accept(std::size_t to) {
    ports_[to]->acceptor.async_accept([this, to](const error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            on_stream(to, std::move(socket));
        accept(to);
    });
}

void FaultProxy::on_stream(std::size_t to, tcp::socket client) {
    error_code ignored;
    const auto from = member_at(client.remote_endpoint(ignored).address());
    const LinkFaults there = from ? faults(*from, to) : LinkFaults{};
    const LinkFaults back = from ? faults(to, *from) : LinkFaults{};
    const bool refused = there.cut || back.cut || ports_[to]->member_port == 0;
    if (refused || connecting_streams_ >= kMaxConnectingStreams) {
        ++dropped_;
        client.close(ignored);
        return;
    }
    ++connecting_streams_;
    const auto held = std::make_shared<tcp::socket>(std::move(client));
    const auto timer = std::make_shared<asio::steady_timer>(io_, there.delay + back.delay);
    timer->async_wait([this, to, held, timer](const error_code&) { connect(to, held); });
}

void FaultProxy::connect(std::size_t to, const SocketPointer& client) {
    const auto member = std::make_shared<tcp::socket>(io_);
    const tcp::endpoint endpoint{asio::ip::make_address(member_ip(to)), ports_[to]->member_port};
    member->async_connect(endpoint, [this, client, member](const error_code& error) {
        --connecting_streams_;
        if (error) {
            error_code ignored;
            client->close(ignored);
            return;
        }
        ++passed_;
        copy_stream(client, member, std::make_shared<CopyBuffer>());
        copy_stream(member, client, std::make_shared<CopyBuffer>());
    });
}

}  // namespace silverrail::lab
