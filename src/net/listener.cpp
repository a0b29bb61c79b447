#include "net/listener.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace silverrail::net {

namespace {
constexpr int kBacklog = 4096;  // the system's own bound may be lower
constexpr std::chrono::milliseconds kPause{20};
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
}  // namespace

Listener::Listener(asio::io_context& io, const tcp::endpoint& at, Port port, Log& log)
    : io_(io), acceptor_(io), retry_(io), port_(port), log_(log) {
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    if (port == Port::shared) acceptor_.set_option(ReusePort(true));
    acceptor_.bind(at);
}

// Of two that share the port, all new connections go to the one that listens later, so that the queue of the
// earlier one is empty long before it closes: what comes into a queue between the last accept and the close
// is reset. Where the kernel refuses, it spreads connections over both.
void Listener::lead_to_latest() {
    sock_filter latest[] = {
        BPF_STMT(BPF_RET | BPF_K, 1)};  // the second of two; alone, there is no such place
    const sock_fprog program{1, latest};
    if (::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program,
                     sizeof program) != 0)
        log_.line("shared-port", "connections are spread over all processes: %s", std::strerror(errno));
}

void Listener::start(Take take) {
    take_ = std::move(take);
    acceptor_.listen(kBacklog);
    acceptor_.non_blocking(true);
    if (port_ == Port::shared) lead_to_latest();
    accept();
}

void Listener::accept() {
    acceptor_.async_accept(
        [this](const error_code& error, tcp::socket socket) { on_accept(error, std::move(socket)); });
}

void Listener::on_accept(const error_code& error, tcp::socket socket) {
    if (stopping_ || error == asio::error::operation_aborted) return;
    if (error == asio::error::no_descriptors || error == asio::error::no_buffer_space ||
        error == asio::error::no_memory || error.value() == ENFILE) {
        // Guards a busy loop: the connection stays in the backlog while some descriptors are freed.
        log_.line("no-descriptors", "accept: %s", error.message().c_str());
        if (shed_) shed_();
        return pause();
    }
    if (!error) take_(std::move(socket));
    accept();
}

void Listener::pause() {
    retry_.expires_after(kPause);
    retry_.async_wait([this](const error_code& e) {
        if (!e && !stopping_) accept();
    });
}

void Listener::stop() {
    if (std::exchange(stopping_, true)) return;
    error_code error;
    while (take_) {
        tcp::socket socket{io_};
        acceptor_.accept(socket, error);
        if (error) break;
        take_(std::move(socket));
    }
    acceptor_.close(error);
}

}  // namespace silverrail::net
