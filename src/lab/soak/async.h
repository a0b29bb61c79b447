// Coroutines on Asio as the soak writes them: errors come back in a variable, never as exceptions.
#pragma once

#include <memory>

#include "net/asio.h"

namespace silverrail::lab::soak {

namespace asio = net::asio;
namespace beast = net::beast;
namespace http = net::http;
using net::error_code;
using net::tcp;

template <class Value = void>
using Task = asio::awaitable<Value>;

// co_await stream.async_something(..., into(error));
inline auto into(error_code& error) {
    return asio::redirect_error(asio::use_awaitable, error);
}

inline Task<> pause(std::chrono::steady_clock::duration span) {
    asio::steady_timer timer{co_await asio::this_coro::executor, span};
    error_code error;
    co_await timer.async_wait(into(error));
}

inline void spawn(asio::io_context& io, Task<> task) {
    asio::co_spawn(io, std::move(task), asio::detached);
}

// Listens at the endpoint's port; 0: at any that is free. A port that was closed can be listened at again.
inline void listen(tcp::acceptor& acceptor, const tcp::endpoint& at) {
    acceptor.open(at.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(at);
    acceptor.listen(64);
}

// Closes a socket at a time, unless this has gone before.
class CloseAt {
public:
    CloseAt(tcp::socket& socket, std::chrono::steady_clock::time_point at)
        : timer_(socket.get_executor(), at), state_(std::make_shared<State>()) {
        timer_.async_wait([&socket, state = state_](const error_code& error) {
            if (error || state->over)
                return;
            state->closed = true;
            error_code ignored;
            socket.close(ignored);
        });
    }
    ~CloseAt() {
        state_->over = true;
    }
    CloseAt(const CloseAt&) = delete;
    CloseAt& operator=(const CloseAt&) = delete;
    bool closed() const {
        return state_->closed;
    }

private:
    struct State {
        bool over = false;
        bool closed = false;
    };
    asio::steady_timer timer_;
    std::shared_ptr<State> state_;
};

// Ends a connection as a dying process does.
inline void reset(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

}  // namespace silverrail::lab::soak
