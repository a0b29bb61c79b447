// The other processes of this router, of which there is one during an upgrade: looked at five times a second.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "log/log.h"
#include "net/asio.h"
#include "store/presence.h"

namespace silverrail::app {

class Overlap {
public:
    // `file`: the one that all processes of this router lock; empty: this one is always alone. One that can't
    // be used is logged, and then this process takes itself for the only one.
    Overlap(net::asio::io_context& io, const std::string& file, Log& log);
    // Counted anew, this one among them.
    std::size_t processes() const {
        return presence_ ? presence_->processes() : 1;
    }
    // Told whenever the count has changed.
    void follow(std::function<void(std::size_t)> changed);

private:
    void look();
    Log& log_;
    net::asio::steady_timer timer_;
    std::optional<store::Presence> presence_;
    std::function<void(std::size_t)> changed_;
    std::size_t last_ = 1;
};

}  // namespace silverrail::app
