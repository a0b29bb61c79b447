#include "client_crowd.h"

#include <array>

namespace silverrail::test {

namespace {

constexpr std::size_t kPieceBytes = 4096;
constexpr std::size_t kAnnouncedBytes = 60'000;
constexpr std::size_t kStoppedAtBytes = 59'000;
constexpr std::size_t kLargestWriteBytes = 48'000;
constexpr auto kReconnectDelay = 20ms;

std::string next_id() {
    static std::uint64_t last_id = 0;
    char id[17];
    std::snprintf(id, sizeof id, "c0de%012llx", static_cast<unsigned long long>(++last_id));
    return id;
}

std::string short_fields(std::size_t count) {
    std::string out;
    for (std::size_t i = 0; i < count; ++i)
        out += "a:\r\n";
    return out;
}

std::string head(const char* method, const char* class_name, std::size_t fields) {
    const std::string id = next_id();
    return std::string{method} + " /ops/" + class_name + "/" + id +
           "/piece-0 HTTP/1.1\r\nHost: app.svc\r\nTrace-Id: " + id +
           "\r\nMax-Wait-Ms: 3000\r\nX-Lot: 17\r\n" + short_fields(fields);
}

}  // namespace

std::string incomplete_write(std::size_t fields) {
    return head("PUT", "lodge", fields) + "Content-Length: " + std::to_string(kAnnouncedBytes) + "\r\n\r\n" +
           std::string(kStoppedAtBytes, 'x');
}

std::string complete_write(std::size_t fields) {
    return head("PUT", "lodge", fields) + "Content-Length: " + std::to_string(kLargestWriteBytes) +
           "\r\n\r\n" + std::string(kLargestWriteBytes, 'x');
}

std::string read_with_fields(std::size_t fields) {
    return head("GET", "pages", fields) + "\r\n";
}

std::string incomplete_header(std::size_t fields) {
    return head("GET", "pages", fields);
}

std::string pipelined_reads(std::size_t count) {
    std::string out;
    for (std::size_t i = 0; i < count; ++i)
        out += read_with_fields(0);
    return out;
}

std::string chunked_write_of_single_bytes() {
    std::string out = head("PUT", "lodge", 0) + "Transfer-Encoding: chunked\r\n\r\n";
    while (out.size() < kStoppedAtBytes)
        out += "1;e=1\r\nx\r\n";
    return out;
}

struct ClientCrowd::One {
    One(net::asio::io_context& io, std::string to_write, bool does_read)
        : socket(io), timer(io), bytes(std::move(to_write)), reads(does_read) {}
    tcp::socket socket;
    net::asio::steady_timer timer;
    std::string bytes;
    std::size_t sent = 0;
    bool reads;
    std::array<char, kPieceBytes> received{};
};

void ClientCrowd::add(std::string bytes, bool reads) {
    clients_.push_back(std::make_shared<One>(io_, std::move(bytes), reads));
    connect(clients_.back());
}

void ClientCrowd::connect(const std::shared_ptr<One>& one) {
    if (left_)
        return;
    one->sent = 0;
    net::error_code ignored;
    one->socket.open(to_.protocol(), ignored);
    // Otherwise the system would take in a response that is never read.
    if (!one->reads)
        one->socket.set_option(net::asio::socket_base::receive_buffer_size(4096), ignored);
    one->socket.async_connect(to_, [this, one](const net::error_code& error) {
        if (error)
            return ended(one);
        write(one);
        if (one->reads)
            read(one);
    });
}

void ClientCrowd::write(const std::shared_ptr<One>& one) {
    if (one->sent == one->bytes.size()) {
        ++written_;
        return;
    }
    const auto piece = std::min(kPieceBytes, one->bytes.size() - one->sent);
    one->socket.async_write_some(net::asio::buffer(one->bytes.data() + one->sent, piece),
                                 [this, one](const net::error_code& error, std::size_t written) {
                                     if (error)
                                         return one->reads ? void() : ended(one);
                                     one->sent += written;
                                     if (paced_ == std::chrono::milliseconds{})
                                         return write(one);
                                     one->timer.expires_after(paced_);
                                     one->timer.async_wait([this, one](const net::error_code& e) {
                                         if (!e)
                                             write(one);
                                     });
                                 });
}

void ClientCrowd::read(const std::shared_ptr<One>& one) {
    one->socket.async_read_some(net::asio::buffer(one->received),
                                [this, one](const net::error_code& error, std::size_t) {
                                    if (error)
                                        return ended(one);
                                    read(one);
                                });
}

void ClientCrowd::ended(const std::shared_ptr<One>& one) {
    if (left_ || !reconnect_)
        return;
    net::error_code ignored;
    one->socket.close(ignored);
    one->timer.expires_after(kReconnectDelay);
    one->timer.async_wait([this, one](const net::error_code& error) {
        if (!error)
            connect(one);
    });
}

void ClientCrowd::leave() {
    left_ = true;
    net::error_code ignored;
    for (const auto& one : clients_) {
        one->timer.cancel();
        one->socket.close(ignored);
    }
}

}  // namespace silverrail::test
