// Which processes of one router run, told by locks on one file: each holds a byte of it. The kernel frees a
// lock whatever its holder dies of, so there is nothing to clean up and nothing that could be stale.
#pragma once

#include <cstddef>
#include <string>

namespace silverrail::store {

class Presence {
public:
    // Throws std::system_error, with the file's name, if the file can't be opened or locked.
    explicit Presence(const std::string& file);
    ~Presence();
    Presence(const Presence&) = delete;
    Presence& operator=(const Presence&) = delete;
    // How many hold a place, this process among them.
    std::size_t processes() const;

private:
    bool lock(int place);
    int file_ = -1;
    int place_ = -1;
};

}  // namespace silverrail::store
