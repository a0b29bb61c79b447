#include "lab/synthetic_trace/synthetic_trace.h"

#include <memory>
#include <utility>

#include "lab/synthetic_trace/discovery_model.h"
#include "lab/synthetic_trace/router_simulation.h"

namespace silverrail::lab {

using namespace std::chrono_literals;
using Duration = EventScheduler::Duration;

namespace {

constexpr auto kMinSteadyOrigin = 1000s;
constexpr auto kSteadyOriginJitter = 1000s;
constexpr auto kRestartDelay = 3s;
constexpr std::uint64_t kStepsBetweenProgress = 65'536;

class Generator {
public:
    Generator(const SyntheticTracePlan& plan, const OpenTraceOutput& open_output)
        : plan_(plan),
          open_output_(open_output),
          duration_(from_seconds(plan.duration_s)),
          random_(plan.seed),
          discovery_(scheduler_, servers_, random_, plan) {}

    void run(const GenerationProgress& progress) {
        draw_clock_errors();
        for (std::size_t router = 0; router < clock_errors_.size(); ++router)
            start_process(router, 1);
        if (plan_.restart)
            schedule_restart();
        discovery_.start();
        for (std::uint64_t steps = 0; scheduler_.run_next(duration_); ++steps)
            if (progress && steps % kStepsBetweenProgress == 0)
                progress(static_cast<double>(scheduler_.now().count()) /
                         static_cast<double>(duration_.count()));
    }
    std::vector<SyntheticTrace> close() {
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            processes_[i]->close();
            traces_[i].requests = processes_[i]->requests();
        }
        return std::move(traces_);
    }

private:
    void draw_clock_errors() {
        for (int router = 0; router < plan_.routers; ++router) {
            ClockError error;
            error.offset_ms = random_.symmetric() * plan_.max_skew_ms;
            error.drift_ppm = random_.symmetric() * plan_.max_drift_ppm;
            clock_errors_.push_back(error);
        }
    }
    void schedule_restart() {
        constexpr std::size_t kRestarted = 1;
        const Duration killed_at = duration_ / 2;
        scheduler_.schedule_at(killed_at, [this] { processes_[kRestarted]->kill(); });
        scheduler_.schedule_at(killed_at + kRestartDelay, [this] { start_process(kRestarted, 2); });
    }
    void start_process(std::size_t router, int incarnation) {
        SyntheticTrace trace;
        trace.router_name = std::string{"n"}.append(std::to_string(router));
        trace.clock_error = clock_errors_[router];
        TraceOutput output = open_output_({trace.router_name, incarnation});
        trace.file = std::move(output.file);
        const Duration steady_origin = kMinSteadyOrigin + random_.below(kSteadyOriginJitter);
        const SimulatedClock clock{scheduler_, plan_.begin_unix_ns, steady_origin, trace.clock_error};
        const RouterSimulation::Environment environment{scheduler_, servers_, plan_, log_};
        const RouterSimulation::Identity identity{trace.router_name, random_.next()};
        processes_.push_back(std::make_unique<RouterSimulation>(environment, identity, clock, output.sink));
        discovery_.add_listener(*processes_.back());
        trace.incarnation_unix_ns = processes_.back()->incarnation_unix_ns();
        traces_.push_back(std::move(trace));
    }

    const SyntheticTracePlan& plan_;
    const OpenTraceOutput& open_output_;
    const Duration duration_;
    EventScheduler scheduler_;
    SimulatedServers servers_;
    SeededRandom random_;
    DiscoveryModel discovery_;
    Log log_{0};  // nothing of a simulation is logged
    std::vector<ClockError> clock_errors_;
    std::vector<std::unique_ptr<RouterSimulation>> processes_;  // in the order of their starts
    std::vector<SyntheticTrace> traces_;                        // of `processes_`
};

}  // namespace

std::vector<SyntheticTrace> generate_synthetic_traces(const SyntheticTracePlan& plan,
                                                      const OpenTraceOutput& open_output,
                                                      const GenerationProgress& progress) {
    validate(plan);
    Generator generator{plan, open_output};
    generator.run(progress);
    return generator.close();
}

}  // namespace silverrail::lab
