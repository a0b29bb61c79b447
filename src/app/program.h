// The router as one object: every module wired together on one event loop and one thread.
#pragma once

#include <memory>
#include <optional>

#include "app/config_reload.h"
#include "app/graceful_shutdown.h"
#include "app/handover.h"
#include "app/memory_monitor.h"
#include "app/optional_parts.h"
#include "app/settings_sources.h"
#include "app/signals.h"
#include "core/engine.h"
#include "front/platform/platform.h"
#include "lifecycle.h"
#include "net/clock.h"
#include "net/connection_pool.h"
#include "net/discovery_watch.h"
#include "net/http_server.h"

namespace silverrail::app {

class Program {
public:
    // Binds the listeners. Throws what makes a start impossible: config::ConfigError, or a system error.
    // The files that `sources` names are read again on SIGHUP.
    Program(SettingsSources sources, config::Config config, const config::OperatorSettings& settings);
    Program(const Program&) = delete;
    Program& operator=(const Program&) = delete;

    // Accepts clients from now on. Throws what makes a start impossible, for a moment or permanently.
    void start();
    // Serves until it is ended by SIGTERM or SIGINT, and shuts down gracefully.
    void run();

private:
    OptionalParts::Dependencies part_dependencies();
    SignalActions signal_actions();
    GracefulShutdown::Dependencies shutdown_dependencies();
    MemoryMonitor::Dependencies memory_dependencies();

    void start_discovery();
    void observe_discovery(cache::PurgeCoverage& coverage);
    void on_process_count(std::size_t processes);
    void on_phase(Lifecycle::Phase phase);
    bool on_discovery_data(std::string_view data);
    bool apply_event(const Json::Value& json, core::Span max_age);
    void free_descriptors();

    std::string module_counters();
    void print_counters();

    const SettingsSources sources_;
    const config::Config config_;
    const config::OperatorSettings settings_;
    Log log_;
    net::asio::io_context io_{1};
    Handover handover_;
    limits::ProcessQuota quota_;
    limits::MemoryBudget memory_;
    net::SystemClock clock_;
    net::TimerQueue timers_;
    net::ConnectionPool pool_;
    Lifecycle lifecycle_;
    core::Engine engine_;
    std::unique_ptr<core::ExecutedRequests> executed_requests_;
    front::Platform platform_;
    net::HttpServer server_;
    MemoryMonitor memory_monitor_;
    OptionalParts parts_;
    SignalDispatcher signals_;
    GracefulShutdown shutdown_;
    ConfigReloader reloader_;
    std::optional<net::DiscoveryWatch> discovery_;
};

}  // namespace silverrail::app
