// One TCP connection to a server, counted while it exists.
#pragma once

#include <cerrno>
#include <memory>

#include "core/types.h"
#include "net/asio.h"
#include "net/parse_buffer.h"
#include "net/peek.h"
#include "net/tcp_stream.h"

namespace silverrail::net {

class ServerConnection {
public:
    // `open_count` counts the connections that hold a descriptor or are about to open one.
    ServerConnection(asio::io_context& io, std::shared_ptr<std::size_t> open_count)
        : socket(io), open_count_(std::move(open_count)) {
        ++*open_count_;
    }
    ~ServerConnection() {
        --*open_count_;
    }
    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;

    void close() {
        error_code ignored;
        socket.close(ignored);
    }
    // No response is expected on an idle connection: any bytes, or the end of the stream, make it unusable.
    bool stale() {
        const auto result = peek(socket);
        return result >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    // Of received bytes that are not parsed yet.
    static constexpr std::size_t kBufferBytes = 16UL * 1024;

    TcpStream socket;
    ParseBuffer buffer{kBufferBytes};

private:
    std::shared_ptr<std::size_t> open_count_;
};

}  // namespace silverrail::net
