#include "store/replace_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>

namespace silverrail::store {

namespace {

// The new name lasts once its folder is on the disk. Throws where that is not so; the new file is there
// already.
void sync_folder(const std::string& path) {
    const auto slash = path.rfind('/');
    const std::string folder = slash == std::string::npos ? "." : path.substr(0, slash);
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0)
        throw std::runtime_error(folder + ": " + std::strerror(errno));
    const bool good = ::fsync(fd) == 0;
    const std::string why = std::strerror(errno);
    ::close(fd);
    if (!good)
        throw std::runtime_error(folder + ": " + why);
}

}  // namespace

void replace_file(const std::string& path, std::string_view bytes) {
    const std::string scratch = path + ".new";
    ::unlink(scratch.c_str());
    const int to = ::open(scratch.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
    if (to < 0)
        throw std::runtime_error(scratch + ": " + std::strerror(errno));
    bool good = ::fchmod(to, 0600) == 0;
    while (good && !bytes.empty()) {
        const auto put = ::write(to, bytes.data(), bytes.size());
        if (put < 0 && errno == EINTR)
            continue;
        good = put > 0;
        if (good)
            bytes.remove_prefix(static_cast<std::size_t>(put));
    }
    good = ::fsync(to) == 0 && good;
    good = ::close(to) == 0 && good;
    if (!good || std::rename(scratch.c_str(), path.c_str()) != 0) {
        const std::string why = std::strerror(errno);
        ::unlink(scratch.c_str());
        throw std::runtime_error(path + ": " + why);
    }
    sync_folder(path);
}

}  // namespace silverrail::store
