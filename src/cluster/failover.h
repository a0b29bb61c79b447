// Failover between zones and regions, decided in common: what part of a zone's requests leaves it, and where
// to.
//
// A state machine without I/O, clocks or threads, as the rest of src/cluster. Each router of a region
// computes the same wish from the same reports (src/cluster/voice); one of them, by its rank for that epoch,
// writes it down as a numbered decision in the replicated state, the next one if nobody did within a slot;
// every router acts on the decision that is written, never on its own wish. docs/design/failover.md has the
// ways weighed.
//
// Source of the arithmetic: Envoy's priority levels and localities (its documentation, "Priority levels" and
// "Panic threshold"): a level serves its healthy part times an overprovisioning factor of 1.4, the rest
// spills to the next; a level below the panic threshold of 50% is no target. What differs is in the design
// note.
//
// Safety:
// - Quorum: without a majority of the region's configured routers in view nothing is decided.
// - Health is the median over a zone's witnesses: one router's bad link moves nobody.
// - At most one change of a zone per hold-down, counted from when this router saw the last one; a zone that
// fails
//   again soon after a step back waits longer with the next one.
// - Back in steps, and only as far as its servers have warmed; a zone or server that is let in again counts
// as just started (core/engine).
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/voice.h"

namespace silverrail::cluster {

struct FailoverZone {
    std::string name;
    std::string region;
    std::size_t routers = 0;  // configured, alive or not: what a majority is counted of
    bool operator==(const FailoverZone&) const = default;
};

struct FailoverSettings {
    std::vector<FailoverZone> zones;  // regions are preferred in the order in which they come here
    double overprovision = 1.4;
    double panic = 0.5;     // a zone with less of it healthy takes nobody in
    double step_out = 0.5;  // of all requests, in one change; a zone with nothing healthy goes at once
    double step_back = 0.25;
    double least = 0.1;         // a smaller change is not worth one
    Time hold{5000};            // between two changes of one zone
    Time confirm{300};          // a wish stands for so long before it is written
    Time slot{300};             // between one router's turn to write it and the next one's
    std::size_t witnesses = 9;  // routers of a zone whose reports count
    bool operator==(const FailoverSettings&) const = default;
    static constexpr std::size_t kMostZones = 64;
    static constexpr std::size_t kMostTargets = 3;
};

// What is in force for a zone.
struct Decision {
    std::uint64_t epoch = 0;             // 0: never decided, all in zone
    std::map<std::string, int> targets;  // zone to per cent of the requests; the rest stays
    HybridTimestamp stamp = 0;
    std::string by;  // its origin
    int out() const;
    bool same(const Decision& other) const {
        return targets == other.targets;
    }
};
// As a value of the replicated state: "EPOCH ZONE=PERCENT ...".
std::string text_of(const Decision& decision);
std::optional<Decision> decision_of(const std::string& text);
// Of what may stand side by side after a cut: the highest epoch, of that the earliest, so that whoever comes
// late with the same epoch changes nothing.
Decision in_force(const ReplicatedEntry* entry);

enum class Pin { none, in, out };
std::string zone_subject(const std::string& zone);  // what a report on its health is about
std::string decision_key(const std::string& zone);
std::string pin_key(const std::string& zone);

// A server of the own zone as this router has it, for the zone's health.
struct ZoneServer {
    double weight = 1;
    bool avoided = false;  // by this router's own decisions
    bool banned = false;   // by hand
    // The last connect by itself; none: none was due.
    std::optional<bool> probed;
    double warm = 1;  // of what it bears when it has run for long
};
// A zone's health in per cent of its servers' weight, in fives downwards; all of it where there is no server.
struct Health {
    int up = 100;
    int warm = 100;  // of all, what those that are up bear now
    bool operator==(const Health&) const = default;
};
// `steered`: the zone gets nothing at present, so only connects tell.
Health health_of(const std::vector<ZoneServer>& servers, bool steered);

// As a report's value: "UP WARM".
std::string text_of(Health health);
std::optional<Health> health_of_report(const std::string& text);

class Failover {
public:
    Failover(std::string name, std::string zone, FailoverSettings settings);

    struct Input {
        Time now{};
        UnixMs unix_now = 0;
        Health health{};                                            // of the own zone, as this router sees it
        const std::map<std::string, std::string>* alive = nullptr;  // member to its zone, ourselves too
        const std::map<std::string, ReplicatedEntry>* reports = nullptr;
        const std::map<std::string, ReplicatedEntry>* shared = nullptr;
        std::map<std::string, double> weights;  // of the listed servers, by zone
        // Other numbers whenever `alive` or `reports` may have changed; 0: not told, they are looked through
        // each time.
        std::uint64_t view_revision = 0, reports_revision = 0;
    };
    struct Write {
        std::string zone;
        Decision decision;
    };
    struct Change {
        std::string zone;
        Decision from, to;
        bool flap = false;  // turns back what was changed less than two hold-downs ago
    };
    struct Step {
        std::vector<Write> writes;    // to be set in the replicated state, by decision_key
        std::vector<Change> changes;  // decisions newly in force here
        // Zone to the factor on its servers' weight; empty: the own zone alone, as listed.
        std::map<std::string, double> factors;
        std::optional<std::string> report;  // what this router has to say of its zone; none: it is no witness
    };
    Step tick(const Input& in);

    struct Standing {
        Decision decision;
        Pin pin = Pin::none;
        std::optional<int> health;  // the witnesses' median; none: too few of them
        int warm = 100;             // the same
        double smooth = 100;    // the median over some seconds, but at once where it leaps: what is acted on
        std::size_t alive = 0;  // routers of it in view
        std::uint64_t changes = 0, flaps = 0;
        // Hold-downs that the next step back waits: doubled each time the zone failed again soon after one.
        int damp = 1;
        Time since{};  // when its decision was seen here
    };
    const std::map<std::string, Standing>& standings() const {
        return zones_;
    }
    const FailoverSettings& settings() const {
        return settings_;
    }
    bool quorum() const {
        return quorum_;
    }
    const std::string& region_of(const std::string& zone) const;
    // Whose turn it is to write that epoch of the zone, of the members alive; the first one first.
    std::vector<std::string> turns(const std::string& zone, std::uint64_t epoch,
                                   const std::map<std::string, std::string>& alive) const;

private:
    struct Wish {
        Decision decision;
        Time since{};
    };
    void look(const Input& in);
    Decision wished(const std::string& zone) const;
    std::map<std::string, int> spread(const std::string& zone, int out) const;
    int spare(const std::string& of, const std::string& target) const;
    std::map<std::string, double> factors(const Input& in) const;
    bool group(const Input& in);
    void read_reports(const Input& in);
    Health worth_saying(Health health, Time now);

    std::string name_, zone_;
    FailoverSettings settings_;
    std::map<std::string, Standing> zones_;  // the configured ones
    std::map<std::string, Wish> wishes_;
    std::map<std::string, int> direction_;  // of the last change, +1 out, -1 back
    std::map<std::string, double> weights_;
    // Of the view last seen, worked out anew only when it changes: a fleet may be large, and ticks are many.
    std::map<std::string, std::string> alive_;  // kept where no revision tells of a change
    std::uint64_t view_revision_ = 0, reports_revision_ = 0;
    std::map<std::string, std::set<std::string>> witnesses_;  // by zone: those alive that come first by hash
    // What was reported last, and since when something else is seen.
    std::optional<Health> said_;
    std::optional<Time> differs_since_;
    bool quorum_ = false;
    bool looked_ = false;
    std::optional<Time> last_;
    Time awake_{};  // nothing is written before this: we had not run for a while
};

}  // namespace silverrail::cluster
