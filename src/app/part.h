// An optional subsystem, as the program starts and ends it. One that is off is not made at all.
#pragma once

#include <string>

namespace silverrail::app {

class Part {
public:
    virtual ~Part() = default;
    virtual void start() = 0;  // before the first call; throws what makes a start impossible
    virtual void stop() = 0;   // nothing comes in any more; what is open is finished elsewhere
    virtual void end() {}      // everything has been answered
    virtual void dump() {}     // SIGUSR2
    virtual std::string counters() { return {}; }  // one "name value" a line
};

}  // namespace silverrail::app
