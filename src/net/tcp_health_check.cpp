#include "net/tcp_health_check.h"

#include "config/endpoint.h"

namespace silverrail::net {

struct TcpHealthCheck::Check {
    Check(asio::io_context& io, std::function<void(bool)> action)
        : socket(io), timer(io), done(std::move(action)) {}
    void close() {
        timer.cancel();
        error_code ignored;
        socket.close(ignored);
    }
    tcp::socket socket;
    asio::steady_timer timer;
    std::function<void(bool)> done;
};

bool TcpHealthCheck::check(const std::string& address, std::function<void(bool)> done) {
    const auto endpoint = config::parse_endpoint(address);
    error_code invalid;
    const auto host = endpoint ? asio::ip::make_address(endpoint->host, invalid) : asio::ip::address{};
    if (!endpoint || invalid || checks_.size() >= limits_.concurrent)
        return false;
    const auto check = std::make_shared<Check>(io_, std::move(done));
    checks_.insert(check);
    check->timer.expires_after(limits_.timeout);
    check->timer.async_wait([this, check](const error_code& error) {
        if (!error)
            finish(check, false);
    });
    check->socket.async_connect({host, endpoint->port}, [this, check](const error_code& error) {
        if (error != asio::error::operation_aborted)
            finish(check, !error);
    });
    return true;
}

void TcpHealthCheck::finish(const std::shared_ptr<Check>& check, bool listens) {
    if (checks_.erase(check) == 0)
        return;
    check->close();
    check->done(listens);
}

void TcpHealthCheck::stop() {
    for (const auto& check : std::exchange(checks_, {}))
        check->close();
}

}  // namespace silverrail::net
