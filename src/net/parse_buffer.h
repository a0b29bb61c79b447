// The input buffer of an HTTP parser. The parser's own limits cover headers and bodies, but not a chunk's
// header with its extensions, nor trailers: it leaves these in the buffer until they are complete. A buffer
// without a limit grows with whatever the other side sends.
#pragma once

#include "net/asio.h"

namespace silverrail::net {

class ParseBuffer : public beast::flat_buffer {
public:
    // As many bytes as Beast reads at once.
    static constexpr std::size_t kDefaultMaxBytes = 64UL * 1024;

    // A read that needs more than `max_bytes` fails with http::error::buffer_overflow. It must hold a
    // complete header.
    explicit ParseBuffer(std::size_t max_bytes = kDefaultMaxBytes) : beast::flat_buffer(max_bytes) {}
};

}  // namespace silverrail::net
