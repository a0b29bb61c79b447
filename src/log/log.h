// The program's log: lines on standard error, rate-limited by event name.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace silverrail {

// Used on one thread only. Cost of a suppressed line: one look-up by the event's name.
class Log {
public:
    // At most `per_second` lines of one event a second; suppressed ones are counted on the event's next line.
    explicit Log(int per_second = 5) : per_second_(per_second) {}

    // Writes "EVENT TEXT". `event` is one of the fixed names that docs/oncall.md lists; the rest is printf's.
    // A longer text than 2 KB is cut.
    [[gnu::format(printf, 3, 4)]] void line(const char* event, const char* format, ...);

private:
    struct RateWindow {
        std::chrono::steady_clock::time_point started_at{};
        int written = 0;
        std::uint64_t suppressed = 0;  // since the last line that was written
    };
    // Counts a line. Returns how many were suppressed before it, or nothing if this one is too.
    std::optional<std::uint64_t> count_line(const char* event);

    int per_second_;
    std::map<std::string, RateWindow, std::less<>> windows_;
};

}  // namespace silverrail
