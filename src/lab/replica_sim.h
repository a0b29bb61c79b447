// The replicated state at any size and under seeded faults: the state machines of src/cluster/replica on a
// simulated network, each with a store that is written before anything goes out. Behind `silverrail lab
// replica`, the tables in docs/design/replication.md, and the model check over many seeds in the tests.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/replicated_state/replica.h"

namespace silverrail::lab {

// One schedule of random changes and faults, drawn from the seed: loss, duplicates, reordering, cuts, crashes
// with a restart from the store, clocks apart by seconds, and members away for longer than tombstones are
// kept.
struct ReplicaCheck {
    std::uint64_t seed = 1;
    std::size_t members = 5;
    std::size_t keys = 12;
    std::int64_t trouble_ms = 20'000;  // changes and faults for so long, then all is healed
    std::int64_t most_ms = 60'000;     // all must be equal by then
    cluster::UnixMs tombstone_keep = 8'000;
    // What is learned (values age as tombstones do) instead of what is said by hand.
    bool learned = false;
};
struct ReplicaVerdict {
    std::string wrong;               // empty: all held
    std::int64_t converged_ms = -1;  // after healing, until all copies were equal
    std::uint64_t changes = 0, crashes = 0, cuts = 0, full_copies = 0, forgotten = 0, ahead = 0;
};
ReplicaVerdict check_replicas(const ReplicaCheck& check);

// A fleet with `keys` in every copy, cut three in eight for 30 s while `missed` keys change on each side,
// healed; and one member away for 30 s while `missed` keys change.
struct ReplicaScale {
    std::size_t members = 30;
    std::size_t keys = 10'000;
    std::size_t missed = 20;
    std::uint64_t seed = 1;
};
struct ReplicaFigures {
    double rest_bytes_per_s = 0;       // a member, while nothing changes
    std::int64_t spread_ms = -1;       // one change, until every copy has it
    std::int64_t heal_ms = -1;         // the cut's healing, until all copies are equal
    double heal_bytes_per_s = 0;       // a member, meanwhile
    std::int64_t catch_up_ms = -1;     // the member's return, until its copy is equal
    std::uint64_t catch_up_bytes = 0;  // sent to it meanwhile
    std::uint64_t full_copies = 0;
};
ReplicaFigures measure_replicas(const ReplicaScale& scale);

}  // namespace silverrail::lab
