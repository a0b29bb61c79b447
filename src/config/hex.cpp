#include "config/hex.h"

#include <charconv>

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

}  // namespace silverrail::config
