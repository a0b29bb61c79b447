// Reports: what routers tell each other through the replicated state, one for each subject and reporter, so
// that independent reporters can be counted.
//
// A report is the key "subject TAB reporter" of a replica whose values age
// (ReplicaSettings::value_retention). A reporter sets and clears its own keys only, so no two routers ever
// write the same key. State machines without I/O, clocks or threads, as the rest of src/cluster.
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

// The key of a report; empty where there can be none (the subject holds a TAB, or the key is too long).
std::string report_key(const std::string& subject, const std::string& reporter);

struct Report {
    std::string value;
    UnixMs reported_at = 0;  // by the reporter's clock
};
// By subject, then reporter.
using Reports = std::map<std::string, std::map<std::string, Report>>;

// The reports whose subject starts with `subject_prefix`, no older than `max_age` (0: of any age), of
// reporters that `is_counted` holds for.
Reports active_reports(const Replica::Entries& entries, const std::string& subject_prefix, UnixMs unix_now,
                       UnixMs max_age, const std::function<bool(const std::string& reporter)>& is_counted);

// A change of this router's report on a subject.
struct ReportUpdate {
    std::string subject;
    std::optional<std::string> value;  // none: the report is withdrawn
    bool operator==(const ReportUpdate&) const = default;
};

// Publishes this router's reports: when they change, and again before they age.
class ReportPublisher {
public:
    struct Settings {
        Time refresh_interval{4000};
        // Where so many other routers report the same already, nothing is added; 0: always published.
        std::size_t enough_reporters = 0;
        Time max_delay{
            0};  // published after a delay drawn below this, so that not all routers report at once
    };
    ReportPublisher(const Settings& settings, std::uint64_t random_seed)
        : settings_(settings), random_(random_seed) {}

    void set_max_delay(Time max_delay) {
        settings_.max_delay = max_delay;
    }
    // `reports`: by subject what is to be reported now; what was published and is not in it is withdrawn.
    // `other_reporters`: how many other routers report the same of the subject.
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
