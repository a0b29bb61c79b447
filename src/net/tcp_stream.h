// A TCP socket whose writes go on after the system has taken them only in part. Asio 1.74 takes a short write
// for a full buffer and waits for an event that says otherwise; events are told at their edge, so where the
// buffer was not full none ever comes. Here the socket is asked anew after a short write, which arms the
// edge.
#pragma once

#include <type_traits>

#include "net/asio.h"

namespace silverrail::net {

// To be used wherever something is written to a stream socket, by itself or below TLS.
class TcpStream : public tcp::socket {
public:
    using tcp::socket::socket;
    explicit TcpStream(tcp::socket&& socket) : tcp::socket(std::move(socket)) {}
    TcpStream& operator=(tcp::socket&& socket) {
        tcp::socket::operator=(std::move(socket));
        cut_short_ = false;
        return *this;
    }

    // As the socket's own, which it hides. One write at a time, as composed operations make them.
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
        void operator()(Self& self, error_code error = {}, std::size_t put = 0) {
            if (step == Step::begin && stream.cut_short_) {
                step = Step::waiting;
                return stream.async_wait(tcp::socket::wait_write, std::move(self));
            }
            if (step != Step::writing && !error) {
                step = Step::writing;
                return static_cast<tcp::socket&>(stream).async_write_some(buffers, std::move(self));
            }
            stream.cut_short_ = !error && put < asio::buffer_size(buffers);
            self.complete(error, put);
        }
    };

    bool cut_short_ = false;  // the last write was taken in part
};

}  // namespace silverrail::net
