#include "routing/outcome_learning.h"

namespace silverrail::routing {

void OutcomeLearner::record(const OpenRequest& open, Attempt& attempt, const Outcome& outcome, Time now) {
    remove_from_counts(attempt);
    // What another process did tells nothing of the one that has taken its place.
    const Servers servers{
        deps_.servers.find(attempt.target, attempt.target_process),
        attempt.source ? deps_.servers.find(*attempt.source, attempt.source_process) : nullptr};
    const ServerState* provider = servers.source ? servers.source : servers.target;
    const bool cached_class = !deps_.settings.classes[open.request.class_index].uncached;
    if (provider && provider->role == ServerRole::origin && cached_class)
        deps_.capacity.pause_origin_after(outcome.duration, now);

    const Findings findings = evaluate(open, outcome);
    attempt.hung = findings.timed_out_or_cancelled && deps_.hangs.is_hung(open, attempt, now);
    if (outcome.attempt_status == AttemptStatus::unobserved)
        return;  // charges to slow-start budgets remain; the result is unknown
    if (servers.target)
        deps_.outliers.record_attempt(*servers.target, attempt, outcome.attempt_status, now);
    learn_latency(servers, attempt, findings);
    if (servers.source)
        learn_about_source(*servers.source, attempt, outcome, findings, now);
    learn_capacity(attempt, outcome, findings);
    if (findings.hit && open.request.size_kb <= 0)
        deps_.work.record_hit(open.request, outcome.duration);
}

// The counts cover all processes under a server's id.
void OutcomeLearner::remove_from_counts(const Attempt& attempt) {
    if (ServerState* target = deps_.servers.find(attempt.target))
        --target->attempts_in_flight;
    if (ServerState* source = attempt.source ? deps_.servers.find(*attempt.source) : nullptr)
        --source->fills_in_flight;
}

OutcomeLearner::Findings OutcomeLearner::evaluate(const OpenRequest& open, const Outcome& outcome) const {
    const AttemptStatus status = outcome.attempt_status;
    const CacheStatus cache_status = outcome.cache_status;
    const bool status_unknown = cache_status == CacheStatus::none;

    Findings findings;
    findings.succeeded = status == AttemptStatus::success;
    findings.timed_out_or_cancelled = status == AttemptStatus::timeout || status == AttemptStatus::cancelled;
    findings.hit = findings.succeeded && cache_status == CacheStatus::hit;
    findings.filled =
        findings.succeeded &&
        (cache_status == CacheStatus::filled || cache_status == CacheStatus::filled_from_origin ||
         (status_unknown && deps_.settings.outcome_detail == OutcomeDetail::off));
    // Hung requests and malformed or truncated responses do not indicate overload.
    const bool response_broken =
        status == AttemptStatus::reset || (status == AttemptStatus::error && status_unknown);
    findings.failed = !findings.succeeded && !response_broken && status != AttemptStatus::miss &&
                      status != AttemptStatus::cancelled;
    findings.in_time = findings.succeeded && outcome.duration <= deps_.work.latency_objective(open.request);
    findings.relative_latency = deps_.work.relative_latency(open.request, outcome.duration);
    return findings;
}

void OutcomeLearner::learn_latency(const Servers& servers, const Attempt& attempt, const Findings& findings) {
    if (servers.target && findings.hit)
        OutlierDetector::record_latency(*servers.target, findings.relative_latency);
    const bool source_was_slow = findings.timed_out_or_cancelled && !attempt.hung;
    if (servers.source && (findings.filled || source_was_slow))
        OutlierDetector::record_latency(*servers.source, findings.relative_latency);
}

void OutcomeLearner::learn_about_source(ServerState& source, const Attempt& attempt, const Outcome& outcome,
                                        const Findings& findings, Time now) {
    if (findings.filled) {
        deps_.outliers.record_alive(source, now);
        ++source.epoch_fills;
    } else if (findings.hit && attempt.charged_source) {
        SlowStart::refund(source, attempt.work);
    } else if (outcome.cache_status == CacheStatus::source_unreachable) {
        const bool refused = outcome.attempt_status == AttemptStatus::overloaded;
        if (refused)
            deps_.outliers.record_failure(source, true, OutlierDetector::kFailuresToEject, now);
        else
            deps_.outliers.record_unresponsive(source, attempt.sent_at, now);
    }
}

void OutcomeLearner::learn_capacity(const Attempt& attempt, const Outcome& outcome,
                                    const Findings& findings) {
    const bool failed = findings.failed && !attempt.hung;
    if (findings.hit || findings.filled)
        deps_.capacity.record_cache_lookup(findings.hit);
    if (findings.hit)
        deps_.capacity.cache_factor().record(findings.in_time);
    if (findings.filled || (attempt.source && failed))
        deps_.capacity.fill_factor().record(findings.in_time);
    const bool read_directly = findings.succeeded && attempt.direct_read;
    if (involved_origin(attempt, outcome) && (findings.filled || failed || read_directly))
        deps_.capacity.origin_factor().record(findings.in_time);
}

// If responses carry no cache status, every fill is taken to involve the origin unless the parent was asked
// for a cached copy only.
bool OutcomeLearner::involved_origin(const Attempt& attempt, const Outcome& outcome) const {
    if (outcome.cache_status == CacheStatus::filled_from_origin ||
        outcome.cache_status == CacheStatus::origin_failed || attempt.direct_read)
        return true;
    const bool filled_from_parent =
        deps_.settings.outcome_detail == OutcomeDetail::all && outcome.cache_status == CacheStatus::filled;
    return attempt.source && !attempt.only_if_cached && !filled_from_parent;
}

}  // namespace silverrail::routing
