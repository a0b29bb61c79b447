// What routers learned of servers, shared: a server that others keep away from, or that others were told is
// draining, is held out here too before this router has found out by itself.
//
// A state machine without I/O, clocks or threads. Rules (docs/design/replication.md says why):
// - One router's word moves nobody: `quorum` independent reporters, alive in the view, within the age limit.
// - Who reports a server judges it by itself: it goes on with its trials, and takes its word back when one
//   succeeds.
// - Where more than `most_share` of a zone's servers would be out by hearsay, none of them is: that many at
// once
//   is the zone's affair (failover), or the reporters' own.
// - A drain holds only for the process that was told to drain: a server with another start is another
// process.
#pragma once

#include "cluster/voice.h"

namespace silverrail::cluster {

// What a report on the server is about; of an empty id: what all such subjects begin with.
std::string server_subject(const std::string& id);

// A server as this router has it.
struct SeenServer {
    std::string id;
    std::string zone;
    std::int64_t started_ms = 0;  // as listed; 0: long ago
    bool avoided = false;         // kept away from here: it failed, or is slow against its like
    bool leaving = false;         // listed as draining or gone
};

struct HearsaySettings {
    UnixMs age = 10'000;  // a report counts for so long; said again each third of it
    std::size_t quorum = 2;
    std::size_t enough = 4;  // reporters of a server; further ones add nothing
    double most_share = 0.5;
    std::size_t most_subjects = 512;  // told of at once by this router
};

class Hearsay {
public:
    Hearsay(std::string name, HearsaySettings settings, std::uint64_t seed);

    struct Step {
        std::vector<Voice::Say> say;  // to be set or cleared in the replica, by report_key(subject, own name)
        std::set<std::string> out;    // ids held out here on the others' word
        bool changed = false;         // not the same ones as in the step before
    };
    // `alive`: the members alive, this one or not, by name; their zones are not looked at.
    Step tick(Time now, UnixMs unix_now, const std::vector<SeenServer>& servers,
              const std::map<std::string, ReplicatedEntry>& entries,
              const std::map<std::string, std::string>& alive);

    struct Counts {
        std::uint64_t said = 0, taken_back = 0, held_out = 0, let_in = 0, panics = 0;
    };
    const Counts& counts() const {
        return counts_;
    }
    std::size_t out() const {
        return out_.size();
    }

private:
    std::string name_;
    HearsaySettings settings_;
    Voice voice_;
    std::set<std::string> out_;
    std::set<std::string> panicked_;  // zones of which nothing is heeded now
    Counts counts_;
};

}  // namespace silverrail::cluster
