#include "store/read_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

#include "store/file_descriptor.h"

namespace silverrail::store {

namespace {

constexpr std::size_t kChunkBytes = std::size_t{64} * 1024;

constexpr std::array kTransientErrors{EMFILE, ENFILE, ENOBUFS, ENOMEM,        EINTR,
                                      EAGAIN, EIO,    ENOSPC,  EADDRNOTAVAIL, EADDRINUSE};

[[noreturn]] void fail(const std::string& path) {
    throw std::system_error(errno, std::generic_category(), "cannot read " + path);
}

}  // namespace

std::string read_file(const std::string& path, std::size_t max_bytes) {
    const FileDescriptor file{::open(path.c_str(), O_RDONLY | O_CLOEXEC)};
    if (!file)
        fail(path);
    std::string bytes;
    std::array<char, kChunkBytes> chunk{};
    while (bytes.size() < max_bytes) {
        const auto got = ::read(file.get(), chunk.data(), std::min(chunk.size(), max_bytes - bytes.size()));
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

bool is_transient(int error) {
    return std::ranges::find(kTransientErrors, error) != kTransientErrors.end();
}

}  // namespace silverrail::store
