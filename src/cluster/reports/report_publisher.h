// Reports that routers share through the replicated state: one per subject and reporter, so that independent
// reporters can be counted.
//
// A report is stored under the key "subject TAB reporter" in a replica whose values expire
// (ReplicaSettings::value_retention). A reporter sets and clears only its own keys, so no two routers write
// the same key. Like the rest of src/cluster, these are state machines without I/O, clocks or threads.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster/replicated_state/replica.h"
#include "cluster/time.h"

namespace silverrail::cluster {

// The key of a report. Empty if there is no valid key: subject or reporter is empty, the subject contains a
// TAB, or the key would exceed kMaxKeyLength.
std::string report_key(const std::string& subject, const std::string& reporter);

struct Report {
    std::string value;
    UnixMs reported_at = 0;  // by the reporter's clock
};
// By subject, then by reporter.
using Reports = std::map<std::string, std::map<std::string, Report>>;

// The reports on subjects that start with `subject_prefix`, no older than `max_age` (0: of any age), by
// reporters for which `is_counted` returns true.
Reports active_reports(const Replica::Entries& entries, const std::string& subject_prefix, UnixMs unix_now,
                       UnixMs max_age, const std::function<bool(const std::string& reporter)>& is_counted);

// A change of this router's report on a subject.
struct ReportUpdate {
    std::string subject;
    std::optional<std::string> value;  // nullopt: the report is withdrawn
    bool operator==(const ReportUpdate&) const = default;
};

// Publishes this router's reports when they change, and refreshes them before they expire.
class ReportPublisher {
public:
    struct Settings {
        Time refresh_interval{4000};
        // A new report is not published while so many other routers report the same; 0: no limit.
        std::size_t enough_reporters = 0;
        // A changed report is published after a random delay below this, so that routers do not all publish
        // at once.
        Time max_delay{0};
    };
    ReportPublisher(const Settings& settings, std::uint64_t random_seed)
        : settings_(settings), random_(random_seed) {}

    void set_max_delay(Time max_delay) {
        settings_.max_delay = max_delay;
    }
    // `reports`: the current reports by subject; published ones that are no longer in it are withdrawn.
    // `other_reporters`: returns how many other routers report the same on the subject.
    std::vector<ReportUpdate> tick(
        Time now, const std::map<std::string, std::string>& reports,
        const std::function<std::size_t(const std::string& subject)>& other_reporters);

private:
    struct Publication {
        std::string value;
        Time due{};
        bool published = false;
    };
    Settings settings_;
    std::mt19937_64 random_;
    std::map<std::string, Publication> publications_;  // by subject
};

}  // namespace silverrail::cluster
