// The keys and values of failover in the replicated state. The only place that knows their text.
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
std::optional<FailoverDecision> decode_decision(const std::string& text);

// "HEALTHY WARM".
std::string encode(ZoneHealth health);
std::optional<ZoneHealth> decode_zone_health(const std::string& text);

// "in" or "out"; not for none. Decoded: any other text is none.
std::string encode(FailoverOverride value);
FailoverOverride decode_override(const std::string& text);

}  // namespace silverrail::cluster
