// Records as JSON.
#pragma once

#include <json/json.h>

#include <cstdint>

#include "trace/model/records.h"

namespace silverrail::trace {

// Every field by the name that the trace format gives it; absent values are left out. `unix_ns`: the record's
// time by the Unix clock.
Json::Value json_of(const model::Record& record, std::int64_t unix_ns);

}  // namespace silverrail::trace
