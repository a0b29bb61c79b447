// Failover between zones and regions, decided jointly by the routers of a region.
//
// A state machine without I/O, clocks or threads, like the rest of src/cluster. Each router of a region
// computes the same proposal from the same reports (src/cluster/reports). For each epoch the routers take
// turns in a ranked order: the first one writes the proposal as a numbered decision into the replicated
// state; if it has not done so within its turn, the next one does. Every router acts on the written decision,
// never on its own proposal. docs/design/failover.md describes the alternatives.
//
// Safety:
// - Quorum: nothing is decided unless this router sees a majority of the region's configured routers alive.
// - A zone's health is the median of its reporters, so one router's bad link causes no failover.
// - At most one change of a zone per hold-down, counted from when this router saw the last one; a zone that
//   fails again soon after a step back waits longer before the next step back.
// - Requests return in steps, and only as far as the zone's servers have warmed up; a zone or server that is
//   let in again counts as just started (core/engine).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/failover/failover_decision.h"
#include "cluster/failover/failover_settings.h"
#include "cluster/failover/zone_health.h"
#include "cluster/failover/zone_status.h"
#include "cluster/replicated_state/replica.h"
#include "cluster/time.h"

namespace silverrail::cluster {

class Failover {
public:
    Failover(std::string router, std::string zone, FailoverSettings settings);

    struct Input {
        Time now{};
        UnixMs unix_now = 0;
        ZoneHealth health{};                                        // of the own zone, as this router sees it
        const std::map<std::string, std::string>* alive = nullptr;  // zones by member, this router included
        const Replica::Entries* reports = nullptr;
        const Replica::Entries* state = nullptr;
        ZoneWeights weights;
        // These change whenever `alive` or `reports` may have changed; 0: no revision is known, read them at
        // each tick.
        std::uint64_t alive_revision = 0;
        std::uint64_t reports_revision = 0;
    };
    // A decision to write into the replicated state, under decision_key(zone).
    struct Write {
        std::string zone;
        FailoverDecision decision;
    };
    // A decision that took effect on this router.
    struct Change {
        std::string zone;
        FailoverDecision before;
        FailoverDecision after;
        bool flap = false;  // reverses a change made less than two hold-downs ago
    };
    struct Result {
        std::vector<Write> writes;
        std::vector<Change> changes;
        // Factors for the weights of the zones' servers; empty: only servers of the own zone, with their
        // listed weights.
        std::map<std::string, double> weight_factors;
        std::optional<ZoneHealth> report;  // on the own zone; none: this router is not one of its reporters
    };
    Result tick(const Input& input);

    const ZoneStatuses& zones() const {
        return zones_;
    }
    const FailoverSettings& settings() const {
        return settings_;
    }
    bool has_quorum() const {
        return has_quorum_;
    }
    // The alive members that may write the zone's decision of that epoch, in the order of their turns.
    std::vector<std::string> writer_order(const std::string& zone, std::uint64_t epoch,
                                          const std::map<std::string, std::string>& alive) const;

private:
    struct Proposal {
        FailoverDecision decision;
        Time since{};
    };

    // Decisions (failover.cpp).
    void detect_stall(Time now);
    std::vector<Change> adopt_decisions(const Input& input);
    Change record_change(const std::string& zone, ZoneStatus& status, const FailoverDecision& decision,
                         Time now);
    std::vector<Write> propose_decisions(const Input& input);
    bool is_due(const std::string& zone, const Proposal& proposal, const Input& input) const;
    std::map<std::string, double> weight_factors(const ZoneWeights& weights) const;
    double spillover_into(const std::string& zone, const ZoneWeights& weights) const;

    // Reading the members alive, the reports and the overrides (failover_view.cpp).
    void update_view(const Input& input);
    bool update_reporters(const Input& input);
    void update_quorum();
    void read_health_reports(const Input& input);
    void smooth_health(ZoneStatus& status, Time now) const;
    void read_overrides(const Input& input);

    std::string router_;
    std::string zone_;
    FailoverSettings settings_;
    ZoneStatuses zones_;  // the configured ones
    ZoneWeights weights_;
    std::map<std::string, Proposal> proposals_;      // by zone
    std::map<std::string, int> last_direction_;      // by zone, of the last change: +1 out, -1 back
    std::map<std::string, std::string> last_alive_;  // for comparison where no revision is given
    std::uint64_t alive_revision_ = 0;
    std::uint64_t reports_revision_ = 0;
    std::map<std::string, std::set<std::string>> reporters_;  // by zone
    HealthReportFilter report_filter_;
    bool has_quorum_ = false;
    bool has_decisions_ = false;  // decisions have been read at least once
    std::optional<Time> last_tick_;
    Time no_writes_before_{};
};

}  // namespace silverrail::cluster
