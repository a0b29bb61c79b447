#include "app/config_reload.h"

#include "app/endpoint.h"

namespace silverrail::app {

namespace {

constexpr int kMaxAttempts = 20;
constexpr std::chrono::milliseconds kRetryDelay{100};

}  // namespace

ConfigReloader::ConfigReloader(net::asio::io_context& io, const SettingsSources& sources,
                               const config::Config& running,
                               const config::OperatorSettings& running_settings, Log& log)
    : sources_(sources),
      running_(running),
      running_settings_(running_settings),
      log_(log),
      retry_timer_(io),
      discovery_address_(running.discovery) {}

void ConfigReloader::reload() {
    attempts_left_ = kMaxAttempts;
    attempt();
}

void ConfigReloader::attempt() {
    if (reload_once() || --attempts_left_ == 0)
        return;
    retry_timer_.expires_after(kRetryDelay);
    retry_timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            attempt();
    });
}

// Returns false if the new settings are not usable.
bool ConfigReloader::reload_once() {
    try {
        const config::Config fresh = config::load_config(sources_.config_file);
        const auto [fresh_settings, problems] =
            config::load_operator(sources_.operator_file, sources_.operator_file_required);
        if (!problems.empty())
            throw config::ConfigError(problems.front().text());
        apply(fresh, fresh_settings);
        return true;
    } catch (const std::exception& e) {
        log_.line("reload-failed", "%s; nothing was changed", e.what());
        return false;
    }
}

void ConfigReloader::apply(const config::Config& fresh, const config::OperatorSettings& fresh_settings) {
    for (const char* section : config::changed_sections(running_settings_, fresh_settings))
        log_.line("reload", "%s has changed: not applied, takes a restart", section);
    for (const auto& name : config::settings_needing_restart(running_, fresh))
        log_.line("reload", "%s has changed: not applied, takes a restart", name.c_str());
    if (fresh.discovery == discovery_address_ || !watch_) {
        log_.line("reload", "read; the discovery address is unchanged");
        return;
    }
    watch_->move_to(endpoint_of(fresh.discovery));
    discovery_address_ = fresh.discovery;
    log_.line("reload", "discovery is now at %s", discovery_address_.c_str());
}

}  // namespace silverrail::app
