// The program's log: lines on standard error, rate-limited by event name.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace silverrail {

class Log {
public:
    // At most `per_second` lines of one event a second; suppressed ones are counted on the event's next line.
    explicit Log(int per_second = 5) : per_second_(per_second) {}

    // `event` is one of the fixed names that docs/oncall.md lists; the rest is printf's.
    [[gnu::format(printf, 3, 4)]] void line(const char* event, const char* format, ...);

private:
    struct Window {
        std::chrono::steady_clock::time_point began{};
        int written = 0;
        std::uint64_t held_back = 0;
    };
    int per_second_;
    std::map<std::string, Window, std::less<>> windows_;
};

}  // namespace silverrail
