// Implements silverrail::routing::Router: the lifecycle of a request from its arrival to its final
// response. The decisions are in the other files of this folder; docs/design.md describes the algorithm
// that they follow ("Cache on Track", CoT) and the differences from it.
#include "silverrail/routing/router.h"

#include <algorithm>
#include <utility>

#include "routing/attempt_planner.h"
#include "routing/capacity_estimate.h"
#include "routing/durations.h"
#include "routing/fills_in_flight.h"
#include "routing/hang_detection.h"
#include "routing/hot_object_tracker.h"
#include "routing/open_request.h"
#include "routing/outcome_learning.h"
#include "routing/outlier_detection.h"
#include "routing/purge_history.h"
#include "routing/random.h"
#include "routing/retry_policy.h"
#include "routing/server_table.h"
#include "routing/slow_start.h"
#include "routing/target_selection.h"
#include "routing/work_estimate.h"

namespace silverrail::routing {

namespace {

using namespace std::chrono_literals;

constexpr Span kMaxEpoch = 10s;

// Waiting times in multiples of the latency objective.
// An attempt's server counts as unresponsive if it has sent no response for this long since the attempt.
constexpr double kUnresponsiveAfter = 3.0;
constexpr double kCheckInterval = 0.25;
// A timer counts as due at this share of the waiting time, because timers are rounded.
constexpr double kTimerTolerance = 0.99;
constexpr Span kMinTimer = 1ms;
// A fill is only treated as hung while the capacity factors exceed this: below it, fills may just be slow.
constexpr double kMinFactorForHungFills = 0.9;

// True if the server did not process the request, so that it can safely be sent again.
bool never_ran(AttemptStatus status) {
    return status == AttemptStatus::overloaded || status == AttemptStatus::connect_failed ||
           status == AttemptStatus::not_sent || status == AttemptStatus::miss;
}

}  // namespace

class Router::Impl {
public:
    Impl(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {}

    std::vector<Action> on(const Event& event, Time now) {
        now_ = now;
        if (!epoch_began_)
            epoch_began_ = now;
        purges_.erase_completed(now);
        std::visit([this](const auto& concrete) { handle(concrete); }, event);
        return std::exchange(actions_, {});
    }

    void set_process_count(int processes) {
        settings_.routers = settings_.routers / processes_ * processes;
        settings_.routers_in_zone = settings_.routers_in_zone / processes_ * processes;
        processes_ = processes;
    }

    bool is_outlier(const ServerId& id) const {
        const ServerState* server = servers_.find(id);
        return server && is_usable(*server) && outliers_.is_on_trial(*server);
    }

    Sizes sizes() const {
        return {tracker_.hot_capacity(), tracker_.tracker_capacity(),
                tracker_.hot_size(),     tracker_.size(),
                requests_.size(),        purges_.size()};
    }

private:
    const ClassSettings& class_of(const OpenRequest& open) const {
        return settings_.classes[open.request.class_index];
    }

    // ---- Events ----

    void handle(const ServerList& list) {
        servers_.apply(list, now_);
    }

    void handle(const Request& request) {
        if (request.class_index >= settings_.classes.size() || requests_.contains(request.id))
            return;
        OpenRequest& open = requests_[request.id];
        open.request = request;
        if (!request.redirected)
            retry_budget_.record_request();
        work_.record_size(request);
        if (!class_of(open).uncached) {
            work_.record_cacheable_request(request);
            open.popularity = popularity_of(request);
            end_epoch_if_due();
        }
        send_or_give_up(open);
    }

    void handle(const ResponseStarted& started) {
        if (const auto found = requests_.find(started.request); found != requests_.end())
            found->second.streaming = true;
    }

    void handle(const ClientClosed& closed) {
        const auto found = requests_.find(closed.request);
        if (found == requests_.end())
            return;
        found->second.completed = true;
        erase_if_done(found);
    }

    void handle(const Purge& purge) {
        purges_.record(purge, now_);
        if (purge.object)
            tracker_.record_update(*purge.object);
    }

    void handle(const Outcome& outcome) {
        const auto found = requests_.find(outcome.request);
        if (found == requests_.end() || outcome.attempt >= found->second.attempts.size())
            return;
        OpenRequest& open = found->second;
        Attempt& attempt = open.attempts[outcome.attempt];
        if (!attempt.in_flight)
            return;
        attempt.in_flight = false;
        attempt.may_have_run = !never_ran(outcome.attempt_status);
        learner_.record(open, attempt, outcome, now_);
        if (outcome.request_completed)
            open.completed = true;
        if (!open.completed && !open.streaming)
            retry_or_give_up(open, outcome.attempt_status);
        erase_if_done(found);
    }

    // Checks whether the server of an attempt in flight, or its source, has become unresponsive.
    void handle(const Timer& timer) {
        const auto found = requests_.find(RequestId{static_cast<std::uint64_t>(timer.id)});
        if (found == requests_.end() || found->second.completed || found->second.streaming)
            return;
        OpenRequest& open = found->second;
        const Attempt* attempt = open.attempt_in_flight();
        if (!attempt ||
            hangs_.relative_wait(open, *attempt, now_) < HangDetector::kHungAfter * kTimerTolerance)
            return;
        const bool unresponsive = record_unresponsive(open, *attempt);
        const bool repeatable =
            class_of(open).idempotency == Idempotency::idempotent && retry_policy_.has_attempts_left(open);
        if ((unresponsive || counts_as_hung(open, *attempt)) && repeatable && retry_budget_.try_withdraw())
            actions_.emplace_back(
                Cancel{open.request.id, static_cast<std::uint32_t>(open.attempts.size() - 1)});
        else if (now_ < open.request.deadline)
            set_timer(open, kCheckInterval);
    }

    // ---- Popularity ----

    Popularity popularity_of(const Request& request) {
        // A client's retry does not indicate demand for the object, so it is not counted.
        const Popularity popularity =
            request.is_retry ? tracker_.popularity(request.object) : tracker_.record_request(request.object);
        if (popularity == Popularity::untracked && !is_likely_first_in_zone(request.object))
            return Popularity::tracked;
        return popularity;
    }

    // Each of the zone's N routers gets one in N of the zone's requests. Its first request for an object is
    // therefore the zone's first for only about one in N objects; the others were requested at other
    // routers before.
    bool is_likely_first_in_zone(ObjectId object) const {
        const double fraction = random_.fraction_of(mix_bits(static_cast<std::uint64_t>(object)));
        return fraction * (settings_.routers_in_zone - 1) < 1;
    }

    void end_epoch_if_due() {
        if (!tracker_.is_epoch_full() && now_ < *epoch_began_ + kMaxEpoch)
            return;
        tracker_.end_epoch(servers_.take_parent_imbalance());
        epoch_began_ = now_;
    }

    // ---- Attempts ----

    void send_or_give_up(OpenRequest& open) {
        if (auto plan = planner_.plan(open, now_))
            send(open, std::move(*plan));
        else
            give_up(open);
    }

    void send(OpenRequest& open, AttemptPlan plan) {
        Attempt attempt = start_attempt(open, plan);
        actions_.emplace_back(Send{open.request.id, plan.target->id, timeout_of(open), std::move(plan.fill),
                                   retry_policy_.retry_window_end(open)});
        open.attempts.push_back(std::move(attempt));
        if (settings_.cancellation_supported)
            set_timer(open, HangDetector::kHungAfter);
    }

    // Creates an attempt and counts it at its servers.
    Attempt start_attempt(const OpenRequest& open, const AttemptPlan& plan) {
        ServerState& target = *plan.target;
        Attempt attempt;
        attempt.target = target.id;
        attempt.target_process = target.process;
        attempt.target_cell = target.cell;
        attempt.target_zone = target.zone;
        attempt.sent_at = now_;
        attempt.work = work_.of_class(open.request.class_index);
        slow_start_.charge(target, attempt.work, now_);
        ++target.attempts_in_flight;
        if (plan.source) {
            ServerState& source = *plan.source;
            attempt.source = source.id;
            attempt.source_process = source.process;
            attempt.known_miss = open.cache_missed;
            attempt.only_if_cached = plan.fill && plan.fill->only_if_cached;
            attempt.charged_source = slow_start_.is_warming_up(source, now_);
            slow_start_.charge(source, attempt.work, now_);
            ++source.fills_in_flight;
        }
        const bool from_origin = plan.source && plan.source->role == ServerRole::origin;
        attempt.runs_at_origin = open.parent_missed || target.role == ServerRole::origin || from_origin;
        attempt.direct_read = target.role != ServerRole::cache && !class_of(open).uncached;
        return attempt;
    }

    // Without support for cancellation, a timeout at the latency objective is what allows a retry. 0: no
    // timeout.
    Span timeout_of(const OpenRequest& open) const {
        const bool retry_is_possible = static_cast<int>(open.attempts.size()) + 1 < settings_.max_attempts &&
                                       class_of(open).idempotency == Idempotency::idempotent;
        if (settings_.cancellation_supported || !retry_is_possible)
            return Span{};
        const double objectives = open.request.size_kb > 0 ? 1 : kUnresponsiveAfter;
        return to_span(to_seconds(work_.latency_objective(open.request)) * objectives);
    }

    void set_timer(const OpenRequest& open, double objectives) {
        const Span delay = to_span(objectives * to_seconds(work_.latency_objective(open.request)));
        actions_.emplace_back(
            SetTimer{TimerId{static_cast<std::uint64_t>(open.request.id)}, std::max(kMinTimer, delay)});
    }

    // True if the target or the parent behind it has sent no response since the attempt was sent.
    bool record_unresponsive(OpenRequest& open, const Attempt& attempt) {
        if (hangs_.relative_wait(open, attempt, now_) < kUnresponsiveAfter * kTimerTolerance)
            return false;
        ServerState* target = servers_.find(attempt.target, attempt.target_process);
        if (target && target->last_alive < attempt.sent_at) {
            ++open.unresponsive_caches;
            outliers_.record_unresponsive(*target, attempt.sent_at, now_);
            return true;
        }
        ServerState* source =
            attempt.source ? servers_.find(*attempt.source, attempt.source_process) : nullptr;
        if (!source || source->role != ServerRole::parent || source->last_alive >= attempt.sent_at)
            return false;
        outliers_.record_unresponsive(*source, attempt.sent_at, now_);
        return true;
    }

    // Retries of rejected or truncated attempts have priority for the budget, as they start early enough to
    // succeed.
    bool counts_as_hung(const OpenRequest& open, const Attempt& attempt) const {
        const double factor = std::min(capacity_.fill_factor().value(), capacity_.origin_factor().value());
        const bool fills_are_in_time = !attempt.source || factor > kMinFactorForHungFills;
        return fills_are_in_time && retry_budget_.has_reserve() && hangs_.is_hung(open, attempt, now_);
    }

    // Called when an attempt has ended and the client still waits for a response.
    void retry_or_give_up(OpenRequest& open, AttemptStatus status) {
        Attempt& attempt = open.attempts.back();
        record_miss(open, attempt, status);
        const bool server_left = status == AttemptStatus::not_sent && has_lost_server(attempt);
        if (status == AttemptStatus::not_sent && !server_left)
            return give_up(open);
        // The token for a cancelled attempt was taken when it was cancelled, and a first miss costs the
        // servers hardly any work.
        const bool is_exempt_from_budget =
            status == AttemptStatus::cancelled || attempt.first_miss || server_left;
        if (!is_exempt_from_budget && !retry_budget_.try_withdraw())
            return give_up(open);
        send_or_give_up(open);
    }

    // True if the attempt's target or source is no longer usable, or was replaced by another process.
    bool has_lost_server(const Attempt& attempt) const {
        const auto is_lost = [this](const ServerId& id, std::uint32_t process) {
            return !servers_.is_usable(id) || !servers_.find(id, process);
        };
        return is_lost(attempt.target, attempt.target_process) ||
               (attempt.source && is_lost(*attempt.source, attempt.source_process));
    }

    // The first miss of a cache, or of a parent asked for a cached copy only, is not a failure.
    static void record_miss(OpenRequest& open, Attempt& attempt, AttemptStatus status) {
        const bool asked_for_copy = attempt.only_if_cached || !attempt.source;
        if (status != AttemptStatus::miss || !asked_for_copy)
            return;
        bool& known = attempt.only_if_cached ? open.parent_missed : open.cache_missed;
        attempt.first_miss = !std::exchange(known, true);
        if (attempt.only_if_cached && attempt.first_miss)
            open.cache_missed = true;
    }

    void give_up(OpenRequest& open) {
        if (open.completed)
            return;
        open.completed = true;
        if (retry_policy_.may_reject(open))
            actions_.emplace_back(Reject{open.request.id, retry_after(open)});
        else
            actions_.emplace_back(Fail{open.request.id});
        if (open.attempts.empty())
            erase_if_done(requests_.find(open.request.id));
    }

    Span retry_after(const OpenRequest& open) const {
        return settings_.retry_after_supported
                   ? std::min(settings_.max_retry_after, class_of(open).latency_objective)
                   : Span{};
    }

    void erase_if_done(OpenRequests::iterator found) {
        const OpenRequest& open = found->second;
        if (open.completed && std::ranges::none_of(open.attempts, &Attempt::in_flight))
            requests_.erase(found);
    }

    Settings settings_;
    Random random_;
    Time now_{};  // time of the event being handled
    std::vector<Action> actions_;
    OpenRequests requests_;
    ServerTable servers_{settings_};
    HotObjectTracker tracker_;
    std::optional<Time> epoch_began_;
    PurgeHistory purges_{settings_};
    WorkEstimator work_{settings_};
    OutlierDetector outliers_{servers_, random_};
    SlowStart slow_start_{settings_};
    RetryPolicy retry_policy_{settings_, servers_};
    RetryBudget retry_budget_;
    CapacityEstimator capacity_{settings_, servers_, random_};
    HangDetector hangs_{servers_, work_};
    FillsInFlight fills_{settings_, requests_, hangs_, work_, capacity_};
    TargetSelector targets_{settings_, servers_, outliers_, slow_start_, capacity_, fills_};
    AttemptPlanner planner_{{.settings = settings_,
                             .targets = targets_,
                             .retries = retry_policy_,
                             .purges = purges_,
                             .capacity = capacity_,
                             .fills = fills_,
                             .work = work_,
                             .random = random_}};
    OutcomeLearner learner_{{.settings = settings_,
                             .servers = servers_,
                             .outliers = outliers_,
                             .hangs = hangs_,
                             .work = work_,
                             .capacity = capacity_}};
    int processes_ = 1;  // that act as this router
};

Router::Router(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

std::vector<Action> Router::on(const Event& event, Time now) {
    return impl_->on(event, now);
}

void Router::set_process_count(int processes) {
    impl_->set_process_count(processes);
}

bool Router::is_outlier(const ServerId& id) const {
    return impl_->is_outlier(id);
}

Router::Sizes Router::sizes() const {
    return impl_->sizes();
}

}  // namespace silverrail::routing
