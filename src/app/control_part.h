// The second address: where operators ask how this process is.
#pragma once

#include "app/part.h"
#include "front/admin/admin.h"
#include "net/line_server.h"

namespace silverrail::app {

// Throws config::ConfigError, which names the setting.
net::tcp::endpoint control_endpoint(const std::string& at);

class ControlPart : public Part {
public:
    struct World {
        net::asio::io_context& io;
        core::Engine& engine;
        front::admin::Hands& hands;
        const Lifecycle& lifecycle;
        Log& log;
        std::function<void()> shed;   // frees descriptors
        front::admin::Fleet fleet{};  // empty without peers
    };
    // Listens at once, as an address that is taken must stop the start; throws config::ConfigError.
    ControlPart(World world, const std::string& at, std::size_t most_callers);
    void start() override {
        server_.start();
    }
    void stop() override {}  // who asks while it ends is told so

private:
    front::admin::Admin admin_;
    net::LineServer server_;
};

}  // namespace silverrail::app
