// The demo's clients: connections that send one request after the other and check the answers.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "net/asio.h"

namespace silverrail::lab::demo {

inline constexpr int kRequests = 600;

// What became of the requests of one class.
struct ClassResult {
    int requests = 0;
    int served = 0;
    int not_modified = 0;
    int rejected = 0;
    int failed = 0;
    int unanswered = 0;
    int wrong_body = 0;  // of those served
    double total_latency_ms = 0;
    double max_latency_ms = 0;
};

// What all clients share.
struct Workload {
    std::mt19937_64 random;
    int requests_left = kRequests;
    int in_flight = 0;
    std::map<std::string, ClassResult> results{};  // by class

    bool finished() const {
        return requests_left == 0 && in_flight == 0;
    }
};

// Owned by its pending operations. Ends when the workload has no requests left, or its connection fails. The
// workload must outlive the I/O context's last handler.
class Client : public std::enable_shared_from_this<Client> {
public:
    Client(net::asio::io_context& io, net::tcp::endpoint router, Workload& workload);
    // Connects (blocking) and sends the first request.
    void start();

private:
    void send_request();
    void draw_request();
    void on_response(const net::error_code& error);
    void count_response(ClassResult& result) const;

    net::tcp::socket socket_;
    net::tcp::endpoint router_;
    Workload& workload_;
    net::beast::flat_buffer buffer_;
    net::http::request<net::http::string_body> request_;
    net::http::response<net::http::string_body> response_;
    std::string class_name_;
    std::string object_;
    std::string part_;
    std::chrono::steady_clock::time_point sent_at_;
};

}  // namespace silverrail::lab::demo
