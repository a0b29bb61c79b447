// The memory of this process as the system counts it.
#pragma once

#include <cstddef>
#include <optional>

namespace silverrail::app {

// Resident memory, read from /proc. Absent if it can't be read, and in a build with AddressSanitizer, whose
// own memory is not the program's.
std::optional<std::size_t> resident_memory_bytes();

}  // namespace silverrail::app
