#include "net/https_client.h"

#include <algorithm>

#include "net/parse_buffer.h"
#include "net/tcp_stream.h"

namespace silverrail::net {

namespace {

constexpr std::chrono::seconds kExchangeTimeout{20};
constexpr std::uint64_t kMaxBodyBytes = 256UL * 1024;
constexpr unsigned kHttp11 = 11;
constexpr std::string_view kScheme = "https://";
constexpr const char* kDefaultPort = "443";

// Blanks, control characters, or the '@' after a user name.
bool has_forbidden_character(std::string_view part) {
    return std::any_of(part.begin(), part.end(),
                       [](unsigned char c) { return c <= ' ' || c == '\x7f' || c == '@'; });
}

http::request<http::string_body> http_request(const acme::HttpRequest& request, const HttpsUrl& url) {
    http::request<http::string_body> result{http::string_to_verb(request.method), url.target, kHttp11};
    result.set(http::field::host, url.port == kDefaultPort ? url.host : url.host + ":" + url.port);
    result.set(http::field::user_agent, "silverrail");
    result.set(http::field::connection, "close");
    if (result.method() == http::verb::post)
        result.set(http::field::content_type, "application/jose+json");
    result.body() = request.body;
    result.prepare_payload();
    return result;
}

acme::HttpResponse acme_response(http::response<http::string_body>& response) {
    const auto header = [&](const char* name) {
        return std::string{to_string_view(response[name])};
    };
    return {.status = response.result_int(),
            .body = std::move(response.body()),
            .location = header("Location"),
            .nonce = header("Replay-Nonce"),
            .retry_after = header("Retry-After")};
}

}  // namespace

std::optional<HttpsUrl> parse_https_url(std::string_view url_string) {
    if (!url_string.starts_with(kScheme))
        return std::nullopt;
    url_string.remove_prefix(kScheme.size());
    const auto target_at = std::min(url_string.find('/'), url_string.size());
    std::string_view host = url_string.substr(0, target_at);
    HttpsUrl url;
    url.target = target_at < url_string.size() ? std::string{url_string.substr(target_at)} : "/";
    url.port = kDefaultPort;
    // The colons of an IPv6 address are inside brackets.
    if (const auto colon = host.rfind(':'); colon != std::string_view::npos && host.back() != ']') {
        url.port = host.substr(colon + 1);
        host = host.substr(0, colon);
    }
    url.host = host;
    if (url.host.empty() || url.port.empty())
        return std::nullopt;
    for (const std::string& part : {url.host, url.port, url.target})
        if (has_forbidden_character(part))
            return std::nullopt;
    return url;
}

// One request and its response. The handlers of its operations keep it alive, except the timer's.
class HttpsClient::Exchange : public std::enable_shared_from_this<HttpsClient::Exchange> {
public:
    Exchange(asio::io_context& io, asio::ssl::context& tls, std::function<void(acme::HttpResponse)> done)
        : resolver_(io), stream_(io, tls), timeout_(io), done_(std::move(done)) {
        parser_.body_limit(kMaxBodyBytes);
    }

    void start(const acme::HttpRequest& request, const HttpsUrl& url) {
        request_ = http_request(request, url);
        const bool without_body = request_.method() == http::verb::head;
        parser_.skip(without_body);
        stream_.set_verify_callback(asio::ssl::host_name_verification(url.host));
        if (SSL_set_tlsext_host_name(stream_.native_handle(), url.host.c_str()) != 1)
            return finish(asio::error::invalid_argument);
        start_timeout();
        resolve(url);
    }

private:
    void start_timeout() {
        timeout_.expires_after(kExchangeTimeout);
        timeout_.async_wait([weak = weak_from_this()](const error_code& error) {
            const auto self = weak.lock();
            if (!error && self)
                self->finish(asio::error::timed_out);
        });
    }
    void resolve(const HttpsUrl& url) {
        resolver_.async_resolve(url.host, url.port,
                                [self = shared_from_this()](const error_code& error, const auto& addresses) {
                                    if (error)
                                        return self->finish(error);
                                    const bool timed_out = !self->done_;
                                    if (!timed_out)
                                        self->connect(addresses);
                                });
    }
    void connect(const tcp::resolver::results_type& addresses) {
        asio::async_connect(stream_.next_layer(), addresses,
                            [self = shared_from_this()](const error_code& error, const auto&) {
                                if (error)
                                    return self->finish(error);
                                self->start_handshake();
                            });
    }
    void start_handshake() {
        stream_.async_handshake(asio::ssl::stream_base::client,
                                [self = shared_from_this()](const error_code& error) {
                                    if (error)
                                        return self->finish(error);
                                    self->write();
                                });
    }
    void write() {
        http::async_write(stream_, request_,
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (error)
                                  return self->finish(error);
                              self->read();
                          });
    }
    void read() {
        http::async_read(
            stream_, buffer_, parser_,
            [self = shared_from_this()](const error_code& error, std::size_t) { self->finish(error); });
    }
    // Cancels pending operations; only the first call reports the result.
    void finish(const error_code& error) {
        if (!done_)
            return;
        acme::HttpResponse response;
        if (error)
            response.error = error.message();
        else
            response = acme_response(parser_.get());
        error_code ignored;
        timeout_.cancel();
        resolver_.cancel();
        stream_.next_layer().close(ignored);
        std::exchange(done_, nullptr)(std::move(response));
    }

    tcp::resolver resolver_;
    asio::ssl::stream<TcpStream> stream_;
    asio::steady_timer timeout_;
    ParseBuffer buffer_;
    http::request<http::string_body> request_;
    http::response_parser<http::string_body> parser_;
    std::function<void(acme::HttpResponse)> done_;
};

HttpsClient::HttpsClient(asio::io_context& io, const std::string& trusted_file)
    : io_(io), tls_(asio::ssl::context::tls_client) {
    if (trusted_file.empty())
        tls_.set_default_verify_paths();
    else
        tls_.load_verify_file(trusted_file);
    tls_.set_verify_mode(asio::ssl::verify_peer);
}

void HttpsClient::send(acme::HttpRequest request, std::function<void(acme::HttpResponse)> done) {
    const auto url = parse_https_url(request.url);
    if (!url) {
        asio::post(io_, [done = std::move(done)] { done({.error = "not an https URL"}); });
        return;
    }
    std::make_shared<Exchange>(io_, tls_, std::move(done))->start(request, *url);
}

}  // namespace silverrail::net
