#include "store/presence.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace silverrail::store {

namespace {

constexpr int kPlaces = 8;

struct flock byte_at(int place) {
    struct flock lock{};
    lock.l_type = F_WRLCK;
    lock.l_whence = SEEK_SET;
    lock.l_start = place;
    lock.l_len = 1;
    return lock;
}

}  // namespace

Presence::Presence(const std::string& file) {
    const auto failed = [&file] {
        return std::system_error(errno, std::generic_category(), file);
    };
    file_ = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600);
    if (file_ < 0)
        throw failed();
    for (int place = 0; place < kPlaces && place_ < 0; ++place)
        if (lock(place))
            place_ = place;
    if (place_ < 0) {
        const auto error = failed();
        ::close(file_);
        throw error;
    }
}

Presence::~Presence() {
    ::close(file_);
}

bool Presence::lock(int place) {
    auto wanted = byte_at(place);
    return ::fcntl(file_, F_OFD_SETLK, &wanted) == 0;
}

std::size_t Presence::processes() const {
    std::size_t count = 1;
    for (int place = 0; place < kPlaces; ++place) {
        auto held = byte_at(place);
        // Its own lock is no conflict. What can't be told counts as free.
        if (place != place_ && ::fcntl(file_, F_OFD_GETLK, &held) == 0 && held.l_type != F_UNLCK)
            ++count;
    }
    return count;
}

}  // namespace silverrail::store
