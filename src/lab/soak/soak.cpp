#include "lab/soak/soak.h"

#include <signal.h>
#include <sys/wait.h>

#include <cstdio>

namespace silverrail::lab::soak {

namespace {

constexpr Millis kNewConnections{300};  // after SIGTERM
constexpr Millis kOpenConnections{500};
constexpr Millis kKilledAfter = terms::kLongestDeadline + 750ms;
constexpr Millis kReadyWithin{10'000};
constexpr Millis kFirstReady{30'000};
constexpr Millis kNoticed{200};  // the front sees that a process is gone
constexpr Millis kLagLook{2};

class Soak {
public:
    explicit Soak(const SoakOptions& options)
        : options_(options),
          plan_(draw_plan(options.plan)),
          oracle_(options.plan.routers, options.plan.servers),
          servers_(io_, oracle_, options.plan.servers, options.plan.routers, options.plan.seed + 1),
          discovery_(io_, oracle_, servers_, options.plan.routers),
          routers_(options.programs, options.folder, options.plan.routers, options.plan.seed),
          clients_(io_, oracle_, options.plan.routers, options.clients_each, options.plan.seed + 2),
          busy_(options.plan.routers),
          stops_(options.plan.routers) {}

    SoakResult run() {
        spawn(io_, watch_lag());
        spawn(io_, play());
        // The last bound on a run that does not come to its end.
        io_.run_for(options_.plan.length + kFirstReady + 30s);
        if (!over_)
            oracle_.violation(Rule::alive, "the run did not come to its end");
        for (std::size_t i = 0; i < routers_.count(); ++i) {
            routers_.kill(i);
            if (const auto counted = routers_.own_violations(i))
                oracle_.violation(Rule::own_guard,
                                  "router " + std::to_string(i) + ": " + std::to_string(counted));
        }
        return {oracle_.violations(), oracle_.requests(), oracle_.outcomes(), began_, worst_lag_};
    }

private:
    Task<> play() {
        for (std::size_t i = 0; i < routers_.count(); ++i) {
            standing(i).at = free_endpoint(i);
            spawn(io_, begin(i, kFirstReady));
        }
        while (!std::all_of(ready_.begin(), ready_.end(), [](char r) { return r != 0; }) ||
               ready_.size() < routers_.count())
            co_await pause(20ms);
        clients_.start();
        spawn(io_, watch_processes());
        began_ = Clock::now();
        for (const Trouble& trouble : plan_) {
            co_await pause(began_ + trouble.at - Clock::now());
            if (options_.tell_troubles)
                std::printf("%s\n", trouble.text().c_str());
            spawn(io_, play(trouble));
        }
        co_await pause(began_ + options_.plan.length - Clock::now());
        clients_.stop();
        while (!clients_.done())
            co_await pause(20ms);
        co_await end_all();
        over_ = true;
        io_.stop();
    }

    // A port of this router's own, let go right before it is taken.
    tcp::endpoint free_endpoint(std::size_t router) {
        const auto address = asio::ip::make_address("127.0." + std::to_string(20 + router / 200) + "." +
                                                    std::to_string(1 + router % 200));
        return tcp::acceptor{io_, {address, 0}}.local_endpoint();
    }

    Standing& standing(std::size_t router) {
        return clients_.standing(router);
    }

    void configure(std::size_t router) {
        routers_.configure(router, {text_of(standing(router).at), discovery_.address(router)},
                           discovery_.known(router));
    }

    Task<> begin(std::size_t router, Millis within) {
        ready_.resize(routers_.count());
        configure(router);
        discovery_.known_told(router);  // it can know that from here on
        routers_.start(router);
        const Moment started = Clock::now();
        const auto generation = routers_.generation(router);
        bool ready = false;
        while (!ready && routers_.running(router) && routers_.generation(router) == generation) {
            if (Clock::now() > started + within + stopped_for(router)) {
                oracle_.violation(Rule::alive, "router " + std::to_string(router) + " was not ready in time");
                break;
            }
            ready = co_await answers_alive(router);
            if (!ready)
                co_await pause(20ms);
        }
        if (!ready || routers_.generation(router) != generation)
            co_return;
        ready_[router] = true;
        standing(router).generation = generation;
        standing(router).connections = standing(router).requests = true;
    }

    Task<bool> answers_alive(std::size_t router) {
        tcp::socket socket{io_};
        const CloseAt limit{socket, Clock::now() + 1s};
        error_code error;
        co_await socket.async_connect(standing(router).at, into(error));
        http::request<http::empty_body> request{http::verb::get, "/alive", 11};
        if (!error)
            co_await http::async_write(socket, request, into(error));
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        if (!error)
            co_await http::async_read(socket, buffer, response, into(error));
        co_return !error && response.result() == http::status::ok;
    }

    // One that ends without having been told to has crashed.
    Task<> watch_processes() {
        while (!over_) {
            for (std::size_t i = 0; i < routers_.count(); ++i) {
                if (busy_[i])
                    continue;
                const auto status = routers_.ended(i);
                if (!status)
                    continue;
                oracle_.violation(Rule::alive, "router " + std::to_string(i) + " ended by itself, status " +
                                                   std::to_string(*status));
                standing(i).connections = standing(i).requests = false;
                spawn(io_, begin(i, kReadyWithin));
            }
            co_await pause(20ms);
        }
    }

    Task<> watch_lag() {
        while (true) {
            const Moment due = Clock::now() + kLagLook;
            co_await pause(kLagLook);
            const auto lag = std::chrono::duration_cast<Millis>(Clock::now() - due);
            worst_lag_ = std::max(worst_lag_, lag);
            oracle_.late_by(lag);
        }
    }

    Task<> play(Trouble trouble) {
        switch (trouble.kind) {
            case TroubleKind::router_restart:
                return restart(trouble);
            case TroubleKind::router_kill:
                return kill(trouble);
            case TroubleKind::router_stop:
                return stop(trouble);
            case TroubleKind::router_reload:
                return reload(trouble);
            case TroubleKind::router_move:
                return move(trouble);
            case TroubleKind::call_failures:
                return fail_calls(trouble);
            case TroubleKind::clock_step:
                return step_clock(trouble);
            case TroubleKind::server_hang:
            case TroubleKind::server_reset:
            case TroubleKind::server_error:
            case TroubleKind::server_slow:
            case TroubleKind::server_spoil:
            case TroubleKind::server_close_idle:
                return misbehave(trouble);
            case TroubleKind::server_refuse:
                return refuse(trouble);
            case TroubleKind::server_drain:
                return drain(trouble);
            case TroubleKind::server_restart:
                return restart_server(trouble);
            case TroubleKind::discovery_down:
            case TroubleKind::discovery_silent:
            case TroubleKind::discovery_slow:
                return trouble_discovery(trouble);
            case TroubleKind::purge_group:
                return purge(trouble);
            case TroubleKind::clients_leave:
            case TroubleKind::clients_pipeline:
            case TroubleKind::clients_in_pieces:
            case TroubleKind::clients_unreadable:
                return change_habits(trouble);
            case TroubleKind::count_:
                break;
        }
        return pause({});
    }

    Task<> restart(Trouble t) {
        if (std::exchange(busy_[t.target], 1) != 0)
            co_return;
        co_await end(t.target, t.detail);
        co_await begin(t.target, kReadyWithin);
        busy_[t.target] = false;
    }

    // A planned end, as the platform does it.
    Task<> end(std::size_t router, std::uint32_t detail) {
        const auto generation = routers_.generation(router);
        const Moment told = Clock::now();
        routers_.signal(router, SIGTERM);
        if (detail % 3 == 1)
            routers_.signal(router, SIGHUP);
        co_await pause(kNewConnections);
        if (detail % 3 == 2)
            routers_.signal(router, SIGTERM);
        standing(router).connections = false;
        co_await pause(kOpenConnections - kNewConnections);
        standing(router).requests = false;
        std::optional<int> status;
        while (!status && Clock::now() < told + kKilledAfter + stopped_for(router)) {
            status = routers_.ended(router);
            if (!status)
                co_await pause(10ms);
        }
        if (!status) {
            standing(router).killed = generation;
            routers_.kill(router);
        } else if (!WIFEXITED(*status) || WEXITSTATUS(*status) != 0) {
            oracle_.violation(Rule::alive, "router " + std::to_string(router) + " ended with status " +
                                               std::to_string(*status) + " after SIGTERM");
        }
    }

    Task<> kill(Trouble t) {
        if (std::exchange(busy_[t.target], 1) != 0)
            co_return;
        standing(t.target).killed = routers_.generation(t.target);
        routers_.kill(t.target);
        co_await pause(kNoticed);
        standing(t.target).connections = standing(t.target).requests = false;
        co_await begin(t.target, kReadyWithin);
        busy_[t.target] = false;
    }

    Task<> stop(Trouble t) {
        if (stops_[t.target].since)
            co_return;
        stops_[t.target].since = Clock::now();
        discovery_.set_stopped(t.target, true);
        routers_.signal(t.target, SIGSTOP);
        co_await pause(t.length);
        routers_.signal(t.target, SIGCONT);
        discovery_.set_stopped(t.target, false);
        stops_[t.target].sum += Clock::now() - *std::exchange(stops_[t.target].since, std::nullopt);
    }

    Clock::duration stopped_for(std::size_t router) const {
        return stops_[router].sum;
    }

    Task<> reload(Trouble t) {
        if (t.detail % 2 == 1) {
            routers_.write_half_a_configuration(t.target);
            routers_.signal(t.target, SIGHUP);
            co_await pause(100ms);
        }
        configure(t.target);
        routers_.signal(t.target, SIGHUP);
    }

    Task<> move(Trouble t) {
        discovery_.move(t.target);
        configure(t.target);
        routers_.signal(t.target, SIGHUP);
        co_return;
    }

    Task<> fail_calls(Trouble t) {
        const auto fault = static_cast<CallFault>(t.detail);
        const bool breaks = fault == CallFault::read_timed_out || fault == CallFault::read_unreachable;
        if (breaks)
            standing(t.target).breaks = true;
        routers_.faults(t.target).set_chance(fault, t.level);
        co_await pause(t.length);
        routers_.faults(t.target).set_chance(fault, 0);
        if (!breaks)
            co_return;
        co_await pause(1s);
        standing(t.target).breaks = false;
    }

    Task<> step_clock(Trouble t) {
        const auto by = static_cast<std::int64_t>(t.level);
        routers_.faults(t.target).step_wall_clock(t.detail % 2 == 1 ? -by : by);
        co_await pause(t.length);
        routers_.faults(t.target).step_wall_clock(0);
    }

    Task<> misbehave(Trouble t) {
        Misbehaviour& how = servers_.misbehaviour(t.target);
        switch (t.kind) {
            case TroubleKind::server_hang:
                how.hang = 60;
                break;
            case TroubleKind::server_reset:
                how.reset = 30;
                break;
            case TroubleKind::server_error:
                how.error = 40;
                break;
            case TroubleKind::server_spoil:
                how.spoil = 25;
                break;
            case TroubleKind::server_close_idle:
                how.close_idle = 80;
                break;
            default:
                how.slow = Millis{t.level};
                break;
        }
        co_await pause(t.length);
        servers_.misbehaviour(t.target) = {};
    }

    Task<> refuse(Trouble t) {
        if (!server_may_go(t.target))
            co_return;
        servers_.set_up(t.target, false);
        co_await pause(t.length);
        servers_.set_up(t.target, true);
        gone_.erase(t.target);
    }

    Task<> drain(Trouble t) {
        if (!server_may_go(t.target))
            co_return;
        discovery_.list(t.target, Discovery::ServerState::leaving);
        co_await pause(t.length + 1s);
        discovery_.list(t.target, Discovery::ServerState::left);
        co_await pause(1s);
        servers_.set_up(t.target, false);
        co_await pause(200ms);
        bring_up_cold(t.target);
    }

    Task<> restart_server(Trouble t) {
        if (!server_may_go(t.target))
            co_return;
        servers_.set_up(t.target, false);
        co_await pause(Millis{200 + t.detail % 300});
        bring_up_cold(t.target);
    }

    void bring_up_cold(std::size_t server) {
        servers_.set_up(server, true);
        if (servers_.is_cache_server(server))
            oracle_.server_started(server);
        discovery_.restarted(server);
        gone_.erase(server);
    }

    // At most a third of the caches, one hub and never the store are away at once.
    bool server_may_go(std::size_t server) {
        if (gone_.contains(server) || server + 1 == servers_.count())
            return false;
        std::size_t alike = 0;
        for (const std::size_t other : gone_)
            alike += servers_.is_cache_server(other) == servers_.is_cache_server(server);
        if (alike >= (servers_.is_cache_server(server) ? (servers_.count() - Servers::kHubs) / 3 : 1))
            return false;
        gone_.insert(server);
        return true;
    }

    Task<> trouble_discovery(Trouble t) {
        std::vector<std::size_t> targets{t.target};
        if (t.detail % 2 == 1)
            for (std::size_t i = 0; i < routers_.count(); ++i)
                targets.push_back(i);
        const auto set = [&](bool on) {
            for (const std::size_t router : targets) {
                if (t.kind == TroubleKind::discovery_down)
                    discovery_.set_down(router, on);
                if (t.kind == TroubleKind::discovery_silent)
                    discovery_.set_silent(router, on);
                if (t.kind == TroubleKind::discovery_slow)
                    discovery_.set_slow(router, on ? t.length : 0ms);
            }
        };
        set(true);
        co_await pause(t.length);
        set(false);
    }

    Task<> purge(Trouble t) {
        discovery_.purge(t.detail % Clients::kLots);
        co_return;
    }

    Task<> change_habits(Trouble t) {
        ClientHabits& habits = clients_.habits;
        if (t.kind == TroubleKind::clients_leave)
            habits.leave = static_cast<int>(t.level);
        if (t.kind == TroubleKind::clients_pipeline)
            habits.pipeline = 30;
        if (t.kind == TroubleKind::clients_in_pieces)
            habits.in_pieces = 40;
        if (t.kind == TroubleKind::clients_unreadable)
            habits.unreadable = 30;
        co_await pause(t.length);
        const ClientHabits usual;
        if (t.kind == TroubleKind::clients_leave)
            habits.leave = usual.leave;
        if (t.kind == TroubleKind::clients_pipeline)
            habits.pipeline = usual.pipeline;
        if (t.kind == TroubleKind::clients_in_pieces)
            habits.in_pieces = usual.in_pieces;
        if (t.kind == TroubleKind::clients_unreadable)
            habits.unreadable = usual.unreadable;
    }

    // All at once, so that each prints what it has counted.
    Task<> end_all() {
        std::size_t left = routers_.count();
        for (std::size_t i = 0; i < routers_.count(); ++i)
            asio::co_spawn(io_, end_unless_busy(i), [&left](const std::exception_ptr&) { --left; });
        while (left > 0)
            co_await pause(20ms);
    }
    Task<> end_unless_busy(std::size_t router) {
        while (std::exchange(busy_[router], 1) != 0)
            co_await pause(20ms);
        if (routers_.running(router))
            co_await end(router, 0);
    }

    struct Stops {
        std::optional<Moment> since{};
        Clock::duration sum{};
    };
    const SoakOptions options_;
    const std::vector<Trouble> plan_;
    asio::io_context io_{1};
    Oracle oracle_;
    Servers servers_;
    Discovery discovery_;
    Routers routers_;
    Clients clients_;
    std::vector<char> ready_;
    std::vector<char> busy_;  // being ended and begun anew
    std::vector<Stops> stops_;
    std::set<std::size_t> gone_;  // servers
    Moment began_{};
    Millis worst_lag_{};
    bool over_ = false;
};

}  // namespace

SoakResult run_soak(const SoakOptions& options) {
    return Soak{options}.run();
}

}  // namespace silverrail::lab::soak
