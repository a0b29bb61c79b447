// An optional subsystem, as the program starts and ends it. One that is off is not made at all.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

namespace silverrail::app {

// Figures as counters() gives them: "PREFIX.NAME VALUE", one a line.
inline std::string figure_lines(const std::string& prefix,
                                std::initializer_list<std::pair<const char*, std::uint64_t>> figures) {
    std::string out;
    for (const auto& [name, value] : figures)
        out += prefix + "." + name + " " + std::to_string(value) + "\n";
    return out;
}

// An optional subsystem that is on.
class Part {
public:
    virtual ~Part() = default;
    virtual void start() = 0;  // before the first call; throws what makes a start impossible
    virtual void stop() = 0;   // nothing comes in any more; what is open is finished elsewhere
    virtual void end() {}      // everything has been answered
    virtual void dump() {}     // SIGUSR2
    virtual std::string counters() {
        return {};
    }  // one "name value" a line
};

}  // namespace silverrail::app
