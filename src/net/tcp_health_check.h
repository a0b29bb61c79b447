// A TCP health check: whether something listens at an address, found by a connect that sends nothing and is
// closed at once. Bounded in number and time.
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
    // Returns false if too many checks are under way, or if `address` is not ADDRESS:PORT. Else `done` is
    // called once, unless stop() comes first.
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
