// What can be set of the membership protocol.
#pragma once

#include <cstddef>

#include "cluster/time.h"

namespace silverrail::cluster {

// Periods and factors; the defaults are memberlist's for a local network.
struct MembershipSettings {
    Time probe_interval{1000};
    Time probe_timeout{500};
    std::size_t indirect_probes = 3;          // helpers asked when a probe is not answered
    std::size_t retransmit_mult = 4;          // a record is sent retransmit_mult * log10(n + 1) times
    double suspicion_mult = 4;                // shortest suspicion: this * max(1, log10 n) * probe_interval
    double suspicion_max_mult = 6;            // longest: this * the shortest, with no confirmation
    std::size_t suspicion_confirmations = 3;  // independent ones after which the shortest applies
    std::size_t max_local_health = 8;         // Lifeguard's local health multiplier: 0 (healthy) to this
    Time push_pull_interval{30000};
    Time dead_retention{60000};           // how long a dead or left record is held
    std::size_t gossip_per_message = 14;  // records piggybacked on one datagram
    std::size_t gossip_fanout = 2;        // receivers of gossip each fifth of a probe interval
    std::size_t max_members = 4096;
};

}  // namespace silverrail::cluster
