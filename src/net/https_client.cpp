#include "net/https_client.h"

#include <algorithm>

#include "net/tcp_stream.h"

namespace silverrail::net {

namespace {
constexpr std::chrono::seconds kWhole{20};
constexpr std::uint64_t kLongestBody = 256UL * 1024;
}  // namespace

std::optional<Url> parse_https(std::string_view url) {
    constexpr std::string_view kScheme = "https://";
    if (!url.starts_with(kScheme))
        return std::nullopt;
    url.remove_prefix(kScheme.size());
    const auto slash = std::min(url.find('/'), url.size());
    std::string_view host = url.substr(0, slash);
    Url out;
    out.target = slash < url.size() ? std::string{url.substr(slash)} : "/";
    out.port = "443";
    if (const auto colon = host.rfind(':'); colon != std::string_view::npos && host.back() != ']') {
        out.port = host.substr(colon + 1);
        host = host.substr(0, colon);
    }
    out.host = host;
    const auto odd = [](std::string_view s) {
        return std::any_of(s.begin(), s.end(),
                           [](unsigned char c) { return c <= ' ' || c == 127 || c == '@'; });
    };
    if (out.host.empty() || out.port.empty() || odd(out.host) || odd(out.port) || odd(out.target))
        return std::nullopt;
    return out;
}

struct HttpsClient::Exchange : std::enable_shared_from_this<HttpsClient::Exchange> {
    Exchange(asio::io_context& io, asio::ssl::context& tls, std::function<void(acme::HttpResult)> then)
        : resolver(io), stream(io, tls), limit(io), done(std::move(then)) {
        parser.body_limit(kLongestBody);
    }
    void finish(const error_code& error) {
        if (!done)
            return;
        acme::HttpResult r;
        if (error) {
            r.error = error.message();
        } else {
            auto& answer = parser.get();
            const auto field = [&](const char* name) {
                const auto v = answer[name];
                return std::string{v.data(), v.size()};
            };
            r.status = answer.result_int();
            r.location = field("Location");
            r.nonce = field("Replay-Nonce");
            r.retry_after = field("Retry-After");
            r.body = std::move(answer.body());
        }
        error_code ignored;
        limit.cancel();
        resolver.cancel();
        stream.next_layer().close(ignored);
        std::exchange(done, nullptr)(std::move(r));
    }
    tcp::resolver resolver;
    asio::ssl::stream<TcpStream> stream;
    asio::steady_timer limit;  // for the whole exchange
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response_parser<http::string_body> parser;
    std::function<void(acme::HttpResult)> done;
};

HttpsClient::HttpsClient(asio::io_context& io, const std::string& trust)
    : io_(io), tls_(asio::ssl::context::tls_client) {
    if (trust.empty())
        tls_.set_default_verify_paths();
    else
        tls_.load_verify_file(trust);
    tls_.set_verify_mode(asio::ssl::verify_peer);
}

void HttpsClient::call(acme::HttpCall call, std::function<void(acme::HttpResult)> done) {
    const auto url = parse_https(call.url);
    if (!url) {
        asio::post(io_, [done = std::move(done)] { done({.error = "not an https URL"}); });
        return;
    }
    const auto x = std::make_shared<Exchange>(io_, tls_, std::move(done));
    x->request = {http::string_to_verb(call.method), url->target, 11};
    x->request.set(http::field::host, url->host + (url->port == "443" ? "" : ":" + url->port));
    x->request.set(http::field::user_agent, "silverrail");
    x->request.set(http::field::connection, "close");
    if (call.method == "POST")
        x->request.set(http::field::content_type, "application/jose+json");
    x->request.body() = std::move(call.body);
    x->request.prepare_payload();
    if (call.method == "HEAD")
        x->parser.skip(true);
    x->stream.set_verify_callback(asio::ssl::host_name_verification(url->host));
    if (SSL_set_tlsext_host_name(x->stream.native_handle(), url->host.c_str()) != 1)
        return x->finish(asio::error::invalid_argument);
    x->limit.expires_after(kWhole);
    x->limit.async_wait([weak = std::weak_ptr{x}](const error_code& error) {
        const auto exchange = weak.lock();
        if (!error && exchange)
            exchange->finish(asio::error::timed_out);
    });
    x->resolver.async_resolve(url->host, url->port, [x](const error_code& error, const auto& found) {
        if (error)
            return x->finish(error);
        if (!x->done)
            return;
        asio::async_connect(x->stream.next_layer(), found, [x](const error_code& e, const auto&) {
            if (e)
                return x->finish(e);
            x->stream.async_handshake(asio::ssl::stream_base::client, [x](const error_code& shaken) {
                if (shaken)
                    return x->finish(shaken);
                http::async_write(x->stream, x->request, [x](const error_code& written, std::size_t) {
                    if (written)
                        return x->finish(written);
                    http::async_read(x->stream, x->buffer, x->parser,
                                     [x](const error_code& read, std::size_t) { x->finish(read); });
                });
            });
        });
    });
}

}  // namespace silverrail::net
