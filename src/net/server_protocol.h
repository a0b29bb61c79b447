// The servers' protocol: an attempt as an HTTP request, and a response as the attempt's outcome.
#pragma once

#include <string_view>

#include "core/types.h"
#include "net/asio.h"

namespace silverrail::net {

using ServerRequest = http::request<http::string_body>;
using ServerResponse = http::response<http::string_body>;

// `max_age`: of a cached object, as asked right before the first byte; 0: no bound. `remaining`: until the
// attempt's deadline.
ServerRequest server_request(const core::AttemptRequest& order, core::Span max_age, core::Span remaining);

// What a complete response means.
core::AttemptResult attempt_end(ServerResponse response);

// How the server came by the answer; `none` for a word that is not known.
core::CacheStatus parse_cache_status(std::string_view word);
// The server's name for a status; empty for `none`.
std::string_view cache_status_word(core::CacheStatus status);

// "NAME:VALUE;..."; fields that are not known or not numbers are skipped.
routing::LoadReport parse_load_report(std::string_view text);

}  // namespace silverrail::net
