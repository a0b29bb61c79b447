// TLS as this program uses it, and the TLS side of DNS over TLS (RFC 7858).
#pragma once

#include "net/asio.h"
// Behind asio.h, which says why.
#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

#include "acme/client.h"

namespace silverrail::net {

// Throws boost::system::system_error where key and chain do not fit.
std::shared_ptr<asio::ssl::context> tls_context(const acme::Issued& issued);

}  // namespace silverrail::net
