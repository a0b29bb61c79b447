#include "app/program.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <memory>
#include <system_error>
#include <thread>
#include <vector>

#include "app/bans_part.h"
#include "app/control_part.h"
#include "app/dns_part.h"
#include "app/endpoint.h"
#include "app/failover_part.h"
#include "app/hearsay_part.h"
#include "app/membership_part.h"
#include "app/overlap.h"
#include "app/replica_part.h"
#include "app/trace_part.h"
#include "config/operator.h"
#include "core/engine.h"
#include "front/platform/platform.h"
#include "lifecycle.h"
#include "members/shares.h"
#include "net/clock.h"
#include "net/discovery_watch.h"
#include "net/http_server.h"
#include "net/upstream.h"
#include "store/read_file.h"

namespace silverrail::app {
namespace {

using namespace std::chrono_literals;

// After SIGTERM new connections come for up to 0.4 s, and requests on open ones for 0.2 s more.
constexpr auto kDrainFor = 700ms;

// SIGKILL comes no sooner than the longest deadline and this much more after SIGTERM, with that deadline
// taken as 3 s where it is longer.
constexpr auto kKilledAfter = 700ms;
constexpr core::Span kLongestCounted = 3s;
// What is open so long before that is answered then: written answers have to leave, too.
constexpr auto kBeforeKilled = 200ms;

// Discovery tells what has come about some seconds later at most, while it is heard at all.
constexpr core::Span kNewsLate = 10s;

// A configuration that is not good at the signal is looked at again, so often and so far apart.
constexpr int kReloads = 20;
constexpr auto kBetweenReloads = 100ms;

// A start that fails for a reason of the moment is begun anew for so long.
constexpr auto kStartTriedFor = 6s;
constexpr auto kBetweenStarts = 50ms;

core::Span kill_after(const routing::Settings& settings) {
    const core::Span longest = core::longest_deadline(settings);
    return (longest > core::Span{} ? std::min(longest, kLongestCounted) : kLongestCounted) + kKilledAfter;
}

const char* variable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

// Guards the start: a signal that comes before there is somebody to take it waits until there is.
void hold_signals(int how) {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGUSR2})
        sigaddset(&set, signal);
    ::pthread_sigmask(how, &set, nullptr);
}

members::Whole whole_of(const config::Config& c, const config::OperatorSettings& settings) {
    return {.sockets = c.sockets,
            .memory_bytes = c.memory_mb * 1024 * 1024,
            .control = !c.control.empty(),
            .others = settings.dns.on() ? net::DnsLimits{}.connections + 3 : 0};
}

net::UpstreamLimits upstream_limits(const config::Config& c, const members::Shares& shares) {
    net::UpstreamLimits limits;
    limits.sockets = shares.servers;
    if (c.connect_timeout > routing::Span{})
        limits.connect_timeout = c.connect_timeout;
    // A connection that both sides may close at the same moment is not worth keeping.
    if (c.conn_idle > routing::Span{})
        limits.idle = c.conn_idle * 2 / 3;
    return limits;
}

net::HttpLimits server_limits(const config::Config& c, const members::Shares& shares) {
    net::HttpLimits limits;
    limits.connections = shares.clients;
    // A new version takes over beside the old one where operators can ask it whether it serves.
    if (!c.control.empty())
        limits.port = net::Listener::Port::shared;
    return limits;
}

copies::Limits copy_limits(const config::Config& c, const members::Shares& shares) {
    return {.bytes = shares.copies_bytes,
            .link = {.flow_bytes_per_s = c.flow_bytes_per_s, .link_bytes_per_s = c.link_bytes_per_s}};
}

// A file that the processes of this router share; empty where no folder is given. Named after the clients'
// address, which is what makes them one.
std::string kept_file(const Sources& sources, const config::Config& c, const char* kind) {
    if (sources.folder.empty())
        return {};
    std::string name = c.listen;
    std::replace_if(name.begin(), name.end(), [](unsigned char ch) { return std::isalnum(ch) == 0; }, '-');
    return sources.folder + "/silverrail-" + name + "." + kind;
}

class Program {
public:
    // What `sources` names is read anew on SIGHUP.
    Program(Sources sources, config::Config config, const config::OperatorSettings& settings)
        : sources_(std::move(sources)),
          config_(std::move(config)),
          settings_(settings),
          overlap_(io_, config_.control.empty() ? "" : kept_file(sources_, config_, "presence"), log_),
          shares_(members::shares_of(whole_of(config_, settings_), overlap_.processes())),
          timers_(io_),
          upstream_(io_, upstream_limits(config_, shares_), clock_, log_),
          engine_(config_.settings, config_.seed, config_.sockets, clock_, timers_, upstream_, log_),
          platform_(engine_, lifecycle_, log_),
          server_(
              io_, endpoint_of(config_.listen), server_limits(config_, shares_),
              [this](auto session, auto request) { platform_.handle(session, std::move(request)); }, log_),
          signals_(io_, SIGTERM, SIGINT, SIGUSR1),
          dump_(io_, SIGUSR2),
          hangup_(io_, SIGHUP),
          poll_(io_),
          reload_again_(io_) {
        engine_.keep_copies(copy_limits(config_, shares_));
        if (const auto processes = overlap_.processes(); processes > 1)
            share_with(processes);
        overlap_.follow([this](std::size_t processes) { share_with(processes); });
        lifecycle_.on_change([this](Lifecycle::Phase phase) { entered(phase); });
        platform_.also_count([this] { return part_counters(); });
        // What watches the core comes first: it has to see the first list.
        if (settings_.trace.on()) {
            parts_.push_back(
                std::make_unique<TracePart>(TracePart::World{io_, engine_, log_, config_.name, config_.seed,
                                                             config::json_line(config_.root)},
                                            settings_.trace));
        }
        front::admin::Fleet fleet;
        MembershipPart* peers = nullptr;
        ReplicaPart* replica = nullptr;
        if (settings_.peers.on()) {
            auto part =
                std::make_unique<MembershipPart>(io_, settings_.peers, config_.seed, clock_.unix_ms(), log_);
            peers = part.get();
            parts_.push_back(std::move(part));
            auto shared =
                std::make_unique<ReplicaPart>(ReplicaPart::World{io_, *peers, clock_, log_}, settings_.peers,
                                              kept_file(sources_, config_, "replica"), config_.seed);
            replica = shared.get();
            parts_.push_back(std::move(shared));
            const ReplicaPart::World of_reports{io_, *peers, clock_, log_};
            auto reports = std::make_unique<ReplicaPart>(of_reports, settings_.peers, ReplicaPart::Reports{},
                                                         config_.seed);
            if (settings_.peers.hearsay_ms > 0)
                parts_.push_back(std::make_unique<HearsayPart>(
                    HearsayPart::World{io_, engine_, *peers, *reports, clock_, log_}, settings_.peers,
                    config_.seed));
            fleet.members = [peers] {
                return peers->members();
            };
            fleet.replica = [replica] {
                return replica->status();
            };
            if (!settings_.peers.failover.zones.empty()) {
                auto failover = std::make_unique<FailoverPart>(
                    FailoverPart::World{io_, engine_, *peers, *replica, *reports, clock_, log_},
                    settings_.peers, config_.seed);
                fleet.failover = [part = failover.get()] {
                    return part->standings();
                };
                fleet.pin = [part = failover.get()](const std::string& zone, const std::string& how) {
                    return part->pin(zone, how);
                };
                parts_.push_back(std::move(failover));
            }
            parts_.push_back(std::move(reports));
        }
        if (!config_.control.empty()) {
            // Before the first list: what is out is out from the first request on.
            auto bans =
                std::make_unique<BansPart>(io_, engine_, kept_file(sources_, config_, "bans"), log_, replica);
            front::admin::Hands& hands = *bans;
            parts_.push_back(std::move(bans));
            parts_.push_back(std::make_unique<ControlPart>(
                ControlPart::World{io_, engine_, hands, lifecycle_, log_, [this] { upstream_.shed(32); },
                                   std::move(fleet)},
                config_.control, shares_.callers));
        }
        if (settings_.dns.on())
            parts_.push_back(std::make_unique<DnsPart>(
                DnsPart::World{io_, engine_, clock_, timers_, log_, config_.seed}, settings_));
    }

    // Takes clients from here on. Throws what makes a start impossible, for a moment or for good.
    void start() {
        for (const auto& part : parts_)
            part->start();
        for (const Json::Value& item : config_.known)
            take(item, core::Span::max());
        if (!config_.discovery.empty()) {
            discovery_.emplace(
                io_, endpoint_of(config_.discovery), config_.known_no,
                [this](std::int64_t, std::string_view data) {
                    const auto json = config::parse_json(data);
                    if (!json)
                        log_.line("bad-event", "%.*s", static_cast<int>(data.size()), data.data());
                    return json && take(*json, kNewsLate + discovery_->unheard_for());
                },
                log_, config_.seed);
            discovery_->when_sure([this](bool surely) { engine_.told_of_purges(surely); });
            discovery_->start();
        }
        server_.when_out_of_descriptors([this] { upstream_.shed(32); });
        server_.start();
        wait_for_signal();
        wait_for_hangup();
        wait_for_dump();
    }

    int run() {
        hold_signals(SIG_UNBLOCK);
        lifecycle_.enter(Lifecycle::Phase::ready);
        io_.run();
        print_counters();
        for (const auto& part : parts_)
            part->end();
        return 0;
    }

private:
    // During an upgrade the limits, and each budget of the module, are those of all its processes together.
    void share_with(std::size_t processes) {
        shares_ = members::shares_of(whole_of(config_, settings_), processes);
        engine_.share_with(processes, shares_.copies_bytes);
        upstream_.limit_sockets(shares_.servers);
        server_.limit_connections(shares_.clients);
    }
    // `oldest`: how long ago the news can have come about at most.
    bool take(const Json::Value& item, core::Span oldest) {
        auto event = config::parse_event(item);
        if (event)
            std::visit([&](auto& what) { engine_.apply(std::move(what), oldest); }, event->what);
        else
            log_.line("bad-event", "not one that is known");
        return event.has_value();
    }
    void wait_for_signal() {
        signals_.async_wait([this](const net::error_code& error, int signal) {
            if (error)
                return;
            if (signal == SIGUSR1)
                print_counters();
            else
                lifecycle_.enter(Lifecycle::Phase::draining);
            wait_for_signal();
        });
    }
    void wait_for_hangup() {
        hangup_.async_wait([this](const net::error_code& error, int) {
            if (error)
                return;
            reload();
            wait_for_hangup();
        });
    }
    void wait_for_dump() {
        dump_.async_wait([this](const net::error_code& error, int) {
            if (error)
                return;
            for (const auto& part : parts_)
                part->dump();
            wait_for_dump();
        });
    }
    // A file that is being written, or can't be read in this moment, may be good in the next: what discovery
    // has to tell binds some seconds after the signal, whatever became of that.
    void reload() {
        reloads_left_ = kReloads;
        try_reload();
    }
    void try_reload() {
        if (reload_once() || --reloads_left_ == 0)
            return;
        reload_again_.expires_after(kBetweenReloads);
        reload_again_.async_wait([this](const net::error_code& error) {
            if (!error)
                try_reload();
        });
    }
    // The new file replaces nothing before it has been read whole and found good. False: it was not.
    bool reload_once() {
        try {
            config::Config fresh = config::load_config(sources_.config);
            std::vector<std::string> problems;
            const auto settings = config::load_operator(sources_.settings, sources_.settings_named, problems);
            if (!problems.empty())
                throw config::ConfigError(problems.front());
            for (const char* section : config::changed_sections(settings_, settings))
                log_.line("reload", "%s has changed: not applied, takes a restart", section);
            for (const auto& name : config::need_restart(config_, fresh))
                log_.line("reload", "%s has changed: not applied, takes a restart", name.c_str());
            if (fresh.discovery == config_.discovery || !discovery_) {
                log_.line("reload", "read; the bulletin stays");
                return true;
            }
            discovery_->move_to(endpoint_of(fresh.discovery));
            config_.discovery = fresh.discovery;
            log_.line("reload", "the bulletin is now at %s", config_.discovery.c_str());
            return true;
        } catch (const std::exception& e) {
            log_.line("reload-failed", "%s; nothing was changed", e.what());
            return false;
        }
    }
    void entered(Lifecycle::Phase phase) {
        log_.line("phase", "%s, %zu open calls, %zu client connections",
                  std::string{Lifecycle::name(phase)}.c_str(), engine_.open(), server_.connections());
        if (phase == Lifecycle::Phase::draining) {
            last_answers_at_ = clock_.now() + kill_after(config_.settings) - kBeforeKilled;
            // Whoever comes from here on is the other process's: it listens at the same address.
            if (overlap_.processes() > 1)
                server_.retire();
            poll_.expires_after(kDrainFor);
            poll_.async_wait([this](const net::error_code& error) {
                if (!error)
                    lifecycle_.enter(Lifecycle::Phase::finishing);
            });
        } else if (phase == Lifecycle::Phase::finishing) {
            server_.stop();
            for (const auto& part : parts_)
                part->stop();
            finish();
        } else if (phase == Lifecycle::Phase::stopped) {
            io_.stop();
        }
    }
    // Ends once every call has its answer and every answer is written. Guards what is open when SIGKILL
    // comes: servers may hang for longer than that.
    void finish() {
        if (clock_.now() >= last_answers_at_)
            engine_.fail_all();
        if (engine_.open() == 0 && server_.done()) {
            lifecycle_.enter(Lifecycle::Phase::stopped);
            return;
        }
        poll_.expires_after(10ms);
        poll_.async_wait([this](const net::error_code& error) {
            if (!error)
                finish();
        });
    }
    void print_counters() {
        std::string text = engine_.counters().text() + part_counters();
        std::replace(text.begin(), text.end(), '\n', ' ');
        log_.line("counters", "%s", text.c_str());
    }

    std::string part_counters() {
        std::string out;
        for (const auto& part : parts_)
            out += part->counters();
        out += client_counters();
        if (discovery_) {
            const auto& c = discovery_->counters();
            out += figure_lines(
                "bulletin",
                {{"connects", c.connects}, {"unreadable", c.unreadable}, {"gaps", c.gaps}, {"slow", c.slow}});
        }
        return out;
    }

    std::string client_counters() {
        const auto& of = server_.counters();
        const auto& accepts = server_.accepts();
        std::string out = figure_lines("clients", {{"violations", of.violations()},
                                                   {"closed_unanswered", of.closed_unanswered},
                                                   {"second_answers", of.second_answers},
                                                   {"left_before_taken", of.left_before_taken},
                                                   {"full_of_early_bytes", of.full_of_early_bytes},
                                                   {"accepted", accepts.taken},
                                                   {"accept_aborted", accepts.aborted},
                                                   {"accept_pauses", accepts.pauses}});
        for (std::size_t i = 0; i < net::kCloseReasons; ++i) {
            const std::string name = "closed_" + std::string{net::name_of(static_cast<net::CloseReason>(i))};
            out += figure_lines("clients", {{name.c_str(), of.closed[i]}});
        }
        const auto longest = server_.loop().longest_pause() / 1ms;
        return out + figure_lines("loop", {{"pauses", server_.loop().pauses()},
                                           {"longest_pause_ms", static_cast<std::uint64_t>(longest)}});
    }

    const Sources sources_;
    config::Config config_;
    const config::OperatorSettings settings_;
    Log log_;
    net::asio::io_context io_{1};
    Overlap overlap_;
    members::Shares shares_;
    net::SystemClock clock_;
    net::TimerQueue timers_;
    net::Upstream upstream_;
    Lifecycle lifecycle_;
    core::Engine engine_;
    front::Platform platform_;
    net::HttpServer server_;
    std::vector<std::unique_ptr<Part>> parts_;
    net::asio::signal_set signals_;
    net::asio::signal_set dump_;
    net::asio::signal_set hangup_;
    net::asio::steady_timer poll_;
    net::asio::steady_timer reload_again_;
    int reloads_left_ = 0;
    core::Time last_answers_at_ = core::Time::max();
    std::optional<net::DiscoveryWatch> discovery_;
};

}  // namespace

Sources sources_of_environment() {
    Sources s;
    s.config = variable("EDGE_CONFIG");
    s.listen = variable("EDGE_LISTEN");
    s.control = variable("EDGE_CONTROL");
    s.folder = variable("TMPDIR");
    s.settings = variable("SILVERRAIL_SETTINGS");
    s.settings_named = !s.settings.empty();
    if (!s.settings_named)
        s.settings = "deploy/silverrail.json";
    return s;
}

namespace {

// Reads all settings and makes the program of them, ready to run; null where they are wrong, which is said.
std::unique_ptr<Program> make_program(const Sources& sources) {
    auto config = config::load_config(sources.config);
    if (!sources.listen.empty())
        config.listen = sources.listen;
    if (!sources.control.empty())
        config.control = sources.control;
    std::vector<std::string> problems;
    const auto settings = config::load_operator(sources.settings, sources.settings_named, problems);
    for (const std::string& problem : problems)
        Log{}.line("fatal", "%s", problem.c_str());
    if (!problems.empty())
        return nullptr;
    auto program = std::make_unique<Program>(sources, std::move(config), settings);
    program->start();
    return program;
}

// The system's error number behind an exception; 0: it is of another kind.
int system_error_of(const std::exception& error) {
    if (const auto* of_asio = dynamic_cast<const boost::system::system_error*>(&error))
        return of_asio->code().category() == boost::system::system_category() ? of_asio->code().value() : 0;
    const auto* of_library = dynamic_cast<const std::system_error*>(&error);
    return of_library ? of_library->code().value() : 0;
}

// Guards the start: descriptors, buffers or the address may be wanting for a moment.
std::unique_ptr<Program> make_program_in_time(const Sources& sources) {
    const auto until = std::chrono::steady_clock::now() + kStartTriedFor;
    while (true) {
        try {
            return make_program(sources);
        } catch (const std::exception& error) {
            const bool momentary = store::is_momentary(system_error_of(error));
            if (!momentary || std::chrono::steady_clock::now() > until)
                throw;
            Log{}.line("start-again", "%s", error.what());
        }
        std::this_thread::sleep_for(kBetweenStarts);
    }
}

}  // namespace

int serve(const Sources& sources) {
    try {
        std::signal(SIGPIPE, SIG_IGN);
        hold_signals(SIG_BLOCK);
        const auto program = make_program_in_time(sources);
        return program ? program->run() : 1;
    } catch (const std::exception& e) {
        Log{}.line("fatal", "%s", e.what());
        return 1;
    }
}

int check(const Sources& sources) {
    std::vector<std::string> problems;
    if (!sources.config.empty())
        try {
            const auto config = config::load_config(sources.config);
            (void)endpoint_of(config.listen);
            const auto& control = sources.control.empty() ? config.control : sources.control;
            if (!control.empty())
                (void)control_endpoint(control);
        } catch (const std::exception& e) {
            problems.push_back(sources.config + ": " + e.what());
        }
    (void)config::load_operator(sources.settings, sources.settings_named, problems);
    for (const std::string& problem : problems)
        std::printf("%s\n", problem.c_str());
    if (problems.empty())
        std::puts("all settings are good");
    return problems.empty() ? 0 : 2;
}

}  // namespace silverrail::app
