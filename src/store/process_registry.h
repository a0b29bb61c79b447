// Registry of the running processes of a router. Each process locks one byte of a shared file. The kernel
// releases the lock however the process ends, so entries need no cleanup and cannot outlive their process.
#pragma once

#include <cstddef>
#include <string>

#include "store/file_descriptor.h"

namespace silverrail::store {

class ProcessRegistry {
public:
    // Registers this process for the lifetime of the object. Throws std::system_error with the file's path if
    // the file can't be opened or all slots are taken.
    explicit ProcessRegistry(const std::string& path);
    // The number of registered processes, including this one.
    std::size_t processes() const;

private:
    bool lock(int slot);

    FileDescriptor file_;
    int own_slot_ = -1;
};

}  // namespace silverrail::store
