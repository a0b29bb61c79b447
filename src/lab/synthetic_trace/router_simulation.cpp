#include "lab/synthetic_trace/router_simulation.h"

#include <memory>
#include <utility>

#include "config/config.h"
#include "lab/sample_deployment.h"

namespace silverrail::lab {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxOpenRequests = 1024;
constexpr auto kClockSampleInterval = 1s;
constexpr auto kMinPurgeDelay = 99ms;
constexpr auto kPurgeJitter = 220ms;
constexpr auto kMinServerChangeDelay = 200ms;
constexpr auto kServerChangeJitter = 1500ms;
constexpr double kClientClosesShare = 0.004;  // of open requests
constexpr auto kMaxClientPatience = 300ms;    // of clients that close early
constexpr std::uint64_t kRequestSeedSalt = 0xc0ffee;

class DiscardedReply : public core::ResponseSink {
public:
    void reply(core::ClientResponse) override {}
};

}  // namespace

RouterSimulation::RouterSimulation(const Environment& environment, const Identity& identity,
                                   const SimulatedClock& clock, trace::ByteSink& sink)
    : scheduler_(environment.scheduler),
      servers_(environment.servers),
      requests_per_s_(environment.plan.requests_per_s),
      clock_(clock),
      timers_(scheduler_, clock_),
      sender_(scheduler_, clock_, servers_, identity.seed),
      config_(
          router_config(identity.router_name, identity.seed, "127.0.0.1:4100", "", environment.plan.routers)),
      writer_(sink, 0, clock_.unix_ns()),
      observer_(*this),
      engine_(config::parse_config(config_).settings, identity.seed, kMaxOpenRequests, clock_, timers_,
              sender_, environment.log),
      random_(identity.seed ^ kRequestSeedSalt),
      request_model_(random_),
      incarnation_unix_ns_(clock_.unix_ns()) {
    record_start(identity);
    engine_.set_observer(&observer_);
    apply_server_list();
    schedule_clock_sample();
    schedule_request();
}

void RouterSimulation::record_start(const Identity& identity) {
    const std::string settings = config::json_line(config_);
    trace::model::RouterStarted start;
    start.router_name = identity.router_name;
    start.incarnation_unix_ns = incarnation_unix_ns_;
    start.seed = identity.seed;
    start.program = "synthetic";
    start.settings = settings;
    start.offset = clock_offset_ns();
    writer_.add({clock_.steady_ns(), 0, start});
}

void RouterSimulation::apply_server_list() {
    core::ServerChange list;
    list.complete = true;
    for (const SimulatedServer& server : servers_.all()) {
        const auto condition = server.down ? routing::Condition::gone : routing::Condition::ready;
        list.servers.push_back(registry_server(server.listing, condition));
    }
    engine_.apply(std::move(list));
}

void RouterSimulation::kill() {
    killed_ = true;
    engine_.set_observer(nullptr);
}

void RouterSimulation::close() {
    kill();
    writer_.close();
}

void RouterSimulation::on_purge(const core::PurgeNotice& purge) {
    scheduler_.schedule_after(kMinPurgeDelay + random_.below(kPurgeJitter), [this, purge] {
        if (!killed_)
            engine_.apply(purge);
    });
}

void RouterSimulation::on_server_change(const core::ServerChange& change) {
    scheduler_.schedule_after(kMinServerChangeDelay + random_.below(kServerChangeJitter), [this, change] {
        if (!killed_)
            engine_.apply(change);
    });
}

void RouterSimulation::add(const trace::model::Record& record) {
    writer_.add(record);
}

std::int64_t RouterSimulation::clock_offset_ns() const {
    return clock_.unix_ns() - clock_.steady_ns();
}

void RouterSimulation::schedule_clock_sample() {
    scheduler_.schedule_after(kClockSampleInterval, [this] {
        if (killed_)
            return;
        writer_.add({clock_.steady_ns(), 0, trace::model::ClockSample{clock_offset_ns(), 0}});
        schedule_clock_sample();
    });
}

void RouterSimulation::schedule_request() {
    scheduler_.schedule_after(exponential_delay(random_.uniform(), requests_per_s_), [this] {
        if (killed_)
            return;
        submit_request();
        schedule_request();
    });
}

void RouterSimulation::submit_request() {
    ++requests_;
    const auto id = engine_.submit(request_model_.next(clock_.now()), std::make_shared<DiscardedReply>());
    if (!id || random_.uniform() >= kClientClosesShare)
        return;
    scheduler_.schedule_after(random_.below(kMaxClientPatience), [this, id = *id] {
        if (!killed_)
            engine_.client_closed(id);
    });
}

}  // namespace silverrail::lab
