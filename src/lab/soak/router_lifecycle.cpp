#include "lab/soak/router_lifecycle.h"

#include <sys/wait.h>

#include <algorithm>
#include <csignal>

#include "lab/stand_in_support.h"

namespace silverrail::lab::soak {

namespace {

// After SIGTERM the platform sends no new connections from here on, and then no requests on open ones.
constexpr Millis kNewConnectionsUntil{300};
constexpr Millis kOpenConnectionsUntil{500};
// After SIGTERM a router may be killed once the longest deadline, of which at most this much counts, and a
// margin have passed. Usually it is killed a little later.
constexpr Millis kMaxCountedDeadline{3'000};
constexpr Millis kKillMargin{700};
constexpr Millis kUsualDelay{50};
constexpr Millis kCrashNoticedAfter{200};  // the platform sees that a process is gone
constexpr Millis kHalfWrittenFor{100};
constexpr Millis kPollInterval{20};
constexpr Millis kExitPollInterval{10};
constexpr Millis kAnswerTimeout{1'000};

}  // namespace

RouterLifecycle::RouterLifecycle(asio::io_context& io, Oracle& oracle, Discovery& discovery,
                                 RouterProcesses& processes, Clients& clients,
                                 const TerminationOptions& termination)
    : io_(io),
      oracle_(oracle),
      discovery_(discovery),
      processes_(processes),
      clients_(clients),
      termination_(termination),
      routers_(processes.count()) {}

std::string RouterLifecycle::label(std::size_t router) const {
    return "router " + std::to_string(router);
}

bool RouterLifecycle::all_ready() const {
    return std::all_of(routers_.begin(), routers_.end(), [](const Router& router) { return router.ready; });
}

// A port of this router's own address, released right before it is bound.
tcp::endpoint RouterLifecycle::free_endpoint(std::size_t router) {
    const auto address = own_loopback_address(20 + router / 200, 1 + router % 200);
    return tcp::acceptor{io_, {address, 0}}.local_endpoint();
}

void RouterLifecycle::write_configuration(std::size_t router) {
    processes_.write_configuration(router,
                                   {address_text(availability(router).at), discovery_.address(router)},
                                   discovery_.known_events(router));
}

Task<> RouterLifecycle::start_all() {
    for (std::size_t router = 0; router < processes_.count(); ++router) {
        availability(router).at = free_endpoint(router);
        spawn(io_, start(router, kStartTimeout));
    }
    while (!all_ready())
        co_await pause(kPollInterval);
}

Task<> RouterLifecycle::start(std::size_t router, Millis timeout) {
    write_configuration(router);
    discovery_.on_configuration_read(router);  // from here on the router can act on it
    processes_.start(router);
    const auto generation = processes_.generation(router);
    const bool ready = co_await wait_until_ready(router, timeout);
    if (!ready || processes_.generation(router) != generation)
        co_return;
    routers_[router].ready = true;
    availability(router).terminated_at.reset();
    availability(router).generation = generation;
    availability(router).connections = true;
    availability(router).requests = true;
}

// False if this process ends before, or is too late; time for which it was stopped does not count.
Task<bool> RouterLifecycle::wait_until_ready(std::size_t router, Millis timeout) {
    const Moment started = Clock::now();
    const auto generation = processes_.generation(router);
    while (processes_.running(router) && processes_.generation(router) == generation) {
        if (Clock::now() > started + timeout + routers_[router].stopped_for) {
            oracle_.violation(Rule::alive, label(router) + " was not ready in time");
            co_return false;
        }
        if (co_await answers(router))
            co_return true;
        co_await pause(kPollInterval);
    }
    co_return false;
}

Task<bool> RouterLifecycle::answers(std::size_t router) {
    tcp::socket socket{io_};
    const CloseAt limit{socket, Clock::now() + kAnswerTimeout};
    error_code error;
    co_await socket.async_connect(availability(router).at, into(error));
    http::request<http::empty_body> request{http::verb::get, "/alive", kHttpVersion};
    if (!error)
        co_await http::async_write(socket, request, into(error));
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!error)
        co_await http::async_read(socket, buffer, response, into(error));
    co_return !error && response.result() == http::status::ok;
}

Task<> RouterLifecycle::watch_for_crashes() {
    while (!terminated_) {
        for (std::size_t router = 0; router < processes_.count(); ++router) {
            if (routers_[router].restarting)
                continue;
            const auto status = processes_.exit_status(router);
            if (!status)
                continue;
            oracle_.violation(Rule::alive,
                              label(router) + " ended by itself, status " + std::to_string(*status));
            availability(router).connections = false;
            availability(router).requests = false;
            spawn(io_, start(router, kRestartTimeout));
        }
        co_await pause(kPollInterval);
    }
}

Task<> RouterLifecycle::restart(std::size_t router, TerminationSignals signals) {
    if (routers_[router].restarting)
        co_return;
    routers_[router].restarting = true;
    co_await terminate(router, signals);
    co_await start(router, kRestartTimeout);
    routers_[router].restarting = false;
}

// A planned end, as the platform does it.
Task<> RouterLifecycle::terminate(std::size_t router, TerminationSignals signals) {
    const auto generation = processes_.generation(router);
    const Moment signalled_at = Clock::now();
    availability(router).terminated_at = signalled_at;
    processes_.signal(router, SIGTERM);
    if (signals == TerminationSignals::term_and_hangup)
        processes_.signal(router, SIGHUP);
    co_await pause(kNewConnectionsUntil);
    if (signals == TerminationSignals::term_twice)
        processes_.signal(router, SIGTERM);
    availability(router).connections = false;
    co_await pause(kOpenConnectionsUntil - kNewConnectionsUntil);
    if (!termination_.use_until_kill)
        availability(router).requests = false;
    const std::optional<int> status = co_await wait_for_exit(router, signalled_at);
    availability(router).requests = false;
    if (!status) {
        availability(router).killed = generation;
        processes_.kill(router);
    } else if (!WIFEXITED(*status) || WEXITSTATUS(*status) != 0) {
        oracle_.violation(Rule::alive,
                          label(router) + " ended with status " + std::to_string(*status) + " after SIGTERM");
    }
}

Millis RouterLifecycle::termination_timeout() const {
    const Millis earliest = std::min(termination_.longest_deadline, kMaxCountedDeadline) + kKillMargin;
    return termination_.use_until_kill ? earliest : earliest + kUsualDelay;
}

Task<std::optional<int>> RouterLifecycle::wait_for_exit(std::size_t router, Moment signalled_at) {
    while (Clock::now() < signalled_at + termination_timeout() + routers_[router].stopped_for) {
        const std::optional<int> status = processes_.exit_status(router);
        if (status)
            co_return status;
        co_await pause(kExitPollInterval);
    }
    co_return std::nullopt;
}

Task<> RouterLifecycle::kill_and_restart(std::size_t router) {
    if (routers_[router].restarting)
        co_return;
    routers_[router].restarting = true;
    availability(router).killed = processes_.generation(router);
    processes_.kill(router);
    co_await pause(kCrashNoticedAfter);
    availability(router).connections = false;
    availability(router).requests = false;
    co_await start(router, kRestartTimeout);
    routers_[router].restarting = false;
}

Task<> RouterLifecycle::suspend(std::size_t router, Millis length) {
    Router& own = routers_[router];
    if (own.stopped)
        co_return;
    own.stopped = true;
    const Moment stopped_at = Clock::now();
    discovery_.set_stopped(router, true);
    processes_.signal(router, SIGSTOP);
    co_await pause(length);
    processes_.signal(router, SIGCONT);
    discovery_.set_stopped(router, false);
    own.stopped_for += Clock::now() - stopped_at;
    own.stopped = false;
}

Task<> RouterLifecycle::reload(std::size_t router, bool half_written_first) {
    if (half_written_first) {
        processes_.write_half_a_configuration(router);
        processes_.signal(router, SIGHUP);
        co_await pause(kHalfWrittenFor);
    }
    write_configuration(router);
    processes_.signal(router, SIGHUP);
}

void RouterLifecycle::move_discovery(std::size_t router) {
    discovery_.move(router);
    write_configuration(router);
    processes_.signal(router, SIGHUP);
}

Task<> RouterLifecycle::terminate_all() {
    std::size_t left = processes_.count();
    for (std::size_t router = 0; router < processes_.count(); ++router)
        asio::co_spawn(io_, terminate_last(router), [&left](const std::exception_ptr&) { --left; });
    while (left > 0)
        co_await pause(kPollInterval);
    terminated_ = true;
}

// Without a start after it: the router counts as being restarted from here on.
Task<> RouterLifecycle::terminate_last(std::size_t router) {
    while (routers_[router].restarting)
        co_await pause(kPollInterval);
    routers_[router].restarting = true;
    if (processes_.running(router))
        co_await terminate(router, TerminationSignals::term);
}

}  // namespace silverrail::lab::soak
