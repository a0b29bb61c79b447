#include "routing/outlier_detection.h"

#include <algorithm>

#include "routing/durations.h"

namespace silverrail::routing {

namespace {

using namespace std::chrono_literals;

constexpr Span kMinEjection = 1s;
constexpr Span kMaxEjection = 8s;
constexpr double kEjectionJitter = 0.25;      // maximum random reduction, as a share of the ejection's length
constexpr double kSlowRatio = 2;              // relative to the fastest peer
constexpr double kLatencySampleWeight = 0.3;  // of a new sample in the running mean

}  // namespace

bool OutlierDetector::is_slow(const ServerState& server) const {
    if (server.relative_latency <= 1)
        return false;  // its responses still meet their objective
    const auto& peers = servers_.listed(server.role);
    return std::ranges::any_of(peers, [&](const ServerState* peer) {
        return is_usable(*peer) && !peer->ejected && peer->relative_latency > 0 &&
               server.relative_latency > kSlowRatio * peer->relative_latency;
    });
}

bool OutlierDetector::is_on_trial(const ServerState& server) const {
    return server.ejected || is_slow(server);
}

bool OutlierDetector::admits(const ServerState& server, Time now) const {
    if (server.ejected && now < server.ejected_until)
        return false;
    return server.attempts_in_flight + server.fills_in_flight == 0 || !is_on_trial(server);
}

void OutlierDetector::record_failure(ServerState& server, bool may_eject, int weight, Time now) {
    server.failures += weight;
    if (!may_eject)
        return;
    const bool trial_failed = server.ejected && now >= server.ejected_until;
    const bool failed_too_often = !server.ejected && server.failures >= kFailuresToEject;
    if (trial_failed || failed_too_often)
        eject(server, now);
}

void OutlierDetector::eject(ServerState& server, Time now) {
    server.ejected = true;
    server.ejection_duration = std::clamp(server.ejection_duration * 2, kMinEjection, kMaxEjection);
    // All routers may eject the server at the same moment; jitter spreads their trial requests over time.
    const double jitter = 1 - kEjectionJitter * random_.next();
    server.ejected_until = now + to_span(to_seconds(server.ejection_duration) * jitter);
}

void OutlierDetector::record_unresponsive(ServerState& server, Time sent_at, Time now) {
    record_failure(server, servers_.others_alive_since(server, sent_at), kNoResponseWeight, now);
}

void OutlierDetector::record_alive(ServerState& server, Time now, Time sent_at) {
    // A server that responds again after refusing connections has restarted and is cold, even if discovery
    // has not reported it yet. If the response is to a request sent before the refusal, the process has not
    // restarted: its connection table was full.
    if (server.refused_since && server.ejected && sent_at >= *server.refused_since)
        server.started_at = std::max(server.started_at.value_or(now), now);
    server.last_alive = now;
    server.failures = 0;
    server.ejected = false;
    server.refused_since.reset();
    server.ejection_duration = Span{};
}

void OutlierDetector::record_attempt(ServerState& target, const Attempt& attempt, AttemptStatus status,
                                     Time now) {
    switch (status) {
        case AttemptStatus::success:
        case AttemptStatus::miss:
        case AttemptStatus::overloaded:
            record_alive(target, now, attempt.sent_at);
            break;
        case AttemptStatus::connect_failed:
            record_failure(target, true, kNoResponseWeight, now);
            if (!target.refused_since)
                target.refused_since = now;
            break;
        case AttemptStatus::reset:
        case AttemptStatus::error:
            record_failure(target, true, 1, now);
            break;
        case AttemptStatus::timeout:
            if (target.last_alive < attempt.sent_at)
                record_unresponsive(target, attempt.sent_at, now);
            break;
        case AttemptStatus::cancelled:
        case AttemptStatus::not_sent:
        case AttemptStatus::unobserved:
            break;
    }
}

void OutlierDetector::record_latency(ServerState& server, double relative_latency) {
    double& mean = server.relative_latency;
    mean = mean > 0 ? mean + kLatencySampleWeight * (relative_latency - mean) : relative_latency;
}

}  // namespace silverrail::routing
