// Includes Asio's and Beast's TLS, and creates the server's context for DNS over TLS (RFC 7858).
#pragma once

#include "net/asio.h"
// After net/asio.h; see there.
#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

#include "acme/client.h"

namespace silverrail::net {

// Creates a server's context for TLS 1.2 or later. Throws boost::system::system_error if the chain or the key
// cannot be read, or if they do not match.
std::shared_ptr<asio::ssl::context> server_tls_context(const acme::IssuedCertificate& certificate);

}  // namespace silverrail::net
