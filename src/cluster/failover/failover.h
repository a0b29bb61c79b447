// Failover between zones and regions, decided by the routers of a region together.
//
// A state machine without I/O, clocks or threads, as the rest of src/cluster. Each router of a region
// computes the same proposal from the same reports (src/cluster/reports); one of them, by its rank for that
// epoch, writes it as a numbered decision into the replicated state, the next one if nobody did within its
// turn; every router acts on the decision that is written, never on its own proposal. docs/design/failover.md
// has the alternatives.
//
// Safety:
// - Quorum: without a majority of the region's configured routers in view nothing is decided.
// - Health is the median of a zone's reporters: one router's bad link moves nobody.
// - At most one change of a zone per hold-down, counted from when this router saw the last one; a zone that
//   fails again soon after a step back waits longer with the next one.
// - Back in steps, and only as far as its servers have warmed up; a zone or server that is let in again
// counts
//   as just started (core/engine).
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
        const std::map<std::string, std::string>* alive = nullptr;  // members to their zones, this one too
        const Replica::Entries* reports = nullptr;
        const Replica::Entries* state = nullptr;
        ZoneWeights weights;
        // Other numbers whenever `alive` or `reports` may have changed; 0: unknown, they are read each time.
        std::uint64_t alive_revision = 0;
        std::uint64_t reports_revision = 0;
    };
    // A decision to write into the replicated state, under decision_key(zone).
    struct Write {
        std::string zone;
        FailoverDecision decision;
    };
    // A decision newly in effect here.
    struct Change {
        std::string zone;
        FailoverDecision before;
        FailoverDecision after;
        bool flap = false;  // turns back what was changed less than two hold-downs ago
    };
    struct Result {
        std::vector<Write> writes;
        std::vector<Change> changes;
        // Factors on the weights of zones' servers; empty: the own zone alone, as listed.
        std::map<std::string, double> weight_factors;
        std::optional<ZoneHealth> report;  // on the own zone; none: this router is no reporter of it
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
    // The members alive that may write that epoch of the zone, in the order of their turns.
    std::vector<std::string> writer_order(const std::string& zone, std::uint64_t epoch,
                                          const std::map<std::string, std::string>& alive) const;

private:
    struct Proposal {
        FailoverDecision decision;
        Time since{};
    };

    // Decisions (failover.cpp).
    void note_stall(Time now);
    std::vector<Change> adopt_decisions(const Input& input);
    Change record_change(const std::string& zone, ZoneStatus& status, const FailoverDecision& decision,
                         Time now);
    std::vector<Write> propose_decisions(const Input& input);
    bool is_due(const std::string& zone, const Proposal& proposal, const Input& input) const;
    std::map<std::string, double> weight_factors(const ZoneWeights& weights) const;
    double spillover_into(const std::string& zone, const ZoneWeights& weights) const;

    // What the view and the reports say (failover_view.cpp).
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
    std::map<std::string, std::string> last_alive_;  // held where no revision tells of a change
    std::uint64_t alive_revision_ = 0;
    std::uint64_t reports_revision_ = 0;
    std::map<std::string, std::set<std::string>> reporters_;  // by zone
    HealthReportFilter report_filter_;
    bool has_quorum_ = false;
    bool has_decisions_ = false;  // were they read before?
    std::optional<Time> last_tick_;
    Time no_writes_before_{};
};

}  // namespace silverrail::cluster
