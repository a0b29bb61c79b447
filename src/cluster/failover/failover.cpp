#include "cluster/failover/failover.h"

#include <algorithm>
#include <utility>

#include "cluster/failover/failover_codec.h"
#include "cluster/failover/failover_planner.h"
#include "cluster/hash.h"

namespace silverrail::cluster {

namespace {

// A longer gap between two ticks means that the process was stopped, so that its view is outdated.
constexpr Time kStallThreshold{1000};
constexpr Time kSettlingTimeAfterStall{1000};
constexpr std::size_t kLastTurn = 9;  // routers of higher ranks share this turn
constexpr int kMaxHoldDownFactor = 8;

// +1: more requests leave, -1: fewer, 0: as many.
int direction(const FailoverDecision& before, const FailoverDecision& after) {
    const int change = after.percent_leaving() - before.percent_leaving();
    return change > 0 ? 1 : change < 0 ? -1 : 0;
}

const ReplicatedEntry* find_entry(const Replica::Entries& entries, const std::string& key) {
    const auto found = entries.find(key);
    return found == entries.end() ? nullptr : &found->second;
}

}  // namespace

Failover::Failover(std::string router, std::string zone, FailoverSettings settings)
    : router_(std::move(router)), zone_(std::move(zone)), settings_(std::move(settings)) {
    for (const auto& configured : settings_.zones)
        zones_[configured.name];
}

Failover::Result Failover::tick(const Input& input) {
    Result out;
    detect_stall(input.now);
    weights_ = input.weights;
    update_view(input);
    last_tick_ = input.now;
    out.changes = adopt_decisions(input);
    out.writes = propose_decisions(input);
    out.weight_factors = weight_factors(input.weights);
    const auto reporters = reporters_.find(zone_);
    if (reporters != reporters_.end() && reporters->second.contains(router_))
        out.report = report_filter_.update(input.health, input.now);
    return out;
}

// After a stall the router discards its proposals and waits for a current view before it writes a decision.
void Failover::detect_stall(Time now) {
    if (last_tick_ && now - *last_tick_ <= kStallThreshold)
        return;
    no_writes_before_ = now + kSettlingTimeAfterStall;
    proposals_.clear();
}

// Decisions found at the first tick are not reported as changes.
std::vector<Failover::Change> Failover::adopt_decisions(const Input& input) {
    std::vector<Change> changes;
    for (auto& [zone, status] : zones_) {
        const auto decision = effective_decision(find_entry(*input.state, decision_key(zone)));
        if (decision.epoch == status.decision.epoch && decision.targets == status.decision.targets)
            continue;
        if (has_decisions_)
            changes.push_back(record_change(zone, status, decision, input.now));
        status.decision = decision;
        status.decided_at = input.now;
        proposals_.erase(zone);
    }
    has_decisions_ = true;
    return changes;
}

Failover::Change Failover::record_change(const std::string& zone, ZoneStatus& status,
                                         const FailoverDecision& decision, Time now) {
    const int changed_direction = direction(status.decision, decision);
    int& last = last_direction_[zone];
    const auto since_last = now - status.decided_at;
    const bool flap =
        changed_direction != 0 && last == -changed_direction && since_last < 2 * settings_.hold_down;
    if (changed_direction > 0) {
        const bool failed_again = last < 0 && since_last < 2 * status.hold_down_factor * settings_.hold_down;
        status.hold_down_factor =
            failed_again ? std::min(2 * status.hold_down_factor, kMaxHoldDownFactor) : 1;
    }
    if (changed_direction != 0)
        last = changed_direction;
    ++status.changes;
    status.flaps += flap ? 1 : 0;
    return {zone, status.decision, decision, flap};
}

std::vector<Failover::Write> Failover::propose_decisions(const Input& input) {
    std::vector<Write> writes;
    const bool may_decide = has_quorum_ && input.now >= no_writes_before_;
    const FailoverPlanner planner{settings_, zones_, weights_};
    for (const auto& [zone, status] : zones_) {
        if (region_of(settings_, zone) != region_of(settings_, zone_))
            continue;
        auto decision = may_decide ? planner.propose(zone) : status.decision;
        if (decision.targets == status.decision.targets) {
            proposals_.erase(zone);
            continue;
        }
        const auto [entry, inserted] = proposals_.try_emplace(zone, Proposal{decision, input.now});
        auto& proposal = entry->second;
        const auto moves_out = [&status](const FailoverDecision& proposed) {
            return direction(status.decision, proposed) > 0;
        };
        if (!inserted && moves_out(proposal.decision) != moves_out(decision))
            proposal.since = input.now;
        proposal.decision = decision;
        if (!is_due(zone, proposal, input))
            continue;
        ++decision.epoch;
        writes.push_back({zone, std::move(decision)});
    }
    return writes;
}

// A proposal is written once it has held for the confirmation time, the hold-down is over and it is this
// router's turn.
bool Failover::is_due(const std::string& zone, const Proposal& proposal, const Input& input) const {
    const auto& status = zones_.at(zone);
    Time due = proposal.since + settings_.confirmation;
    const bool back = direction(status.decision, proposal.decision) < 0 &&
                      status.override_by_operator == FailoverOverride::none;
    if (status.decision.epoch > 0)
        due = std::max(due, status.decided_at + settings_.hold_down * (back ? status.hold_down_factor : 1));
    const auto order = writer_order(zone, proposal.decision.epoch + 1, *input.alive);
    const auto rank =
        static_cast<std::size_t>(std::find(order.begin(), order.end(), router_) - order.begin());
    return input.now >= due + settings_.turn * static_cast<Time::rep>(std::min(rank, kLastTurn));
}

// Ordered by a hash that includes the epoch, so each epoch has another order.
std::vector<std::string> Failover::writer_order(const std::string& zone, std::uint64_t epoch,
                                                const std::map<std::string, std::string>& alive) const {
    std::vector<std::pair<std::uint64_t, std::string>> hashed;
    for (const auto& [member, member_zone] : alive)
        if (region_of(settings_, member_zone) == region_of(settings_, zone))
            hashed.emplace_back(fnv1a(fnv1a(fnv1a(kFnvOffsetBasis, zone), epoch), member), member);
    std::sort(hashed.begin(), hashed.end());
    std::vector<std::string> out;
    out.reserve(hashed.size());
    for (auto& [hash, member] : hashed)
        out.push_back(std::move(member));
    return out;
}

// The requests that other zones send into the zone, relative to the zone's own requests.
double Failover::spillover_into(const std::string& zone, const ZoneWeights& weights) const {
    double sum = 0;
    for (const auto& [name, status] : zones_) {
        const auto part = status.decision.targets.find(zone);
        if (part != status.decision.targets.end())
            sum += part->second / 100.0 * weight_ratio(weights, name, zone);
    }
    return sum;
}

// The factors are scaled down by the spillover that a zone takes, for its own routers and for those that send
// into it, so that the load from all routers together stays within what its servers bear.
std::map<std::string, double> Failover::weight_factors(const ZoneWeights& weights) const {
    std::map<std::string, double> out;
    const auto own = zones_.find(zone_);
    if (own == zones_.end())
        return out;
    const double staying = 1 - own->second.decision.percent_leaving() / 100.0;
    double scale = 1 / (1 + spillover_into(zone_, weights));
    double leaving = 0;
    for (const auto& [target, percent] : own->second.decision.targets) {
        // No server of the target is listed here. Before there is any server list, the decision applies as
        // written.
        const auto weight = weights.find(target);
        if (!weights.empty() && (weight == weights.end() || weight->second <= 0))
            continue;
        out[target] = percent / 100.0;
        leaving += out[target];
        scale = std::min(scale, 1 / (1 + spillover_into(target, weights)));
    }
    // Nothing changes, or no target is listed: then the requests go to the own zone's servers rather than to
    // none.
    if (out.empty() && (staying <= 0 || (staying >= 1 && scale >= 1)))
        return {};
    for (auto& [target, factor] : out)
        factor *= (1 - staying) / leaving * weight_ratio(weights, zone_, target) * scale;
    out[zone_] = staying * scale;
    return out;
}

}  // namespace silverrail::cluster
