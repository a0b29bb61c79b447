// The recorder: watches the core, compares the clocks every second, and says what the recorder has to say.
#pragma once

#include <optional>

#include "app/part.h"
#include "config/operator_settings.h"
#include "core/engine.h"
#include "net/asio.h"
#include "trace/recorder.h"

namespace silverrail::app {

class TracePart : public Part {
public:
    struct World {
        net::asio::io_context& io;
        core::Engine& engine;
        Log& log;
        std::string router;
        std::uint64_t seed;
        std::string settings;  // the configuration as JSON, on one line, less what is known of discovery
    };
    TracePart(World world, const config::TraceSettings& settings);
    ~TracePart() override;
    void start() override;
    void stop() override {}
    void end() override;
    void dump() override;
    std::string counters() override;

private:
    void tick();
    void say();

    World world_;
    const config::TraceSettings settings_;
    net::asio::steady_timer timer_;
    std::optional<trace::Recorder> recorder_;
    std::optional<trace::Observing> observing_;
};

}  // namespace silverrail::app
