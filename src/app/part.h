// An optional subsystem, as the program starts and ends it. One that is turned off is never made.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

namespace silverrail::app {

// Counters as text, "PREFIX.NAME VALUE", one a line.
inline std::string counter_lines(const std::string& prefix,
                                 std::initializer_list<std::pair<const char*, std::uint64_t>> figures) {
    std::string out;
    for (const auto& [name, value] : figures)
        out += prefix + "." + name + " " + std::to_string(value) + "\n";
    return out;
}

// All calls come on the event loop's thread, in the order start, stop, end.
class Part {
public:
    virtual ~Part() = default;
    // Before the first request. Throws what makes a start impossible.
    virtual void start() = 0;
    // Nothing new may enter from now on; requests that are open are finished elsewhere.
    virtual void stop() = 0;
    // Every request has been answered.
    virtual void end() {}
    // SIGUSR2: writes out what was recorded for diagnosis.
    virtual void dump() {}
    // One "name value" a line.
    virtual std::string counters() {
        return {};
    }
};

}  // namespace silverrail::app
