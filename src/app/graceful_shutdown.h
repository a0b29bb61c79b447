// Graceful shutdown: what the program does in each phase from SIGTERM to its exit.
#pragma once

#include <functional>

#include "core/engine.h"
#include "lifecycle.h"
#include "net/http_server.h"

namespace silverrail::app {

class GracefulShutdown {
public:
    struct Dependencies {
        net::asio::io_context& io;
        const core::Clock& clock;
        Lifecycle& lifecycle;
        core::Engine& engine;
        net::HttpServer& server;
        std::function<bool()> successor_runs;  // another process of this router takes new connections
        std::function<void()> stop_parts;      // nothing new enters through optional parts
    };
    GracefulShutdown(Dependencies dependencies, const routing::Settings& settings);
    // Draining: requests still come in. Finishing: nothing new comes in, and what is open gets its answer.
    // Stopped: ends the event loop. Other phases are ignored.
    void enter(Lifecycle::Phase phase);

private:
    void drain();
    void finish();
    void finish_when_idle();

    Dependencies with_;
    const core::Span grace_period_;  // from SIGTERM until every open request must have its answer
    net::asio::steady_timer timer_;
    core::Time answer_by_ = core::Time::max();
};

}  // namespace silverrail::app
