// Reads a whole file into memory.
#pragma once

#include <cstddef>
#include <string>

namespace silverrail::store {

// Returns at most the first `max_bytes` bytes of the file. Throws std::system_error with its path if it can't
// be opened or read. Retries reads that are interrupted by a signal.
std::string read_file(const std::string& path, std::size_t max_bytes);

// Whether a system call that failed with this errno may succeed if it is retried soon: out of descriptors,
// buffers, memory or disk space, an interrupted or failed transfer, or an address that is not available yet.
bool is_transient(int error);

}  // namespace silverrail::store
