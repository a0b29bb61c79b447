// What a recorder is told at its start.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "trace/model/failure_trigger.h"
#include "trace/model/retention.h"

namespace silverrail::trace {

struct RecorderSettings {
    model::RetentionSettings retention{};
    std::int64_t flush_ns = 2'000'000'000;  // a record is written after that at the latest
    std::size_t queue_bytes = 4 << 20;
    std::size_t flight_bytes = 0;  // above 0: a flight recorder with so much memory
    model::FailureTriggerSettings trigger{};
    std::chrono::milliseconds retry{1000};  // pause after a write that failed
};

// Who records: the `RouterStarted` record of each file.
struct RecorderIdentity {
    std::string router_name;
    std::int64_t incarnation_unix_ns = 0;  // start of the process
    std::uint64_t seed = 0;
    std::string program;            // with its version
    std::string settings;           // configuration as JSON
    std::int64_t started_at = 0;    // ns of the monotonic clock
    std::int64_t clock_offset = 0;  // Unix time minus steady time, ns
};

}  // namespace silverrail::trace
