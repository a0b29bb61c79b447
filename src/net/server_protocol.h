// The HTTP protocol of the servers: encodes an attempt as a request, and decodes a response to the attempt's
// result.
#pragma once

#include <array>
#include <string_view>

#include "core/types.h"
#include "net/asio.h"

namespace silverrail::net {

// Refers to the body of its client request, which must outlive it.
using ServerRequest = http::request<http::span_body<const char>>;
using ServerResponse = http::response<http::string_body>;

// `max_age`: of a cached object, as determined right before the first byte is sent; 0: no limit. `remaining`:
// time until the attempt's deadline.
ServerRequest server_request(const core::AttemptRequest& attempt, core::Span max_age, core::Span remaining);

// The header fields of a response that attempt_result() reads.
extern const std::array<std::string_view, 6> kResponseFields;

// Converts a complete response to the result of its attempt.
core::AttemptResult attempt_result(ServerResponse response);

// How the server obtained the object, by the header's value; `none` if the value is unknown.
core::CacheStatus parse_cache_status(std::string_view name);
// The header's value for a status; empty for `none`.
std::string_view cache_status_name(core::CacheStatus status);

// Parses "NAME:VALUE;..."; skips fields that are unknown or not numbers.
routing::LoadReport parse_load_report(std::string_view header);

}  // namespace silverrail::net
