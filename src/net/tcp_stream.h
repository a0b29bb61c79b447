// A TCP socket that continues writing after a short write. Asio 1.74 takes a short write as a sign of a full
// send buffer and waits for the event that the socket is writable. The events are edge-triggered, so if the
// buffer was not full, the event never comes. This class waits for writability anew after a short write,
// which rearms the event.
#pragma once

#include <type_traits>

#include "net/asio.h"

namespace silverrail::net {

// Must be used wherever a stream socket is written to, directly or below TLS.
class TcpStream : public tcp::socket {
public:
    using tcp::socket::socket;
    explicit TcpStream(tcp::socket&& socket) : tcp::socket(std::move(socket)) {}
    TcpStream& operator=(tcp::socket&& socket) {
        tcp::socket::operator=(std::move(socket));
        short_write_ = false;
        return *this;
    }

    // Like the socket's own, which it hides. Only one write may be pending, as in composed operations.
    template <class Buffers, class Token>
    auto async_write_some(const Buffers& buffers, Token&& token) {
        return asio::async_compose<Token, void(error_code, std::size_t)>(Write<Buffers>{*this, buffers},
                                                                         token, *this);
    }

private:
    template <class Buffers>
    struct Write {
        enum class Step { begin, waiting, writing };
        TcpStream& stream;
        Buffers buffers;
        Step step = Step::begin;

        template <class Self>
        void operator()(Self& self, error_code error = {}, std::size_t written = 0) {
            if (step == Step::begin && stream.short_write_) {
                step = Step::waiting;
                return stream.async_wait(tcp::socket::wait_write, std::move(self));
            }
            if (step != Step::writing && !error) {
                step = Step::writing;
                return static_cast<tcp::socket&>(stream).async_write_some(buffers, std::move(self));
            }
            stream.short_write_ = !error && written < asio::buffer_size(buffers);
            self.complete(error, written);
        }
    };

    bool short_write_ = false;  // the last write was short
};

}  // namespace silverrail::net
