// The control address, where operators send commands to this process.
#pragma once

#include "app/part.h"
#include "front/admin/admin.h"
#include "net/line_server.h"

namespace silverrail::app {

// The address in the setting `control`; throws config::ConfigError, which names the setting.
net::tcp::endpoint control_endpoint(const std::string& at);

class ControlPart : public Part {
public:
    struct Dependencies {
        net::asio::io_context& io;
        core::Engine& engine;
        front::admin::OverrideCommands& overrides;
        const Lifecycle& lifecycle;
        Log& log;
        std::function<void()> free_descriptors;  // closes connections that are not needed
        front::admin::ClusterCommands cluster{};
    };
    // Binds at once, as an address that is in use must stop the start; throws config::ConfigError.
    ControlPart(Dependencies dependencies, const std::string& address, std::size_t max_connections);
    void start() override {
        server_.start();
    }
    void stop() override {}  // answers until the process ends

private:
    front::admin::Admin admin_;
    net::LineServer server_;
};

}  // namespace silverrail::app
