#include "lab/demo/client.h"

#include <algorithm>

#include "config/hex.h"
#include "lab/sample_deployment.h"
#include "lab/stand_in_server.h"
#include "lab/stand_in_support.h"

namespace silverrail::lab::demo {

namespace http = net::http;
using net::error_code;
using Clock = std::chrono::steady_clock;

namespace {

constexpr const char* kBulkClass = kRequestClasses[0];
constexpr const char* kPageClass = kRequestClasses[1];
constexpr const char* kWriteClass = kRequestClasses[2];
// Of 100 requests.
constexpr std::uint64_t kBulkShare = 54;
constexpr std::uint64_t kPageShare = 36;

constexpr std::uint64_t kReadObjects = 60;
constexpr std::uint64_t kObjectStep = 0x9e3779b97f4a7c15U;  // spreads the objects' names
constexpr std::uint64_t kParts = 2;
constexpr std::uint64_t kPurgeGroups = 256;

const char* class_of(std::uint64_t percentile) {
    if (percentile < kBulkShare)
        return kBulkClass;
    return percentile < kBulkShare + kPageShare ? kPageClass : kWriteClass;
}

}  // namespace

Client::Client(net::asio::io_context& io, net::tcp::endpoint router, Workload& workload)
    : socket_(io), router_(std::move(router)), workload_(workload) {}

void Client::start() {
    error_code error;
    socket_.connect(router_, error);
    if (!error)
        send_request();
}

void Client::draw_request() {
    auto& random = workload_.random;
    class_name_ = class_of(random() % 100);
    const bool is_write = class_name_ == kWriteClass;
    object_ = config::hex_text(is_write ? random() : random() % kReadObjects * kObjectStep);
    part_ = is_write ? "0" : std::to_string(random() % kParts);
    request_ = {is_write ? http::verb::put : http::verb::get,
                "/ops/" + class_name_ + "/" + object_ + "/piece-" + part_, kHttpVersion};
    request_.set(http::field::host, "app.svc");
    request_.set("Trace-Id", config::hex_text(random()));
    request_.set("Max-Wait-Ms", is_write ? "3000" : "2500");
    request_.set("X-Lot", std::to_string(random() % kPurgeGroups));
    if (is_write)
        request_.body() = "hours: 38";
    request_.prepare_payload();
}

void Client::send_request() {
    if (workload_.requests_left == 0)
        return;
    --workload_.requests_left;
    ++workload_.in_flight;
    draw_request();
    response_ = {};
    sent_at_ = Clock::now();
    ++workload_.results[class_name_].requests;
    // The result is that of the read: where a write fails, so does the read.
    http::async_write(socket_, request_, [self = shared_from_this()](const error_code&, std::size_t) {});
    http::async_read(
        socket_, buffer_, response_,
        [self = shared_from_this()](const error_code& error, std::size_t) { self->on_response(error); });
}

void Client::on_response(const error_code& error) {
    ClassResult& result = workload_.results[class_name_];
    --workload_.in_flight;
    const double latency_ms = std::chrono::duration<double, std::milli>(Clock::now() - sent_at_).count();
    result.total_latency_ms += latency_ms;
    result.max_latency_ms = std::max(result.max_latency_ms, latency_ms);
    if (error) {
        ++result.unanswered;
        return;
    }
    count_response(result);
    send_request();
}

void Client::count_response(ClassResult& result) const {
    switch (response_.result()) {
        case http::status::ok:
            ++result.served;
            if (response_.body() != object_body(class_name_, object_, part_))
                ++result.wrong_body;
            break;
        case http::status::not_modified:
            ++result.not_modified;
            break;
        case http::status::too_many_requests:
        case http::status::service_unavailable:
            ++result.rejected;
            break;
        default:
            ++result.failed;
    }
}

}  // namespace silverrail::lab::demo
