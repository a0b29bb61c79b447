// HTTPS transport of the ACME client, on Asio. It verifies the server's certificate and limits the size and
// time of a response.
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
// Returns nothing if it is not an https URL with a host, or contains a blank, a control character or an '@'.
std::optional<HttpsUrl> parse_https_url(std::string_view url);

// Opens a connection for each request. A response that takes more than 20 s, or whose body is over 256 KB, is
// an error.
class HttpsClient : public acme::HttpTransport {
public:
    // `trusted_file`: the trusted certificates, in PEM; empty: the system's. Throws
    // boost::system::system_error if it cannot be read.
    HttpsClient(asio::io_context& io, const std::string& trusted_file);
    void send(acme::HttpRequest request, std::function<void(acme::HttpResponse)> done) override;

private:
    class Exchange;
    asio::io_context& io_;
    asio::ssl::context tls_;
};

}  // namespace silverrail::net
