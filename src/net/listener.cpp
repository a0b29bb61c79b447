#include "net/listener.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace silverrail::net {

namespace {
constexpr int kBacklog = 4096;  // the system's own bound may be lower
constexpr std::chrono::milliseconds kPause{20};
constexpr int kSweeps = 20;         // tries at the last connections, a pause apart
constexpr int kMostAborted = 4096;  // connections passed over in one sweep
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
}  // namespace

Listener::Listener(asio::io_context& io, const tcp::endpoint& at, Port port, Log& log)
    : io_(io), acceptor_(io), retry_(io), port_(port), log_(log) {
    acceptor_.open(at.protocol());
    // Told of these, the loop asks for the next connection. Asio would wait for a further one to arrive, and
    // leave those that are in the queue there.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    if (port == Port::shared)
        acceptor_.set_option(ReusePort(true));
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
    if (port_ == Port::shared)
        lead_to_latest();
    accept();
}

void Listener::accept() {
    acceptor_.async_accept(
        [this](const error_code& error, tcp::socket socket) { on_accept(error, std::move(socket)); });
}

Listener::Trouble Listener::trouble_of(const error_code& error) {
    if (error == asio::error::would_block || error == asio::error::try_again)
        return Trouble::nothing_there;
    // As accept(2) lists them: these pass on what has become of the connection itself.
    for (const int of_connection : {ECONNABORTED, EPROTO, EINTR, ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET,
                                    EHOSTUNREACH, ENETUNREACH, ETIMEDOUT})
        if (error.value() == of_connection)
            return Trouble::connection;
    return Trouble::resources;
}

void Listener::on_accept(const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted)
        return;
    // Stopped in the turn in which it was taken: it is ours, and owed what any other is.
    if (stopping_ && error)
        return;
    if (error && trouble_of(error) == Trouble::resources) {
        out_of_resources(error);
        return pause(&Listener::accept);
    }
    if (error) {
        ++counters_.aborted;
    } else {
        ++counters_.taken;
        take_(std::move(socket));
    }
    if (!stopping_)
        accept();
}

// Guards against a busy loop: the connection stays in the backlog while some descriptors are freed.
void Listener::out_of_resources(const error_code& error) {
    ++counters_.pauses;
    log_.line("no-descriptors", "accept: %s", error.message().c_str());
    if (shed_)
        shed_();
}

void Listener::pause(void (Listener::*then)()) {
    retry_.expires_after(kPause);
    retry_.async_wait([this, then](const error_code& error) {
        if (!error)
            (this->*then)();
    });
}

void Listener::stop() {
    if (std::exchange(stopping_, true))
        return;
    sweeps_left_ = kSweeps;
    retry_.cancel();
    sweep();
}

void Listener::sweep() {
    if (closed())
        return;
    for (int passed_over = 0; take_ && passed_over < kMostAborted;) {
        error_code error;
        tcp::socket socket{io_};
        acceptor_.accept(socket, error);
        const Trouble trouble = error ? trouble_of(error) : Trouble::nothing_there;
        if (!error) {
            ++counters_.taken;
            take_(std::move(socket));
        } else if (trouble == Trouble::connection) {
            ++counters_.aborted;
            ++passed_over;
        } else if (trouble == Trouble::resources && --sweeps_left_ > 0) {
            out_of_resources(error);
            return pause(&Listener::sweep);
        } else {
            break;
        }
    }
    close();
}

void Listener::close() {
    error_code ignored;
    acceptor_.close(ignored);
}

}  // namespace silverrail::net
