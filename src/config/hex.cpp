#include "config/hex.h"

#include <charconv>
#include <cstdio>

namespace silverrail::config {

namespace {

constexpr std::size_t kMaxDigits = 16;
constexpr int kBase = 16;

}  // namespace

std::optional<std::uint64_t> parse_hex(std::string_view text) {
    if (text.empty() || text.size() > kMaxDigits)
        return std::nullopt;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, kBase);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string hex_text(std::uint64_t value) {
    char digits[kMaxDigits + 1];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(value));
    return digits;
}

}  // namespace silverrail::config
