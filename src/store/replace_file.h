// Atomic replacement of a small file: readers see either the old content or the new one, also after a crash.
#pragma once

#include <string>
#include <string_view>

namespace silverrail::store {

// Writes a temporary file next to `path`, syncs it and renames it. Only the owner can read the new file.
// Throws FileError with the path on failure; the old file is then unchanged, unless only the sync of the
// folder has failed. Concurrent callers must hold a lock.
void replace_file(const std::string& path, std::string_view bytes);

}  // namespace silverrail::store
