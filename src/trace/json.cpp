#include "trace/json.h"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <cstdio>
#include <cstring>

#include "trace/format/coding.h"
#include "trace/model/enum_names.h"

namespace silverrail::trace {

using namespace model;

namespace {

Json::Value number(std::int64_t v) {
    return Json::Value{Json::Int64{v}};
}

double ms(std::int64_t ns) {
    return static_cast<double>(ns) / 1e6;
}

std::string ms_text(std::int64_t ns) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f ms", ms(ns));
    return text;
}

std::string trace_text(const RequestTimeline& s) {
    return s.client_request_id.empty() ? hex(s.received.client_request_number)
                                       : std::string{s.client_request_id.text()};
}

std::string_view outcome_word(const RequestTimeline& s) {
    if (s.closed_at == kNoTime)
        return "open";
    return s.client_closed ? std::string_view{"abandoned"} : enum_name(kResponseKindNames, s.response_kind);
}

}  // namespace

std::string hex(std::uint64_t value) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

std::string address_text(std::string_view bytes) {
    namespace ip = boost::asio::ip;
    if (bytes.size() == 4) {
        ip::address_v4::bytes_type b;
        std::memcpy(b.data(), bytes.data(), b.size());
        return ip::address_v4{b}.to_string();
    }
    if (bytes.size() == 16) {
        ip::address_v6::bytes_type b;
        std::memcpy(b.data(), bytes.data(), b.size());
        return ip::address_v6{b}.to_string();
    }
    if (bytes.size() == 8)
        return "~" + hex(u64_at(bytes));
    return {};
}

std::string time_text(std::int64_t unix_ns) {
    const std::int64_t second =
        unix_ns >= 0 ? unix_ns / 1'000'000'000 : -((-unix_ns + 999'999'999) / 1'000'000'000);
    const auto rest = static_cast<long long>(unix_ns - second * 1'000'000'000);
    const std::time_t t = second;
    std::tm parts{};
    if (!::gmtime_r(&t, &parts))
        return std::to_string(unix_ns);
    char text[64];
    std::snprintf(text, sizeof text, "%04d-%02d-%02dT%02d:%02d:%02d.%06lldZ", parts.tm_year + 1900,
                  parts.tm_mon + 1, parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec, rest / 1000);
    return text;
}

std::optional<std::int64_t> parse_time(std::string_view text) {
    const auto digits = [&text](std::size_t at, std::size_t n) -> int {
        int v = 0;
        for (std::size_t i = at; i < at + n; ++i) {
            if (i >= text.size() || text[i] < '0' || text[i] > '9')
                return -1;
            v = v * 10 + (text[i] - '0');
        }
        return v;
    };
    if (text.size() < 20 || text[4] != '-' || text[7] != '-' || (text[10] != 'T' && text[10] != 't') ||
        text[13] != ':' || text[16] != ':')
        return std::nullopt;
    const int year = digits(0, 4), month = digits(5, 2), day = digits(8, 2);
    const int hour = digits(11, 2), minute = digits(14, 2), second = digits(17, 2);
    if (year < 1678 || year > 2261 || month < 0 || day < 0 || hour < 0 || hour > 23 || minute < 0 ||
        minute > 59 || second < 0 || second > 60)
        return std::nullopt;
    const std::chrono::year_month_day date{std::chrono::year{year},
                                           std::chrono::month{static_cast<unsigned>(month)},
                                           std::chrono::day{static_cast<unsigned>(day)}};
    if (!date.ok())
        return std::nullopt;
    std::int64_t ns = 0;
    std::size_t at = 19;
    if (text[at] == '.') {
        const std::size_t from = ++at;
        std::int64_t unit = 100'000'000;
        for (; at < text.size() && text[at] >= '0' && text[at] <= '9'; ++at, unit /= 10)
            ns += (text[at] - '0') * unit;
        if (at == from)
            return std::nullopt;
    }
    std::int64_t zone = 0;
    if (at >= text.size())
        return std::nullopt;
    if (text[at] == 'Z' || text[at] == 'z') {
        if (at + 1 != text.size())
            return std::nullopt;
    } else {
        if ((text[at] != '+' && text[at] != '-') || text.size() != at + 6 || text[at + 3] != ':')
            return std::nullopt;
        const int h = digits(at + 1, 2), m = digits(at + 4, 2);
        if (h < 0 || h > 23 || m < 0 || m > 59)
            return std::nullopt;
        zone = (text[at] == '-' ? -1 : 1) * (h * 3600 + m * 60);
    }
    const auto days = std::chrono::sys_days{date}.time_since_epoch().count();
    return (std::int64_t{days} * 86400 + hour * 3600 + minute * 60 + second - zone) * 1'000'000'000 + ns;
}

Json::Value json_of(const Record& record, std::int64_t unix_ns) {
    Json::Value out;
    out["type"] = type_name(record.body);
    out["time"] = time_text(unix_ns);
    out["at"] = number(record.at);
    out["source"] = record.router_index;
    std::visit(
        [&out](const auto& body) {
            using T = std::decay_t<decltype(body)>;
            T::fields(body, [&out](const char* name, const auto& value, Encoding) {
                using F = std::decay_t<decltype(value)>;
                const std::string_view n = name;
                if constexpr (std::is_same_v<F, Text>) {
                    out[name] = n == "client" ? address_text(value) : std::string{value};
                } else if constexpr (std::is_same_v<F, bool>) {
                    out[name] = value;
                } else if constexpr (std::is_same_v<F, double>) {
                    if (!std::isnan(value))
                        out[name] = value;
                } else if constexpr (std::is_same_v<F, std::uint8_t>) {
                    if (n == "ending")
                        out[name] = std::string{enum_name(kAttemptStatusNames, value)};
                    else if (n == "note")
                        out[name] = std::string{enum_name(kCacheStatusNames, value)};
                    else if (n == "kind")
                        out[name] = std::string{enum_name(kResponseKindNames, value)};
                    else if (n == "condition")
                        out[name] = std::string{enum_name(kConditionNames, value)};
                    else if (n == "front")
                        out[name] = std::string{enum_name(kFrontNames, value)};
                    else if (n == "verdict")
                        out[name] = std::string{enum_name(kVerdictNames, value)};
                    else
                        out[name] = value;
                } else if constexpr (std::is_same_v<F, std::int64_t>) {
                    if (value != kNoTime)
                        out[name] = number(value);
                } else {
                    if (n == "object" || n == "trace_id" || n == "seed")
                        out[name] = hex(value);
                    else
                        out[name] = Json::Value{Json::UInt64{value}};
                }
            });
        },
        record.body);
    return out;
}

Json::Value json_of(const RequestTimeline& s, const Names& names) {
    Json::Value out;
    out["router"] = names.router(s.router_index);
    out["call"] = Json::Value{Json::UInt64{s.request}};
    out["outcome"] = std::string{outcome_word(s)};
    if (s.received_at != kNoTime) {
        out["taken"] = time_text(names.unix_ns(s.router_index, s.received_at));
        out["before"] = s.open_at_start;
        out["trace"] = trace_text(s);
        out["client"] = address_text(s.client.text());
        out["front"] = std::string{enum_name(kFrontNames, s.received.front)};
        out["class"] = names.class_name(s.router_index, s.received.class_index);
        out["object"] = hex(s.received.object);
        out["part"] = Json::Value{Json::UInt64{s.received.part}};
        if (s.received.group_known)
            out["lot"] = Json::Value{Json::UInt64{s.received.group}};
        out["size_kb"] = s.received.size_kb;
        out["wait_ms"] = ms(s.received.time_to_deadline);
        out["write"] = s.received.write;
        out["has_copy"] = s.has_copy;
    }
    out["attempts"] = Json::Value{Json::arrayValue};
    for (const AttemptTimeline& a : s.attempts) {
        Json::Value j;
        j["attempt"] = Json::Value{Json::UInt64{a.number}};
        if (a.sent_at != kNoTime) {
            j["sent"] = time_text(names.unix_ns(s.router_index, a.sent_at));
            j["box"] = std::string{a.target.text()};
            if (a.fills) {
                j["source"] = std::string{a.fill_source.text()};
                j["rank"] = a.retention;
                j["held_only"] = a.only_if_cached;
                if (a.max_age > 0)
                    j["oldest_ms"] = ms(a.max_age);
            }
            if (a.timeout > 0)
                j["timeout_ms"] = ms(a.timeout);
        }
        if (a.first_byte_at != kNoTime)
            j["first_byte"] = std::string{enum_name(kVerdictNames, a.first_byte_verdict)};
        if (a.ended_at != kNoTime) {
            j["ending"] = std::string{enum_name(kAttemptStatusNames, a.attempt_status)};
            j["took_ms"] = ms(a.duration);
            if (a.cache_status)
                j["note"] = std::string{enum_name(kCacheStatusNames, a.cache_status)};
            if (a.fill_wait > 0)
                j["source_wait_ms"] = ms(a.fill_wait);
        }
        out["attempts"].append(std::move(j));
    }
    if (s.closed_at != kNoTime) {
        out["closed"] = time_text(names.unix_ns(s.router_index, s.closed_at));
        if (s.received_at != kNoTime)
            out["took_ms"] = ms(s.duration());
    }
    if (s.answered()) {
        out["timed_out"] = s.timed_out;
        out["bytes"] = Json::Value{Json::UInt64{s.response_bytes}};
        if (s.retry_after > 0)
            out["hold_off_ms"] = ms(s.retry_after);
        if (!s.server.empty())
            out["named"] = std::string{s.server.text()};
    }
    return out;
}

std::string text_of(const RequestTimeline& s, const Names& names) {
    const bool seen = s.received_at != kNoTime;
    std::string out =
        seen ? time_text(names.unix_ns(s.router_index, s.received_at)) : std::string{"(taken earlier)"};
    out += ' ' + names.router(s.router_index);
    if (seen) {
        out += ' ' + names.class_name(s.router_index, s.received.class_index) + ' ' + hex(s.received.object) +
               '/' + std::to_string(s.received.part) + " id " + trace_text(s);
        if (const std::string client = address_text(s.client.text()); !client.empty())
            out += " from " + client;
        if (s.open_at_start)
            out += " (open at the begin)";
    } else {
        out += " call " + std::to_string(s.request);
    }
    out += ": ";
    out += outcome_word(s);
    if (s.not_admitted())
        out += " at the door";
    if (s.answered() && s.response_bytes > 0)
        out += ", " + std::to_string(s.response_bytes) + " bytes";
    if (s.answered() && s.retry_after > 0)
        out += ", come back in " + ms_text(s.retry_after);
    if (s.answered() && s.timed_out)
        out += ", past its deadline";
    if (!s.server.empty())
        out += ", named " + std::string{s.server.text()};
    if (s.duration() != kNoTime)
        out += ", after " + ms_text(s.duration());
    out += '\n';
    for (const AttemptTimeline& a : s.attempts) {
        out += "    attempt " + std::to_string(a.number);
        if (a.sent_at != kNoTime) {
            if (seen)
                out += " +" + ms_text(a.sent_at - s.received_at);
            out += " to " + std::string{a.target.text()};
            if (!a.fills)
                out += ", a plain look";
            else if (a.fill_source.text() == a.target.text())
                out += ", no fill";
            else
                out += ", fill from " + std::string{a.fill_source.text()} + " at rank " +
                       std::to_string(a.retention);
            if (a.max_age > 0)
                out += ", no older than " + ms_text(a.max_age);
            if (a.timeout > 0)
                out += ", for " + ms_text(a.timeout);
        }
        if (a.first_byte_at != kNoTime && a.first_byte_verdict != FirstByteDue::written)
            out += ", " + std::string{enum_name(kVerdictNames, a.first_byte_verdict)} + " at its first byte";
        if (a.ended_at == kNoTime) {
            out += ": still out\n";
            continue;
        }
        out += ": ";
        out += enum_name(kAttemptStatusNames, a.attempt_status);
        if (a.cache_status)
            out += " (" + std::string{enum_name(kCacheStatusNames, a.cache_status)} + ")";
        out += " after " + ms_text(a.duration);
        if (a.fill_wait > 0)
            out += ", waited " + ms_text(a.fill_wait) + " for the source";
        out += '\n';
    }
    return out;
}

}  // namespace silverrail::trace
