// A TCP health check: finds out whether a process listens at an address, by a connection that sends nothing
// and is closed at once. The number and duration of checks are limited.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "net/asio.h"

namespace silverrail::net {

class TcpHealthCheck {
public:
    struct Limits {
        std::size_t concurrent = 8;
        std::chrono::milliseconds timeout{300};
    };
    TcpHealthCheck(asio::io_context& io, Limits limits) : io_(io), limits_(limits) {}
    ~TcpHealthCheck() {
        stop();
    }
    // Returns false if too many checks are pending, or if `address` is not ADDRESS:PORT. Otherwise `done` is
    // called once, unless stop() is called before.
    bool check(const std::string& address, std::function<void(bool listens)> done);
    void stop();

private:
    struct Check;
    void finish(const std::shared_ptr<Check>& check, bool listens);

    asio::io_context& io_;
    Limits limits_;
    std::set<std::shared_ptr<Check>> checks_;
};

}  // namespace silverrail::net
