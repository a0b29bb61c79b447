// The handover between two processes of this router during an upgrade: counts the processes that are running,
// five times a second.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "log/log.h"
#include "net/asio.h"
#include "store/process_registry.h"

namespace silverrail::app {

class Handover {
public:
    // `registry_path`: the file that all processes of this router lock. Empty: this one is always alone. If
    // it can't be used, that is logged, and this process counts as the only one.
    Handover(net::asio::io_context& io, const std::string& registry_path, Log& log);
    // Counted anew, this process among them.
    std::size_t processes() const {
        return registry_ ? registry_->processes() : 1;
    }
    // Called with each new count from here on.
    void on_change(std::function<void(std::size_t)> changed);

private:
    void poll();

    Log& log_;
    net::asio::steady_timer timer_;
    std::optional<store::ProcessRegistry> registry_;
    std::function<void(std::size_t)> changed_;
    std::size_t last_count_ = 1;
};

}  // namespace silverrail::app
