// One HTTPS request at a time to wherever a URL points, for the ACME client: verified, bounded, timed.
#pragma once

#include "acme/client.h"
#include "net/tls.h"

namespace silverrail::net {

struct Url {
    std::string host;
    std::string port;
    std::string target;
};
std::optional<Url> parse_https(std::string_view url);

class HttpsClient : public acme::Http {
public:
    // `trust`: file of the certificates to trust; empty: the system's. Throws where it can't be read.
    HttpsClient(asio::io_context& io, const std::string& trust);
    void call(acme::HttpCall call, std::function<void(acme::HttpResult)> done) override;

private:
    struct Exchange;
    asio::io_context& io_;
    asio::ssl::context tls_;
};

}  // namespace silverrail::net
