#include "net/http_exchange.h"

namespace silverrail::net {

namespace {

bool is_interim(const ServerResponse& head) {
    return head.result_int() / 100 == 1 && head.result() != http::status::switching_protocols;
}

}  // namespace

HttpExchange::HttpExchange(std::shared_ptr<ServerConnection> connection, ResponseLimits limits,
                           Handlers handlers)
    : connection_(std::move(connection)), limits_(limits), handlers_(std::move(handlers)) {}

void HttpExchange::start(ServerRequest request, bool accepts_not_modified) {
    request_ = std::move(request);
    accepts_not_modified_ = accepts_not_modified;
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
    if (finished_ || !error || error == asio::error::operation_aborted)
        return;
    // The server may have responded without reading the whole request, so the response is still read.
    error_code ignored;
    connection_->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

// Reads the header separately: if it is read together with the body, Beast 1.74 loses the error of a length
// over the limit, and reserves as many bytes as the server announces.
void HttpExchange::read_header() {
    parser_.emplace();
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
    http::async_read(
        connection_->socket, connection_->buffer, *parser_,
        [self = shared_from_this()](const error_code& error, std::size_t) { self->on_body(error); });
}

void HttpExchange::on_body(const error_code& error) {
    if (finished_)
        return;
    if (error)
        return finish({.error = error, .response = {}});
    // If the response came before the request was written completely, the server would read the next request
    // as the rest of this one.
    const bool reusable = parser_->keep_alive() && request_written_;
    finish({.error = {}, .response = parser_->release(), .reusable = reusable});
}

void HttpExchange::finish(Result result) {
    if (std::exchange(finished_, true))
        return;
    const auto done = std::exchange(handlers_.done, nullptr);
    done(std::move(result));
}

}  // namespace silverrail::net
