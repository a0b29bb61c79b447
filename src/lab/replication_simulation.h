// The replicated state at any size and under seeded faults: the state machines of
// src/cluster/replicated_state on a simulated network, each with a store that is written before anything goes
// out. Behind `silverrail lab replica`, the tables in docs/design/replication.md, and the model check over
// many seeds in the tests.
#pragma once

#include <cstdint>
#include <string>

#include "cluster/replicated_state/replica.h"

namespace silverrail::lab {

// One schedule of random changes and faults, drawn from the seed: loss, duplicates, reordering, partitions,
// crashes with a restart from the store, clocks apart by seconds, and members away for longer than tombstones
// are held.
struct ReplicationCheck {
    std::uint64_t seed = 1;
    std::size_t members = 5;
    std::size_t keys = 12;
    std::int64_t faults_ms = 20'000;           // changes and faults for so long, then all is healed
    std::int64_t max_convergence_ms = 60'000;  // all replicas must be equal by then
    cluster::UnixMs tombstone_retention = 8'000;
    bool reports = false;  // values age out as tombstones do, as reports do
};

struct ReplicationVerdict {
    std::string violation;           // empty: all held
    std::int64_t converged_ms = -1;  // after healing, until all replicas were equal
    std::uint64_t changes = 0;
    std::uint64_t crashes = 0;
    std::uint64_t partitions = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t collected = 0;
    std::uint64_t ahead = 0;
};
ReplicationVerdict check_replication(const ReplicationCheck& check);

// A fleet with `keys` in every replica, parted three in eight for 30 s while `missed` keys change on each
// side, healed; and one member away for 30 s while `missed` keys change.
struct ReplicationScale {
    std::size_t members = 30;
    std::size_t keys = 10'000;
    std::size_t missed = 20;
    std::uint64_t seed = 1;
};

struct ReplicationFigures {
    double rest_bytes_per_s = 0;       // a member, while nothing changes
    std::int64_t spread_ms = -1;       // one change, until every replica has it
    std::int64_t heal_ms = -1;         // the partition's healing, until all replicas are equal
    double heal_bytes_per_s = 0;       // a member, meanwhile
    std::int64_t catch_up_ms = -1;     // the member's return, until its replica is equal
    std::uint64_t catch_up_bytes = 0;  // sent to it meanwhile
    std::uint64_t snapshots = 0;
};
ReplicationFigures measure_replication(const ReplicationScale& scale);

}  // namespace silverrail::lab
