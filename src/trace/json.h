// Records and calls as JSON and as text, for people and for other tools.
#pragma once

#include <json/json.h>

#include <functional>
#include <optional>
#include <string>

#include "trace/model/effective_state.h"
#include "trace/model/request_timeline.h"

namespace silverrail::trace {

std::string hex(std::uint64_t value);  // 16 digits
// An address of 4 or 16 bytes in its usual form; a pseudonym of 8 as `~` and 16 digits; nothing for none.
std::string address_text(std::string_view bytes);
std::string time_text(std::int64_t unix_ns);  // RFC 3339, UTC, to the microsecond
// RFC 3339, with any fraction and offset. Absent: it is not.
std::optional<std::int64_t> parse_time(std::string_view text);

// Every field by its name; a whole record on one line of JSON is the baseline that files are measured
// against.
Json::Value json_of(const model::Record& record, std::int64_t unix_ns);

// What is needed to put a story into words.
struct Names {
    std::function<std::string(std::uint32_t source)> router;
    std::function<std::string(std::uint32_t source, std::uint64_t class_index)> class_name;
    std::function<std::int64_t(std::uint32_t source, std::int64_t at)> unix_ns;
};
Json::Value json_of(const model::RequestTimeline& timeline, const Names& names);
std::string text_of(const model::RequestTimeline& timeline,
                    const Names& names);  // a line for the call and one each attempt

}  // namespace silverrail::trace
