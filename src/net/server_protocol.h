// The HTTP protocol of the servers: encodes an attempt as a request, and decodes a response to the attempt's
// result.
#pragma once

#include <string_view>

#include "core/types.h"
#include "net/asio.h"

namespace silverrail::net {

using ServerRequest = http::request<http::string_body>;
using ServerResponse = http::response<http::string_body>;

// `max_age`: of a cached object, as determined right before the first byte is sent; 0: no limit. `remaining`:
// time until the attempt's deadline.
ServerRequest server_request(const core::AttemptRequest& attempt, core::Span max_age, core::Span remaining);

// Converts a complete response to the result of its attempt.
core::AttemptResult attempt_result(ServerResponse response);

// How the server obtained the object, by the header's value; `none` if the value is unknown.
core::CacheStatus parse_cache_status(std::string_view name);
// The header's value for a status; empty for `none`.
std::string_view cache_status_name(core::CacheStatus status);

// Parses "NAME:VALUE;..."; skips fields that are unknown or not numbers.
routing::LoadReport parse_load_report(std::string_view header);

}  // namespace silverrail::net
