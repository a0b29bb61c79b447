// Settings of the membership protocol.
#pragma once

#include <cstddef>

#include "cluster/time.h"

namespace silverrail::cluster {

// Intervals, timeouts and multipliers. The defaults are those of HashiCorp's memberlist for a local network.
struct MembershipSettings {
    Time probe_interval{1000};
    Time probe_timeout{500};
    std::size_t indirect_probes = 3;  // helpers asked when a probe gets no ack
    std::size_t retransmit_mult = 4;  // a record is sent retransmit_mult * ceil(log10(n + 1)) times
    double suspicion_mult = 4;        // minimum suspicion timeout: this * max(1, log10 n) * probe_interval
    double suspicion_max_mult = 6;    // maximum (no confirmations): this * the minimum
    std::size_t suspicion_confirmations = 3;  // independent confirmations after which the minimum applies
    std::size_t max_local_health = 8;         // upper bound of Lifeguard's local health score (0 is healthy)
    Time push_pull_interval{30000};
    Time dead_retention{60000};           // how long the record of a dead or left member is kept
    std::size_t gossip_per_message = 14;  // most records piggybacked on one datagram
    std::size_t gossip_fanout = 2;        // members that gossip is sent to, every fifth of a probe interval
    std::size_t max_members = 4096;
};

}  // namespace silverrail::cluster
