// HTTPS requests of the ACME client, on Asio: the server is verified, size and time are bounded.
#pragma once

#include <optional>

#include "acme/http_transport.h"
#include "net/tls.h"

namespace silverrail::net {

struct HttpsUrl {
    std::string host;
    std::string port;
    std::string target;
};
// Absent if it is no https URL with a host, or holds a blank, a control character or an '@'.
std::optional<HttpsUrl> parse_https_url(std::string_view url);

// Each request has a connection of its own. The answer may take 20 s and its body have 256 KB; beyond that it
// is an error.
class HttpsClient : public acme::HttpTransport {
public:
    // `trusted_file`: the certificates to trust, in PEM; empty: the system's. Throws
    // boost::system::system_error if it cannot be read.
    HttpsClient(asio::io_context& io, const std::string& trusted_file);
    void send(acme::HttpRequest request, std::function<void(acme::HttpResponse)> done) override;

private:
    class Exchange;
    asio::io_context& io_;
    asio::ssl::context tls_;
};

}  // namespace silverrail::net
