// TLS as this program uses it, and the server's side of DNS over TLS (RFC 7858).
#pragma once

#include "net/asio.h"
// After net/asio.h, which says why.
#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

#include "acme/client.h"

namespace silverrail::net {

// A server's context, TLS 1.2 or later. Throws boost::system::system_error if the chain or the key cannot be
// read, or they do not belong together.
std::shared_ptr<asio::ssl::context> server_tls_context(const acme::IssuedCertificate& certificate);

}  // namespace silverrail::net
