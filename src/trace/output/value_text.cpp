#include "trace/output/value_text.h"

#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>

#include "config/hex.h"
#include "trace/format/coding.h"

namespace silverrail::trace {

namespace ip = boost::asio::ip;

namespace {

constexpr std::int64_t kNsPerSecond = 1'000'000'000;

template <class Address>
std::string ip_address_text(std::string_view bytes) {
    typename Address::bytes_type address{};
    bytes.copy(reinterpret_cast<char*>(address.data()), address.size());
    return Address{address}.to_string();
}

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

// A number of a fixed count of digits; -1: they are not there.
int parse_digits(std::string_view text, std::size_t at, std::size_t count) {
    int value = 0;
    for (std::size_t i = at; i < at + count; ++i) {
        if (i >= text.size() || !is_digit(text[i]))
            return -1;
        value = value * 10 + (text[i] - '0');
    }
    return value;
}

bool in_range(int value, int min, int max) {
    return value >= min && value <= max;
}

// "2026-06-30", as days since 1970.
std::optional<std::int64_t> parse_date(std::string_view text) {
    constexpr int kMinYear = 1678;  // of those whose times in ns are within 64 bits
    constexpr int kMaxYear = 2261;
    const int year = parse_digits(text, 0, 4);
    const int month = parse_digits(text, 5, 2);
    const int day = parse_digits(text, 8, 2);
    if (!in_range(year, kMinYear, kMaxYear) || month < 0 || day < 0)
        return std::nullopt;
    const std::chrono::year_month_day date{std::chrono::year{year},
                                           std::chrono::month{static_cast<unsigned>(month)},
                                           std::chrono::day{static_cast<unsigned>(day)}};
    if (!date.ok())
        return std::nullopt;
    return std::chrono::sys_days{date}.time_since_epoch().count();
}

// "10:00:00" at a position, as seconds; a leap second may be named.
std::optional<std::int64_t> parse_time_of_day(std::string_view text, std::size_t at) {
    const int hour = parse_digits(text, at, 2);
    const int minute = parse_digits(text, at + 3, 2);
    const int second = parse_digits(text, at + 6, 2);
    if (!in_range(hour, 0, 23) || !in_range(minute, 0, 59) || !in_range(second, 0, 60))
        return std::nullopt;
    return std::int64_t{hour} * 3600 + std::int64_t{minute} * 60 + second;
}

// ".25" at the beginning of `text`, in ns; removes it from there. 0 if there is none.
std::optional<std::int64_t> parse_fraction(std::string_view& text) {
    if (!text.starts_with('.'))
        return 0;
    text.remove_prefix(1);
    if (text.empty() || !is_digit(text[0]))
        return std::nullopt;
    std::int64_t ns = 0;
    for (std::int64_t unit = kNsPerSecond / 10; !text.empty() && is_digit(text[0]); unit /= 10) {
        ns += (text[0] - '0') * unit;
        text.remove_prefix(1);
    }
    return ns;
}

// "Z" or "+10:00", as seconds east of UTC.
std::optional<std::int64_t> parse_zone(std::string_view text) {
    if (text == "Z" || text == "z")
        return 0;
    if (text.size() != 6 || (text[0] != '+' && text[0] != '-') || text[3] != ':')
        return std::nullopt;
    const int hours = parse_digits(text, 1, 2);
    const int minutes = parse_digits(text, 4, 2);
    if (!in_range(hours, 0, 23) || !in_range(minutes, 0, 59))
        return std::nullopt;
    const std::int64_t seconds = std::int64_t{hours} * 3600 + std::int64_t{minutes} * 60;
    return text[0] == '-' ? -seconds : seconds;
}

bool has_separators(std::string_view text) {
    return text[4] == '-' && text[7] == '-' && (text[10] == 'T' || text[10] == 't') && text[13] == ':' &&
           text[16] == ':';
}

}  // namespace

std::string address_text(std::string_view bytes) {
    constexpr std::size_t kPseudonymBytes = 8;
    if (bytes.size() == sizeof(ip::address_v4::bytes_type))
        return ip_address_text<ip::address_v4>(bytes);
    if (bytes.size() == sizeof(ip::address_v6::bytes_type))
        return ip_address_text<ip::address_v6>(bytes);
    if (bytes.size() == kPseudonymBytes)
        return std::string{"~"}.append(
            config::hex_text(u64_at(bytes)));  // not "~" + ...: GCC 12 warns (-Wrestrict)
    return {};
}

std::string time_text(std::int64_t unix_ns) {
    const std::int64_t second =
        unix_ns >= 0 ? unix_ns / kNsPerSecond : -((-unix_ns + kNsPerSecond - 1) / kNsPerSecond);
    const auto rest_us = static_cast<long long>((unix_ns - second * kNsPerSecond) / 1000);
    const std::time_t time = second;
    std::tm parts{};
    if (!::gmtime_r(&time, &parts))
        return std::to_string(unix_ns);
    char text[64];
    std::snprintf(text, sizeof text, "%04d-%02d-%02dT%02d:%02d:%02d.%06lldZ", parts.tm_year + 1900,
                  parts.tm_mon + 1, parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec, rest_us);
    return text;
}

std::optional<std::int64_t> parse_time(std::string_view text) {
    constexpr std::size_t kTimeAt = 11;
    constexpr std::size_t kFractionAt = 19;
    if (text.size() <= kFractionAt || !has_separators(text))
        return std::nullopt;
    const auto days = parse_date(text);
    const auto seconds = parse_time_of_day(text, kTimeAt);
    std::string_view rest = text.substr(kFractionAt);
    const auto fraction_ns = parse_fraction(rest);
    const auto zone = parse_zone(rest);
    if (!days || !seconds || !fraction_ns || !zone)
        return std::nullopt;
    return (*days * 86'400 + *seconds - *zone) * kNsPerSecond + *fraction_ns;
}

}  // namespace silverrail::trace
