#include "lab/soak/crowd.h"

#include <array>
#include <string>

namespace silverrail::lab::soak {

namespace {

constexpr std::size_t kAnnouncedBytes = 60'000;
constexpr std::size_t kSentBytes = 59'000;
constexpr Millis kReconnectDelay{50};

std::string incomplete_write() {
    return "PUT /ops/lodge/00000000000000cc/piece-0 HTTP/1.1\r\nHost: soak\r\nTrace-Id: 00000000000000cc\r\n"
           "Max-Wait-Ms: 1000\r\nContent-Length: " +
           std::to_string(kAnnouncedBytes) + "\r\n\r\n" + std::string(kSentBytes, 'c');
}

}  // namespace

void Crowd::start(std::size_t routers) {
    for (std::size_t router = 0; router < routers; ++router)
        for (std::size_t i = 0; i < each_; ++i)
            spawn(io_, hold(router));
}

Task<> Crowd::hold(std::size_t router) {
    const std::string bytes = incomplete_write();
    while (true) {
        co_await pause(kReconnectDelay);
        const RouterAvailability& availability = clients_.availability(router);
        if (!availability.connections)
            continue;
        tcp::socket socket{io_};
        error_code error;
        co_await socket.async_connect(availability.at, into(error));
        if (!error)
            co_await asio::async_write(socket, asio::buffer(bytes), into(error));
        std::array<char, 512> received{};
        while (!error)
            co_await socket.async_read_some(asio::buffer(received), into(error));
    }
}

}  // namespace silverrail::lab::soak
