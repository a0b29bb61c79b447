// Replaces a small file as a whole: a reader, also after a crash, finds the old one or the new one.
#pragma once

#include <string>
#include <string_view>

namespace silverrail::store {

// Writes beside it, syncs and renames; readable by its owner alone. Throws FileError with its path if
// that fails; then the old one stands, unless only the sync of the folder failed. Concurrent writers need a
// lock of their own.
void replace_file(const std::string& path, std::string_view bytes);

}  // namespace silverrail::store
