// A small file replaced as a whole: a reader, or a crash, finds the old one or the new one.
#pragma once

#include <string>
#include <string_view>

namespace silverrail::store {

// Writes beside it, syncs and renames; readable by its owner alone. Throws std::runtime_error, with the
// file's name, if that fails; then the old one stands. Two writers at once need a lock of their own.
void replace_file(const std::string& path, std::string_view bytes);

}  // namespace silverrail::store
