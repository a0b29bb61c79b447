#include "store/read_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace silverrail::store {

namespace {

// Closes with its scope.
class Descriptor {
public:
    explicit Descriptor(int fd) : fd_(fd) {}
    ~Descriptor() {
        if (fd_ >= 0)
            ::close(fd_);
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    int get() const {
        return fd_;
    }

private:
    int fd_;
};

[[noreturn]] void fail(const std::string& path) {
    throw std::system_error(errno, std::generic_category(), "cannot read " + path);
}

}  // namespace

std::string read_file(const std::string& path, std::size_t most) {
    const Descriptor file{::open(path.c_str(), O_RDONLY | O_CLOEXEC)};
    if (file.get() < 0)
        fail(path);
    std::string bytes;
    std::array<char, 64 * 1024> chunk{};
    while (bytes.size() < most) {
        const auto got = ::read(file.get(), chunk.data(), std::min(chunk.size(), most - bytes.size()));
        if (got < 0 && errno == EINTR)
            continue;
        if (got < 0)
            fail(path);
        if (got == 0)
            break;
        bytes.append(chunk.data(), static_cast<std::size_t>(got));
    }
    return bytes;
}

bool is_momentary(int error) {
    constexpr std::array kErrors{EMFILE, ENFILE, ENOBUFS, ENOMEM,        EINTR,
                                 EAGAIN, EIO,    ENOSPC,  EADDRNOTAVAIL, EADDRINUSE};
    return std::find(kErrors.begin(), kErrors.end(), error) != kErrors.end();
}

}  // namespace silverrail::store
