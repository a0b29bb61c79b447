// One request and its response on an open connection to a server. The response is bounded and read completely
// before it is passed on.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "net/server_connection.h"
#include "net/server_protocol.h"

namespace silverrail::net {

struct ResponseLimits {
    std::uint64_t body = 256UL * 1024;  // bytes
    std::uint32_t header = 8U * 1024;   // bytes
    int interim_responses = 8;          // of status 1xx, before the final one
};

// Lives while its operations do, as these use its buffers also after cancel().
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
    struct Result {
        error_code error;  // set: there is no response
        ServerResponse response;
        bool reusable = false;  // the connection may carry another request
    };
    struct Handlers {
        // The request's last byte is out. Called also after cancel().
        std::function<void()> written;
        // Called once, unless cancelled before.
        std::function<void(Result)> done;
    };

    HttpExchange(std::shared_ptr<ServerConnection> connection, ResponseLimits limits, Handlers handlers);
    // `accepts_not_modified`: the client has a copy, so that 304 is an answer.
    void start(ServerRequest request, bool accepts_not_modified);
    // Nothing is reported from now on. The connection is the caller's to close.
    void cancel() {
        finished_ = true;
    }

private:
    void write();
    void on_written(const error_code& error);
    void read_header();
    void on_header(const error_code& error);
    void read_body();
    void on_body(const error_code& error);
    void finish(Result result);

    const std::shared_ptr<ServerConnection> connection_;
    const ResponseLimits limits_;
    Handlers handlers_;
    ServerRequest request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    int interim_responses_ = 0;
    bool accepts_not_modified_ = false;
    bool request_written_ = false;
    bool finished_ = false;
};

}  // namespace silverrail::net
