#include "net/prober.h"

#include "config/config.h"

namespace silverrail::net {

struct Prober::Look {
    Look(asio::io_context& io, std::function<void(bool)> then)
        : socket(io), timer(io), done(std::move(then)) {}
    tcp::socket socket;
    asio::steady_timer timer;
    std::function<void(bool)> done;
};

bool Prober::look(const std::string& address, std::function<void(bool)> done) {
    const auto at = config::parse_endpoint(address);
    error_code bad;
    const auto ip = at ? asio::ip::make_address(at->host, bad) : asio::ip::address{};
    if (!at || bad || looks_.size() >= limits_.at_once)
        return false;
    const auto look = std::make_shared<Look>(io_, std::move(done));
    looks_.insert(look);
    look->timer.expires_after(limits_.within);
    look->timer.async_wait([this, look](const error_code& error) {
        if (!error)
            end(look, false);
    });
    look->socket.async_connect({ip, at->port}, [this, look](const error_code& error) {
        if (error != asio::error::operation_aborted)
            end(look, !error);
    });
    return true;
}

void Prober::end(const std::shared_ptr<Look>& look, bool listens) {
    if (looks_.erase(look) == 0)
        return;
    look->timer.cancel();
    error_code ignored;
    look->socket.close(ignored);
    look->done(listens);
}

void Prober::stop() {
    for (const auto& look : std::exchange(looks_, {})) {
        look->timer.cancel();
        error_code ignored;
        look->socket.close(ignored);
    }
}

}  // namespace silverrail::net
