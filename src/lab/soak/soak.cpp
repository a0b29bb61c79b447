#include "lab/soak/soak.h"

#include <algorithm>
#include <cstdio>
#include <set>

#include "lab/soak/async.h"
#include "lab/soak/clients.h"
#include "lab/soak/crowd.h"
#include "lab/soak/discovery.h"
#include "lab/soak/fault_player.h"
#include "lab/soak/router_lifecycle.h"
#include "lab/soak/server_faults.h"
#include "lab/soak/servers.h"

namespace silverrail::lab::soak {

namespace {

constexpr Millis kPollInterval{20};
constexpr Millis kLagProbeInterval{2};
// A run that has not ended by its length, the start and this is broken off.
constexpr Millis kEndTimeout{30'000};

class Soak {
public:
    explicit Soak(const SoakOptions& options)
        : options_(options),
          plan_(draw_plan(options.plan)),
          oracle_(options.plan.routers, options.plan.servers),
          servers_(io_, oracle_, options.plan.servers, options.plan.routers, options.plan.seed + 1),
          discovery_(io_, oracle_, servers_, options.plan.routers),
          processes_(options.programs, options.folder, options.plan.routers, options.plan.seed,
                     options.longest_deadline),
          clients_(io_, oracle_, options.plan.routers, options.clients_per_router, options.plan.seed + 2),
          crowd_(io_, clients_, options.crowd_per_router),
          lifecycle_(
              io_, oracle_, discovery_, processes_, clients_,
              {.longest_deadline = options.longest_deadline, .use_until_kill = options.use_until_kill}),
          server_faults_(oracle_, servers_, discovery_),
          fault_player_(lifecycle_, processes_, server_faults_, discovery_, clients_) {}

    SoakResult run() {
        spawn(io_, measure_lag());
        spawn(io_, play());
        io_.run_for(options_.plan.length + kStartTimeout + kEndTimeout);
        if (!finished_)
            oracle_.violation(Rule::alive, "the run did not come to its end");
        for (std::size_t router = 0; router < processes_.count(); ++router) {
            processes_.kill(router);
            if (const auto logged = processes_.logged_violations(router))
                oracle_.violation(Rule::own_guard,
                                  "router " + std::to_string(router) + ": " + std::to_string(logged));
        }
        return {oracle_.violations(), oracle_.requests(), oracle_.outcomes(), began_, worst_lag_};
    }

private:
    Task<> play() {
        co_await lifecycle_.start_all();
        clients_.habits.longest_wait = options_.longest_deadline;
        clients_.start();
        crowd_.start(options_.plan.routers);
        if (options_.judge_memory)
            spawn(io_, judge_memory());
        spawn(io_, lifecycle_.watch_for_crashes());
        began_ = Clock::now();
        co_await play_schedule();
        clients_.stop();
        while (!clients_.done())
            co_await pause(kPollInterval);
        co_await lifecycle_.terminate_all();
        finished_ = true;
        io_.stop();
    }

    Task<> play_schedule() {
        for (const PlannedFault& fault : plan_) {
            co_await pause(began_ + fault.at - Clock::now());
            if (options_.print_faults)
                std::printf("%s\n", fault.text().c_str());
            spawn(io_, fault_player_.play(fault));
        }
        co_await pause(began_ + options_.plan.length - Clock::now());
    }

    // Each router once.
    Task<> judge_memory() {
        std::set<std::size_t> over;
        while (true) {
            for (std::size_t router = 0; router < processes_.count(); ++router) {
                const std::size_t resident = processes_.resident_kb(router);
                if (resident < RouterProcesses::kMemoryMb * 1024 * 9 / 10 || !over.insert(router).second)
                    continue;
                oracle_.violation(Rule::alive, "router " + std::to_string(router) + " holds " +
                                                   std::to_string(resident) + " KB");
            }
            co_await pause(kPollInterval);
        }
    }

    // The clients and servers run on this thread: when it is late, the times that they take are too.
    Task<> measure_lag() {
        while (true) {
            const Moment due = Clock::now() + kLagProbeInterval;
            co_await pause(kLagProbeInterval);
            const auto lag = std::chrono::duration_cast<Millis>(Clock::now() - due);
            worst_lag_ = std::max(worst_lag_, lag);
            oracle_.late_by(lag);
        }
    }

    const SoakOptions options_;
    const std::vector<PlannedFault> plan_;
    asio::io_context io_{1};
    Oracle oracle_;
    Servers servers_;
    Discovery discovery_;
    RouterProcesses processes_;
    Clients clients_;
    Crowd crowd_;
    RouterLifecycle lifecycle_;
    ServerFaults server_faults_;
    FaultPlayer fault_player_;
    Moment began_{};
    Millis worst_lag_{};
    bool finished_ = false;
};

}  // namespace

SoakResult run_soak(const SoakOptions& options) {
    return Soak{options}.run();
}

}  // namespace silverrail::lab::soak
