#include "net/server_protocol.h"

#include <algorithm>
#include <array>

#include "config/keyword_table.h"
#include "config/number.h"

namespace silverrail::net {

namespace {

using config::parse_number;
using core::AttemptResult;
using core::AttemptStatus;
using core::CacheStatus;
using namespace std::chrono_literals;

constexpr unsigned kHttp11 = 11;

// Request headers.
constexpr const char* kRequestId = "Call-Id";
constexpr const char* kDeadlineMs = "Call-Ms";
constexpr const char* kIdempotencyKey = "Call-Once";
constexpr const char* kFillSource = "Miss-To";
constexpr const char* kRetentionPriority = "Store-As";
constexpr const char* kMaxAgeMs = "No-Older-Than";
constexpr const char* kAttemptFlags = "Handling";
constexpr const char* kClientTag = "Have";

// Flags of kAttemptFlags, joined by '+'.
constexpr const char* kJoinFill = "j";
constexpr const char* kOnlyIfCached = "h";
constexpr const char* kRevalidate = "r";

// Response headers.
constexpr const char* kNeverRan = "Not-Begun";
constexpr const char* kCacheStatus = "Detail";
constexpr const char* kLoadReport = "Backend-Load";
constexpr const char* kSourceWaitMs = "Fill-Wait";
constexpr const char* kTag = "Tag";
constexpr const char* kMadeAtUnixMs = "Made-At";

// A header with a longer wait for the source is taken as invalid.
constexpr double kMaxSourceWaitMs = 1e9;

constexpr std::pair<std::string_view, CacheStatus> kCacheStatusNames[] = {
    {"hit", CacheStatus::hit},
    {"filled", CacheStatus::filled},
    {"via_origin", CacheStatus::filled_from_origin},
    {"joined", CacheStatus::coalesced},
    {"stale", CacheStatus::stale},
    {"src_refused", CacheStatus::source_rejected},
    {"src_broke", CacheStatus::source_unreachable},
    {"src_lacks", CacheStatus::source_missing},
    {"no_slot", CacheStatus::no_fill_slot},
    {"origin_failed", CacheStatus::origin_failed}};

// Fields of a load report, including the older names that some servers still use.
constexpr std::pair<std::string_view, std::optional<double> routing::LoadReport::*> kLoadFields[] = {
    {"inflight", &routing::LoadReport::in_flight}, {"concurrent", &routing::LoadReport::in_flight},
    {"util", &routing::LoadReport::utilisation},   {"load_share", &routing::LoadReport::utilisation},
    {"x0", &routing::LoadReport::hit_ratio},       {"x1", &routing::LoadReport::link_utilisation}};

// Returns 0 if the header is absent or not a time.
std::int64_t parse_unix_ms(std::string_view header) {
    return std::max<std::int64_t>(0, parse_number<std::int64_t>(header).value_or(0));
}

core::Span parse_source_wait(std::string_view header) {
    const double ms = parse_number<double>(header).value_or(-1);
    const bool valid = ms >= 0 && ms < kMaxSourceWaitMs;
    if (!valid)
        return {};
    return std::chrono::duration_cast<core::Span>(std::chrono::duration<double, std::milli>{ms});
}

// At least 1, as 0 would mean no limit.
std::string whole_ms(core::Span span) {
    return std::to_string(std::max<std::int64_t>(1, span / 1ms));
}

std::string attempt_flags(const core::AttemptRequest& attempt) {
    std::string flags;
    const auto add = [&flags](const char* flag) {
        if (!flags.empty())
            flags += '+';
        flags += flag;
    };
    if (attempt.coalesce)
        add(kJoinFill);
    if (attempt.only_if_cached)
        add(kOnlyIfCached);
    if (attempt.revalidate)
        add(kRevalidate);
    return flags;
}

AttemptStatus attempt_status(unsigned http_status, bool never_ran) {
    switch (http_status) {
        case 200:
        case 304:
            return AttemptStatus::success;
        case 404:
            return AttemptStatus::miss;
        case 503:
            return never_ran ? AttemptStatus::overloaded : AttemptStatus::error;
        case 504:
            return never_ran ? AttemptStatus::not_sent : AttemptStatus::error;
        default:
            return AttemptStatus::error;
    }
}

}  // namespace

const std::array<std::string_view, 6> kResponseFields{kNeverRan,     kCacheStatus, kLoadReport,
                                                      kSourceWaitMs, kTag,         kMadeAtUnixMs};

CacheStatus parse_cache_status(std::string_view name) {
    return config::find_keyword(kCacheStatusNames, name).value_or(CacheStatus::none);
}

std::string_view cache_status_name(CacheStatus status) {
    for (const auto& [name, known_status] : kCacheStatusNames)
        if (status == known_status)
            return name;
    return {};
}

routing::LoadReport parse_load_report(std::string_view header) {
    routing::LoadReport load;
    while (!header.empty()) {
        const auto end = std::min(header.find(';'), header.size());
        const std::string_view field = header.substr(0, end);
        header.remove_prefix(std::min(end + 1, header.size()));
        const auto colon = field.find(':');
        if (colon == std::string_view::npos)
            continue;
        const double value = parse_number<double>(field.substr(colon + 1)).value_or(-1);
        if (value < 0)
            continue;
        if (const auto member = config::find_keyword(kLoadFields, field.substr(0, colon)))
            load.*(*member) = value;
    }
    return load;
}

ServerRequest server_request(const core::AttemptRequest& attempt, core::Span max_age, core::Span remaining) {
    const core::ClientRequest& client_request = *attempt.client_request;
    const std::string target = "/obj/" + client_request.class_name + "/" + client_request.object + "/" +
                               std::to_string(client_request.segment);
    ServerRequest request{client_request.write ? http::verb::put : http::verb::get, target, kHttp11};
    request.set(http::field::host, attempt.address);
    request.set(kRequestId, client_request.trace_id);
    request.set(kDeadlineMs, whole_ms(remaining));
    // Without the key, a server could not tell a retry from a new request.
    if (!client_request.idempotency_key.empty())
        request.set(kIdempotencyKey, client_request.idempotency_key);
    if (attempt.source)
        request.set(kFillSource, attempt.source->address);
    if (attempt.retention > 0)
        request.set(kRetentionPriority, std::to_string(attempt.retention));
    if (max_age > core::Span{})
        request.set(kMaxAgeMs, whole_ms(max_age));
    if (const std::string flags = attempt_flags(attempt); !flags.empty())
        request.set(kAttemptFlags, flags);
    if (!client_request.client_tag.empty())
        request.set(kClientTag, client_request.client_tag);
    if (client_request.body)
        request.body() = {client_request.body->data(), client_request.body->size()};
    if (client_request.write)
        request.prepare_payload();
    return request;
}

AttemptResult attempt_result(ServerResponse response) {
    AttemptResult result;
    const bool never_ran = to_string_view(response[kNeverRan]) == "1";
    result.attempt_status = attempt_status(response.result_int(), never_ran);
    result.cache_status = parse_cache_status(to_string_view(response[kCacheStatus]));
    result.load = parse_load_report(to_string_view(response[kLoadReport]));
    result.source_wait = parse_source_wait(to_string_view(response[kSourceWaitMs]));
    if (result.attempt_status == AttemptStatus::success) {
        result.not_modified = response.result() == http::status::not_modified;
        result.tag = to_string_view(response[kTag]);
        result.generated_ms = parse_unix_ms(to_string_view(response[kMadeAtUnixMs]));
        result.body = std::move(response.body());
    }
    return result;
}

}  // namespace silverrail::net
