#include "net/http_exchange.h"

namespace silverrail::net {

namespace {

// An exchange's own state, and the buffer of its connection.
constexpr std::size_t kBytesPerExchange = 8192;
// The most that one read adds to a response.
constexpr std::size_t kMaxReadBytes = ServerConnection::kBufferBytes;
constexpr std::chrono::milliseconds kMemoryRetryDelay{20};

bool is_interim(const ServerResponse& head) {
    return head.result_int() / 100 == 1 && head.result() != http::status::switching_protocols;
}

}  // namespace

HttpExchange::HttpExchange(std::shared_ptr<ServerConnection> connection, ResponseLimits limits,
                           Handlers handlers, limits::MemoryBudget& memory)
    : connection_(std::move(connection)),
      limits_(limits),
      handlers_(std::move(handlers)),
      memory_(memory, limits::MemoryUse::server_responses),
      memory_timer_(connection_->socket.get_executor()) {
    memory_.resize(kBytesPerExchange);
}

void HttpExchange::start(ServerRequest request, std::shared_ptr<const core::ClientRequest> client_request) {
    request_ = std::move(request);
    client_request_ = std::move(client_request);
    accepts_not_modified_ = !client_request_->client_tag.empty();
    write();
    read_header();
}

void HttpExchange::write() {
    http::async_write(
        connection_->socket, request_,
        [self = shared_from_this()](const error_code& error, std::size_t) { self->on_written(error); });
}

void HttpExchange::on_written(const error_code& error) {
    if (!error)
        handlers_.written();
    request_written_ = !error;
    client_request_ = nullptr;
    if (finished_ || !error || error == asio::error::operation_aborted)
        return;
    // The server may have responded without reading the whole request, so the response is still read.
    error_code ignored;
    connection_->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

// Reads the header separately: if it is read together with the body, Beast 1.74 loses the error of a length
// over the limit, and reserves as many bytes as the server announces.
void HttpExchange::read_header() {
    parser_.emplace(kResponseFields);
    parser_->body_limit(limits_.body);
    parser_->header_limit(limits_.header);
    http::async_read_header(
        connection_->socket, connection_->buffer, *parser_,
        [self = shared_from_this()](const error_code& error, std::size_t) { self->on_header(error); });
}

void HttpExchange::on_header(const error_code& error) {
    if (finished_)
        return;
    if (error)
        return finish({.error = error, .response = {}});
    const auto& head = parser_->get();
    if (is_interim(head)) {
        if (++interim_responses_ > limits_.interim_responses)
            return finish({.error = http::error::bad_status, .response = {}});
        return read_header();
    }
    // The client has no copy to which 304 could refer.
    if (head.result() == http::status::not_modified && !accepts_not_modified_)
        return finish({.error = http::error::bad_status, .response = {}});
    read_body();
}

void HttpExchange::read_body() {
    if (parser_->is_done())
        return report_response();
    if (!memory_.try_resize(kBytesPerExchange + parser_->get().body().size() + kMaxReadBytes))
        return wait_for_memory();
    // Beast reads as many bytes as the buffer has room for.
    connection_->buffer.reserve(kMaxReadBytes);
    http::async_read_some(
        connection_->socket, connection_->buffer, *parser_,
        [self = shared_from_this()](const error_code& error, std::size_t) { self->on_body(error); });
}

// The server waits meanwhile. Other requests end and release memory, at the latest at their deadlines.
void HttpExchange::wait_for_memory() {
    memory_timer_.expires_after(kMemoryRetryDelay);
    memory_timer_.async_wait([weak = weak_from_this()](const error_code& error) {
        const auto self = weak.lock();
        if (!error && self && !self->finished_)
            self->read_body();
    });
}

void HttpExchange::on_body(const error_code& error) {
    if (finished_)
        return;
    if (error)
        return finish({.error = error, .response = {}});
    read_body();
}

void HttpExchange::report_response() {
    // If the response came before the request was written completely, the server would read the next request
    // as the rest of this one.
    const bool reusable = parser_->keep_alive() && request_written_;
    finish({.error = {}, .response = parser_->release(), .reusable = reusable});
}

void HttpExchange::cancel() {
    finished_ = true;
    memory_timer_.cancel();
    // A pending read may use the response for a moment longer.
    memory_.resize(0);
}

void HttpExchange::finish(Result result) {
    if (std::exchange(finished_, true))
        return;
    memory_.resize(0);
    const auto done = std::exchange(handlers_.done, nullptr);
    done(std::move(result));
}

}  // namespace silverrail::net
