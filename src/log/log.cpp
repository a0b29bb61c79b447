#include "log/log.h"

#include <array>
#include <cstdarg>
#include <cstdio>
#include <utility>

namespace silverrail {

namespace {

constexpr std::chrono::seconds kRateWindow{1};
constexpr std::size_t kMaxTextBytes = 2048;

}  // namespace

std::optional<std::uint64_t> Log::count_line(const char* event) {
    const auto now = std::chrono::steady_clock::now();
    RateWindow& window = windows_[event];
    if (window.written == 0 || now - window.started_at >= kRateWindow) {
        window.started_at = now;
        window.written = 0;
    }
    if (window.written >= per_second_) {
        ++window.suppressed;
        return std::nullopt;
    }
    ++window.written;
    return std::exchange(window.suppressed, 0);
}

void Log::line(const char* event, const char* format, ...) {
    const auto suppressed = count_line(event);
    if (!suppressed)
        return;
    std::array<char, kMaxTextBytes> text{};
    va_list values;
    va_start(values, format);
    std::vsnprintf(text.data(), text.size(), format, values);
    va_end(values);
    if (*suppressed > 0)
        std::fprintf(stderr, "%s %s (%llu suppressed)\n", event, text.data(),
                     static_cast<unsigned long long>(*suppressed));
    else
        std::fprintf(stderr, "%s %s\n", event, text.data());
}

}  // namespace silverrail
