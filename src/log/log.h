// Log lines on standard error, rate-limited per event name.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace silverrail {

// Not thread-safe. A suppressed line costs one map look-up by event name.
class Log {
public:
    // Writes at most `per_second` lines per second for each event. The next line of the event states how many
    // were suppressed.
    explicit Log(int per_second = 5) : per_second_(per_second) {}

    // Writes "EVENT TEXT". `event` is one of the fixed names listed in docs/oncall.md; the text is formatted
    // as by printf and truncated to 2 KB.
    [[gnu::format(printf, 3, 4)]] void line(const char* event, const char* format, ...);

private:
    struct RateWindow {
        std::chrono::steady_clock::time_point started_at{};
        int written = 0;
        std::uint64_t suppressed = 0;  // since the last written line
    };
    // Counts a line. Returns the number of lines suppressed since the last written one, or nothing if this
    // line must be suppressed as well.
    std::optional<std::uint64_t> count_line(const char* event);

    int per_second_;
    std::map<std::string, RateWindow, std::less<>> windows_;
};

}  // namespace silverrail
