// One request and its response on an open connection to a server. The response is limited in size and read
// completely before it is reported.
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
    int interim_responses = 8;          // responses of status 1xx before the final one
};

// Its pending operations keep it alive, as they use its buffers even after cancel().
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
    struct Result {
        error_code error;  // set: there is no response
        ServerResponse response;
        bool reusable = false;  // the connection may carry another request
    };
    struct Handlers {
        // The request has been written completely. Also called after cancel().
        std::function<void()> written;
        // Called once, unless cancelled before.
        std::function<void(Result)> done;
    };

    HttpExchange(std::shared_ptr<ServerConnection> connection, ResponseLimits limits, Handlers handlers);
    // `accepts_not_modified`: the client has a copy, so 304 is a valid response.
    void start(ServerRequest request, bool accepts_not_modified);
    // `done` is not called from now on. The connection stays open; the caller closes it.
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
