// Reads a whole file at once.
#pragma once

#include <cstddef>
#include <string>

namespace silverrail::store {

// The file's bytes, at most `max_bytes` of them. Throws std::system_error with its path if it can't be opened
// or read; a read that a signal interrupts is repeated.
std::string read_file(const std::string& path, std::size_t max_bytes);

// Whether the same call may succeed soon after this errno: no descriptors, buffers or memory, an interrupted
// or failed transfer, an address that is not available yet.
bool is_transient(int error);

}  // namespace silverrail::store
