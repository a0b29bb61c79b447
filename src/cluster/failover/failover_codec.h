// The keys and values of failover in the replicated state. No other code knows their format.
#pragma once

#include <optional>
#include <string>

#include "cluster/failover/failover_decision.h"
#include "cluster/failover/zone_health.h"

namespace silverrail::cluster {

std::string decision_key(const std::string& zone);
std::string override_key(const std::string& zone);
// The subject of reports on a zone's health.
std::string zone_subject(const std::string& zone);

// "EPOCH ZONE=PERCENT ...". Decoded: only a valid decision, without timestamp and writer.
std::string encode(const FailoverDecision& decision);
std::optional<FailoverDecision> decode_decision(const std::string& encoded);

// "HEALTHY WARM".
std::string encode(ZoneHealth health);
std::optional<ZoneHealth> decode_zone_health(const std::string& encoded);

// "in" or "out"; undefined for none. Decoded: any other string is none.
std::string encode(FailoverOverride value);
FailoverOverride decode_override(const std::string& encoded);

}  // namespace silverrail::cluster
