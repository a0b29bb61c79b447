#include "net/asio.h"

#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>

namespace silverrail::net {

core::ClientAddress client_address(const asio::ip::address& address) {
    core::ClientAddress a;
    const auto keep = [&a](const auto& bytes) {
        a.size = static_cast<std::uint8_t>(bytes.size());
        std::copy(bytes.begin(), bytes.end(), a.bytes.begin());
    };
    if (address.is_v4())
        keep(address.to_v4().to_bytes());
    else
        keep(address.to_v6().to_bytes());
    return a;
}

}  // namespace silverrail::net
