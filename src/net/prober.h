// Looks whether something listens at an address, by a connect that sends nothing and is closed at once. At
// most a few at a time, each within its time.
#pragma once

#include <functional>
#include <memory>
#include <set>

#include "net/asio.h"

namespace silverrail::net {

class Prober {
public:
    struct Limits {
        std::size_t at_once = 8;
        std::chrono::milliseconds within{300};
    };
    Prober(asio::io_context& io, Limits limits) : io_(io), limits_(limits) {}
    ~Prober() {
        stop();
    }
    // False: as many as may be are under way, or the address is none. Else `done` is called once, unless
    // stopped before.
    bool look(const std::string& address, std::function<void(bool listens)> done);
    void stop();

private:
    struct Look;
    void end(const std::shared_ptr<Look>& look, bool listens);

    asio::io_context& io_;
    Limits limits_;
    std::set<std::shared_ptr<Look>> looks_;
};

}  // namespace silverrail::net
