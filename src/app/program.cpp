#include "app/program.h"

#include <algorithm>

#include "app/endpoint.h"
#include "app/network_counters.h"
#include "app/resident_memory.h"
#include "app/resource_limits.h"
#include "config/discovery_event.h"
#include "store/executed_requests_table.h"

namespace silverrail::app {

namespace {

using namespace std::chrono_literals;

// Discovery announces an event at most this long after it happened, while the watch is connected.
constexpr core::Span kMaxDiscoveryDelay = 10s;

// The server list in the configuration may be of any age.
constexpr core::Span kAnyAge = core::Span::max();

constexpr std::size_t kBytesPerKilobyte = 1024;
constexpr std::size_t kKilobytesPerMegabyte = 1024;

// New requests are rejected while less memory than this is available.
constexpr std::size_t kMinBytesForRequest = 64UL * 1024;

// Idle connections closed when the process runs out of descriptors.
constexpr std::size_t kDescriptorsToFree = 32;

// A file that the processes of this router share; empty: there is none.
std::string file_of_processes(const SettingsSources& sources, const config::Config& config,
                              const char* extension) {
    // Only with a control address may two processes run side by side.
    return config.control.empty() ? std::string{}
                                  : shared_file_path(sources.shared_folder, config.listen, extension);
}

// Without the file, ids are remembered by each process for itself.
std::unique_ptr<core::ExecutedRequests> open_executed_requests(const std::string& path, Log& log) {
    try {
        return std::make_unique<store::ExecutedRequestsTable>(path);
    } catch (const std::exception& error) {
        if (path.empty())
            throw;
        log.line("executed-requests", "%s: ids of requests are not shared with other processes",
                 error.what());
        return std::make_unique<store::ExecutedRequestsTable>();
    }
}

}  // namespace

Program::Program(SettingsSources sources, config::Config config, const config::OperatorSettings& settings)
    : sources_(std::move(sources)),
      config_(std::move(config)),
      settings_(settings),
      handover_(io_, file_of_processes(sources_, config_, "presence"), log_),
      quota_(limits::quota_of(total_resources(config_, settings_), handover_.processes())),
      timers_(io_),
      pool_(io_, pool_limits(config_, quota_), clock_, memory_, log_),
      engine_(config_.settings, config_.seed, config_.sockets, clock_, timers_, pool_, log_),
      executed_requests_(open_executed_requests(file_of_processes(sources_, config_, "executed"), log_)),
      platform_(engine_, lifecycle_, log_),
      server_(
          io_, endpoint_of(config_.listen), client_limits(config_, quota_), front::kRequestFields,
          [this](const auto& session, auto request) { platform_.handle(session, std::move(request)); },
          memory_, log_),
      memory_monitor_(memory_dependencies()),
      parts_(part_dependencies()),
      signals_(io_, signal_actions()),
      shutdown_(shutdown_dependencies(), config_.settings),
      reloader_(io_, sources_, config_, settings_, log_) {
    engine_.enable_response_cache(cache_limits(config_, quota_));
    engine_.set_executed_requests(*executed_requests_);
    engine_.set_memory_check([this] { return memory_.available() >= kMinBytesForRequest; });
    memory_monitor_.set_limits(quota_.memory_bytes, quota_.cache_bytes);
    if (const auto processes = handover_.processes(); processes > 1)
        on_process_count(processes);
    handover_.on_change([this](std::size_t processes) { on_process_count(processes); });
    lifecycle_.on_change([this](Lifecycle::Phase phase) { on_phase(phase); });
    platform_.set_additional_counters([this] { return module_counters(); });
    parts_.create();
}

OptionalParts::Dependencies Program::part_dependencies() {
    return {.io = io_,
            .engine = engine_,
            .clock = clock_,
            .timers = timers_,
            .lifecycle = lifecycle_,
            .log = log_,
            .config = config_,
            .settings = settings_,
            .shared_folder = sources_.shared_folder,
            .quota = quota_,
            .free_descriptors = [this] {
                free_descriptors();
            }};
}

SignalActions Program::signal_actions() {
    return {.terminate = [this] { lifecycle_.enter(Lifecycle::Phase::draining); },
            .reload = [this] { reloader_.reload(); },
            .print_counters = [this] { print_counters(); },
            .dump =
                [this] {
                    parts_.dump();
                }};
}

MemoryMonitor::Dependencies Program::memory_dependencies() {
    return {.io = io_,
            .budget = memory_,
            .cache_bytes = [this] { return engine_.cache_bytes(); },
            .set_cache_bytes = [this](std::size_t bytes) { engine_.set_cache_capacity(bytes); },
            .release_memory =
                [this](std::size_t bytes) {
                    server_.release_memory(bytes);
                }};
}

GracefulShutdown::Dependencies Program::shutdown_dependencies() {
    return {.io = io_,
            .clock = clock_,
            .lifecycle = lifecycle_,
            .engine = engine_,
            .server = server_,
            .successor_runs = [this] { return handover_.processes() > 1; },
            .stop_parts =
                [this] {
                    parts_.stop();
                }};
}

void Program::start() {
    parts_.start();
    for (const Json::Value& event : config_.known)
        apply_event(event, kAnyAge);
    if (!config_.discovery.empty())
        start_discovery();
    server_.when_out_of_descriptors([this] { free_descriptors(); });
    server_.start();
    signals_.start();
}

void Program::start_discovery() {
    discovery_.emplace(
        io_, endpoint_of(config_.discovery), config_.last_known_event,
        [this](std::int64_t, std::string_view data) { return on_discovery_data(data); }, log_, config_.seed);
    if (auto* coverage = engine_.purge_coverage())
        observe_discovery(*coverage);
    discovery_->start();
    reloader_.attach(*discovery_);
}

void Program::observe_discovery(cache::PurgeCoverage& coverage) {
    // The events in the configuration are those of the router's start, which a second process did not see.
    if (handover_.processes() == 1)
        coverage.set_complete(clock_.now());
    using SteadyTime = std::chrono::steady_clock::time_point;
    discovery_->when_live(
        [&coverage](SteadyTime opened) { coverage.set_live(core::Time{opened.time_since_epoch()}); });
    discovery_->when_interrupted([&coverage](SteadyTime last_line) {
        coverage.set_interrupted(core::Time{last_line.time_since_epoch()});
    });
    discovery_->when_events_lost([this, &coverage] { coverage.set_overdue(clock_.now()); });
}

void Program::run() {
    unblock_signals();
    lifecycle_.enter(Lifecycle::Phase::ready);
    io_.run();
    print_counters();
    parts_.end();
}

// The limits, and each of the decision module's budgets, are those of all processes together.
void Program::on_process_count(std::size_t processes) {
    quota_ = limits::quota_of(total_resources(config_, settings_), processes);
    engine_.set_process_share(processes, quota_.cache_bytes);
    memory_monitor_.set_limits(quota_.memory_bytes, quota_.cache_bytes);
    pool_.limit_connections(quota_.server_connections);
    server_.limit_connections(quota_.client_connections);
}

void Program::on_phase(Lifecycle::Phase phase) {
    log_.line("phase", "%s, %zu open calls, %zu client connections, %zu of %zu KB of memory",
              std::string{Lifecycle::name(phase)}.c_str(), engine_.open(), server_.connections(),
              resident_memory_bytes().value_or(0) / kBytesPerKilobyte,
              config_.memory_mb * kKilobytesPerMegabyte);
    shutdown_.enter(phase);
}

// Returns false if the event cannot be read.
bool Program::on_discovery_data(std::string_view data) {
    const auto json = config::parse_json(data);
    if (!json) {
        log_.line("bad-event", "%.*s", static_cast<int>(data.size()), data.data());
        return false;
    }
    return apply_event(*json, kMaxDiscoveryDelay + discovery_->max_event_delay());
}

// `max_age`: how long ago the event can have happened at most. Returns false if it is of no known form.
bool Program::apply_event(const Json::Value& json, core::Span max_age) {
    auto event = config::parse_event(json);
    if (!event) {
        log_.line("bad-event", "not one that is known");
        return false;
    }
    std::visit([&](auto& what) { engine_.apply(std::move(what), max_age); }, event->what);
    return true;
}

void Program::free_descriptors() {
    pool_.close_idle(kDescriptorsToFree);
}

std::string Program::module_counters() {
    std::string out = parts_.counters();
    out += client_counters(server_);
    out += event_loop_counters(server_);
    if (discovery_)
        out += discovery_counters(discovery_->counters());
    out += memory_counters(memory_, server_);
    return out;
}

void Program::print_counters() {
    std::string text = engine_.counters().text() + module_counters();
    std::replace(text.begin(), text.end(), '\n', ' ');
    log_.line("counters", "%s", text.c_str());
}

}  // namespace silverrail::app
