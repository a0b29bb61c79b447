// Which processes of one router are running, by locks on one file: each process holds a byte of it. The
// kernel releases a lock however its holder ends, so nothing needs cleaning up and nothing can be stale.
#pragma once

#include <cstddef>
#include <string>

#include "store/file_descriptor.h"

namespace silverrail::store {

class ProcessRegistry {
public:
    // Registers this process for the lifetime of the object. Throws std::system_error, with the file's path,
    // if the file can't be opened or has no free place.
    explicit ProcessRegistry(const std::string& path);
    // How many are registered, this process among them.
    std::size_t processes() const;

private:
    bool lock(int place);

    FileDescriptor file_;
    int own_place_ = -1;
};

}  // namespace silverrail::store
