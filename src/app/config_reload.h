// Reload of the settings files on SIGHUP.
#pragma once

#include "app/settings_sources.h"
#include "config/config.h"
#include "config/operator_settings.h"
#include "log/log.h"
#include "net/asio.h"
#include "net/discovery_watch.h"

namespace silverrail::app {

// All or nothing: new files are read and checked completely before anything of them takes effect. Only a new
// address of service discovery is applied; every other change is logged as waiting for a restart.
class ConfigReloader {
public:
    ConfigReloader(net::asio::io_context& io, const SettingsSources& sources, const config::Config& running,
                   const config::OperatorSettings& running_settings, Log& log);
    // The watch that follows a changed address; it must outlive the reloader. Without one none is applied.
    void attach(net::DiscoveryWatch& watch) {
        watch_ = &watch;
    }
    // Files that cannot be read or are invalid are tried again for kRetryDelay * kMaxAttempts, as they may be
    // in the middle of being written.
    void reload();

private:
    void attempt();
    bool reload_once();
    void apply(const config::Config& fresh, const config::OperatorSettings& fresh_settings);

    const SettingsSources& sources_;
    const config::Config& running_;
    const config::OperatorSettings& running_settings_;
    Log& log_;
    net::asio::steady_timer retry_timer_;
    net::DiscoveryWatch* watch_ = nullptr;
    std::string discovery_address_;  // in force
    int attempts_left_ = 0;
};

}  // namespace silverrail::app
