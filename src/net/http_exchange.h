// One request and its response on an open connection to a server. The response is limited in size and read
// completely before it is reported. Reading pauses while there is no memory for more of it.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "limits/memory_budget.h"
#include "net/message_parser.h"
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

    // `memory` must outlive the exchange.
    HttpExchange(std::shared_ptr<ServerConnection> connection, ResponseLimits limits, Handlers handlers,
                 limits::MemoryBudget& memory);
    // `client_request` is kept until the request has been written, as it owns the body.
    void start(ServerRequest request, std::shared_ptr<const core::ClientRequest> client_request);
    // `done` is not called from now on. The connection stays open; the caller closes it.
    void cancel();

private:
    void write();
    void on_written(const error_code& error);
    void read_header();
    void on_header(const error_code& error);
    void read_body();
    void wait_for_memory();
    void on_body(const error_code& error);
    void report_response();
    void finish(Result result);

    const std::shared_ptr<ServerConnection> connection_;
    const ResponseLimits limits_;
    Handlers handlers_;
    ServerRequest request_;
    std::shared_ptr<const core::ClientRequest> client_request_;
    limits::MemoryReservation memory_;
    asio::steady_timer memory_timer_;
    std::optional<ResponseParser> parser_;
    int interim_responses_ = 0;
    bool accepts_not_modified_ = false;  // the client has a copy
    bool request_written_ = false;
    bool finished_ = false;
};

}  // namespace silverrail::net
