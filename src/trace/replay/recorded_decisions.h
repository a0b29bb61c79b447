// The decision module's events and actions, made from the records of a trace. The inverse of what
// `TraceObserver` records.
#pragma once

#include <cstdint>

#include "silverrail/routing/router.h"
#include "trace/model/records.h"

namespace silverrail::trace {

// A time of a record: ns of the router's monotonic clock.
routing::Time time_of(std::int64_t ns);

// `at`: the record's time, from which the deadline counts.
routing::Request request_event(const model::RequestReceived& record, std::int64_t at);
routing::Outcome outcome_event(const model::AttemptEnded& record);
routing::Purge purge_event(const model::PurgeReceived& record);
routing::ListedServer listed_server(const model::ServerListEntry& record);

routing::Send send_action(const model::AttemptSent& record);
routing::Cancel cancel_action(const model::AttemptCancelled& record);
routing::Reject reject_action(const model::RequestRejected& record);
routing::Fail fail_action(const model::RequestFailed& record);
routing::SetTimer timer_action(const model::TimerSet& record);

}  // namespace silverrail::trace
