// The trace: records what the core does, samples the clocks every second, and logs the recorder's notices.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "app/part.h"
#include "config/operator_settings.h"
#include "core/engine.h"
#include "net/asio.h"
#include "trace/recorder/recorder.h"
#include "trace/recorder/trace_observer.h"

namespace silverrail::app {

class TracePart : public Part {
public:
    struct Dependencies {
        net::asio::io_context& io;
        core::Engine& engine;
        Log& log;
        std::string router_name;
        std::uint64_t seed;    // of the decision module
        std::string settings;  // the configuration as JSON, without the state learned from discovery
    };
    TracePart(Dependencies dependencies, const config::TraceSettings& settings);
    ~TracePart() override;
    void start() override;
    void stop() override {}
    void end() override;
    void dump() override;
    std::string counters() override;

private:
    void sample_clocks_every_second();
    void log_notices();

    Dependencies dependencies_;
    const config::TraceSettings settings_;
    net::asio::steady_timer timer_;
    std::optional<trace::Recorder> recorder_;
    std::optional<trace::TraceObserver> observer_;
};

}  // namespace silverrail::app
