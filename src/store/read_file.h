// A whole file read at once.
#pragma once

#include <cstddef>
#include <string>

namespace silverrail::store {

// The bytes of the file, `most` of them at the most. Throws std::system_error with the file's name if it
// can't be opened or read; a read that a signal interrupts is begun anew.
std::string read_file(const std::string& path, std::size_t most);

// Does an error of the system tell of this moment alone, so that the same call may work soon: no descriptors,
// buffers or memory, an interrupted or failed transfer, an address that is not there or not free yet?
bool is_momentary(int error);

}  // namespace silverrail::store
