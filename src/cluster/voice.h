// What one router says to the others through the replicated state, and what it hears: reports, one for each
// subject and reporter, so that independent reporters can be counted.
//
// State machines without I/O, clocks or threads, as the rest of src/cluster. A report is a key "subject TAB
// reporter" of a replica whose values age (ReplicaSettings::value_keep); a reporter sets and clears its own
// keys only, so no two routers ever write the same key.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/replicated_state/replica.h"

namespace silverrail::cluster {

// The key of a report; empty where the subject can't be told of (it holds a TAB, or the key is too long).
std::string report_key(const std::string& subject, const std::string& reporter);

struct Report {
    std::string value;
    UnixMs said = 0;  // by the reporter's clock
};
// Subject to reporter to what it says.
using Reports = std::map<std::string, std::map<std::string, Report>>;

// The reports in force whose subject starts with `prefix`, said no longer than `age` ago (0: at any time), of
// reporters that `counts` holds for.
Reports reports_in(const std::map<std::string, ReplicatedEntry>& entries, const std::string& prefix,
                   UnixMs unix_now, UnixMs age,
                   const std::function<bool(const std::string& reporter)>& counts);

// What this router has to say: told when it changes, and again before it ages.
class Voice {
public:
    struct Settings {
        Time refresh{4000};  // said again after this
        // Where so many others say the same already, nothing is added to it; 0: always said.
        std::size_t enough = 0;
        Time spread{0};  // said after a wait drawn below this, so that not all say at once what all see
    };
    struct Say {
        std::string subject;
        std::optional<std::string> value;  // none: taken back
        bool operator==(const Say&) const = default;
    };
    Voice(Settings settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

    void spread(Time spread) {
        settings_.spread = spread;
    }
    // `wanted`: subject to what is to be said of it now; what was said and is not wanted is taken back.
    // `others`: how many other routers say the same of the subject.
    std::vector<Say> tick(Time now, const std::map<std::string, std::string>& wanted,
                          const std::function<std::size_t(const std::string& subject)>& others);

private:
    struct Said {
        std::string value;
        Time due{};         // when it is said, or said again
        bool told = false;  // is it out?
    };
    Settings settings_;
    std::mt19937_64 random_;
    std::map<std::string, Said> said_;
};

}  // namespace silverrail::cluster
