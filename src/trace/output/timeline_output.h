// Requests' timelines as JSON and as text, for people and for other tools.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <string>

#include "trace/model/request_timeline.h"

namespace silverrail::trace {

// What a timeline refers to by number, and its routers' clocks.
struct Names {
    std::function<std::string(std::uint32_t router_index)> router;
    std::function<std::string(std::uint32_t router_index, std::uint64_t class_index)> class_name;
    std::function<std::int64_t(std::uint32_t router_index, std::int64_t at)> unix_ns;
};

Json::Value json_of(const model::RequestTimeline& timeline, const Names& names);
// A line for the request and one for each attempt.
std::string text_of(const model::RequestTimeline& timeline, const Names& names);

}  // namespace silverrail::trace
