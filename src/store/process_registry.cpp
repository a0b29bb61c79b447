#include "store/process_registry.h"

#include <fcntl.h>

#include <cerrno>
#include <system_error>

namespace silverrail::store {

namespace {

constexpr int kSlots = 8;

struct flock lock_on(int slot) {
    struct flock lock{};
    lock.l_type = F_WRLCK;
    lock.l_whence = SEEK_SET;
    lock.l_start = slot;
    lock.l_len = 1;
    return lock;
}

}  // namespace

ProcessRegistry::ProcessRegistry(const std::string& path)
    : file_(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600)) {
    if (!file_)
        throw std::system_error(errno, std::generic_category(), path);
    for (int slot = 0; slot < kSlots && own_slot_ < 0; ++slot) {
        if (lock(slot))
            own_slot_ = slot;
    }
    if (own_slot_ < 0)
        throw std::system_error(errno, std::generic_category(), path);
}

bool ProcessRegistry::lock(int slot) {
    auto wanted = lock_on(slot);
    return ::fcntl(file_.get(), F_OFD_SETLK, &wanted) == 0;
}

std::size_t ProcessRegistry::processes() const {
    std::size_t count = 1;
    for (int slot = 0; slot < kSlots; ++slot) {
        if (slot == own_slot_)
            continue;  // a process does not conflict with its own lock
        auto conflict = lock_on(slot);
        // A slot that can't be queried counts as free.
        if (::fcntl(file_.get(), F_OFD_GETLK, &conflict) == 0 && conflict.l_type != F_UNLCK)
            ++count;
    }
    return count;
}

}  // namespace silverrail::store
