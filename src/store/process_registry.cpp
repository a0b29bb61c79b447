#include "store/process_registry.h"

#include <fcntl.h>

#include <cerrno>
#include <system_error>

namespace silverrail::store {

namespace {

constexpr int kPlaces = 8;

struct flock lock_on(int place) {
    struct flock lock{};
    lock.l_type = F_WRLCK;
    lock.l_whence = SEEK_SET;
    lock.l_start = place;
    lock.l_len = 1;
    return lock;
}

}  // namespace

ProcessRegistry::ProcessRegistry(const std::string& path)
    : file_(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600)) {
    if (!file_)
        throw std::system_error(errno, std::generic_category(), path);
    for (int place = 0; place < kPlaces && own_place_ < 0; ++place) {
        if (lock(place))
            own_place_ = place;
    }
    if (own_place_ < 0)
        throw std::system_error(errno, std::generic_category(), path);
}

bool ProcessRegistry::lock(int place) {
    auto wanted = lock_on(place);
    return ::fcntl(file_.get(), F_OFD_SETLK, &wanted) == 0;
}

std::size_t ProcessRegistry::processes() const {
    std::size_t count = 1;
    for (int place = 0; place < kPlaces; ++place) {
        if (place == own_place_)
            continue;  // one's own lock is no conflict
        auto conflict = lock_on(place);
        // A place that can't be examined counts as free.
        if (::fcntl(file_.get(), F_OFD_GETLK, &conflict) == 0 && conflict.l_type != F_UNLCK)
            ++count;
    }
    return count;
}

}  // namespace silverrail::store
