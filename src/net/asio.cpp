#include "net/asio.h"

#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>

namespace silverrail::net {

core::ClientAddress client_address(const asio::ip::address& address) {
    core::ClientAddress result;
    const auto copy_bytes = [&result](const auto& bytes) {
        result.size = static_cast<std::uint8_t>(bytes.size());
        std::copy(bytes.begin(), bytes.end(), result.bytes.begin());
    };
    if (address.is_v4())
        copy_bytes(address.to_v4().to_bytes());
    else
        copy_bytes(address.to_v6().to_bytes());
    return result;
}

}  // namespace silverrail::net
