// Decides inside a router's process which system calls fail, by the fault control block that the process was
// started with. Without one no call fails. May be used by any thread.
#pragma once

#include <ctime>

#include "lab/faults/control.h"

namespace silverrail::lab {

// Whether the process was started with a fault control block.
bool faults_are_ordered();

// Whether this call fails in this way, as one of those that have to, or by chance. Counts it if so.
bool draw_fault(CallFault fault);

// Moves a time of the wall clock by the step that is ordered.
void step_wall_clock(timespec& time);

}  // namespace silverrail::lab
