#include "net/server_protocol.h"

#include <algorithm>
#include <array>

#include "config/number.h"
#include "config/word_table.h"

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
constexpr const char* kClientsTag = "Have";

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

// A longer wait for the source is no time at all.
constexpr double kMaxSourceWaitMs = 1e9;

constexpr std::pair<std::string_view, CacheStatus> kCacheStatusWords[] = {
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

// Fields of a load report, with the older names that some servers still use.
constexpr std::pair<std::string_view, std::optional<double> routing::LoadReport::*> kLoadFields[] = {
    {"inflight", &routing::LoadReport::in_flight}, {"concurrent", &routing::LoadReport::in_flight},
    {"util", &routing::LoadReport::utilisation},   {"load_share", &routing::LoadReport::utilisation},
    {"x0", &routing::LoadReport::hit_ratio},       {"x1", &routing::LoadReport::link_utilisation}};

// 0 if absent or no time.
std::int64_t parse_unix_ms(std::string_view text) {
    return std::max<std::int64_t>(0, parse_number<std::int64_t>(text).value_or(0));
}

core::Span parse_source_wait(std::string_view text) {
    const double ms = parse_number<double>(text).value_or(-1);
    const bool is_time = ms >= 0 && ms < kMaxSourceWaitMs;
    if (!is_time)
        return {};
    return std::chrono::duration_cast<core::Span>(std::chrono::duration<double, std::milli>{ms});
}

// At least 1, as 0 would stand for no bound.
std::string whole_ms(core::Span span) {
    return std::to_string(std::max<std::int64_t>(1, span / 1ms));
}

std::string attempt_flags(const core::AttemptRequest& order) {
    std::string flags;
    const auto add = [&flags](const char* flag) {
        if (!flags.empty())
            flags += '+';
        flags += flag;
    };
    if (order.coalesce)
        add(kJoinFill);
    if (order.only_if_cached)
        add(kOnlyIfCached);
    if (order.revalidate)
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

CacheStatus parse_cache_status(std::string_view word) {
    return config::find_word(kCacheStatusWords, word).value_or(CacheStatus::none);
}

std::string_view cache_status_word(CacheStatus status) {
    for (const auto& [word, known] : kCacheStatusWords)
        if (status == known)
            return word;
    return {};
}

routing::LoadReport parse_load_report(std::string_view text) {
    routing::LoadReport load;
    while (!text.empty()) {
        const auto end = std::min(text.find(';'), text.size());
        const std::string_view field = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto colon = field.find(':');
        if (colon == std::string_view::npos)
            continue;
        const double value = parse_number<double>(field.substr(colon + 1)).value_or(-1);
        if (value < 0)
            continue;
        if (const auto member = config::find_word(kLoadFields, field.substr(0, colon)))
            load.*(*member) = value;
    }
    return load;
}

ServerRequest server_request(const core::AttemptRequest& order, core::Span max_age, core::Span remaining) {
    const core::ClientRequest& call = *order.client_request;
    const std::string target =
        "/obj/" + call.class_name + "/" + call.object + "/" + std::to_string(call.segment);
    ServerRequest request{call.write ? http::verb::put : http::verb::get, target, kHttp11};
    request.set(http::field::host, order.address);
    request.set(kRequestId, call.trace_id);
    request.set(kDeadlineMs, whole_ms(remaining));
    // Without it a server could not tell a repeat from a new request.
    if (!call.idempotency_key.empty())
        request.set(kIdempotencyKey, call.idempotency_key);
    if (order.source)
        request.set(kFillSource, order.source->address);
    if (order.retention > 0)
        request.set(kRetentionPriority, std::to_string(order.retention));
    if (max_age > core::Span{})
        request.set(kMaxAgeMs, whole_ms(max_age));
    if (const std::string flags = attempt_flags(order); !flags.empty())
        request.set(kAttemptFlags, flags);
    if (!call.client_tag.empty())
        request.set(kClientsTag, call.client_tag);
    if (call.body)
        request.body() = *call.body;
    if (call.write)
        request.prepare_payload();
    return request;
}

AttemptResult attempt_end(ServerResponse response) {
    AttemptResult end;
    const bool never_ran = to_string_view(response[kNeverRan]) == "1";
    end.attempt_status = attempt_status(response.result_int(), never_ran);
    end.cache_status = parse_cache_status(to_string_view(response[kCacheStatus]));
    end.load = parse_load_report(to_string_view(response[kLoadReport]));
    end.source_wait = parse_source_wait(to_string_view(response[kSourceWaitMs]));
    if (end.attempt_status == AttemptStatus::success) {
        end.not_modified = response.result() == http::status::not_modified;
        end.tag = to_string_view(response[kTag]);
        end.generated_ms = parse_unix_ms(to_string_view(response[kMadeAtUnixMs]));
        end.body = std::move(response.body());
    }
    return end;
}

}  // namespace silverrail::net
