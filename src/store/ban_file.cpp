#include "store/ban_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "store/replace_file.h"

namespace silverrail::store {

namespace {

constexpr std::size_t kMostBytes = 256 * 1024;
// Another process holds the lock for one write; its holder may be stopped, though, and nobody waits for that.
constexpr int kTries = 20;
constexpr useconds_t kBetweenTries = 2'000;

std::runtime_error failed(const std::string& file, const char* at) {
    return std::runtime_error(file + ": " + at + ": " + std::strerror(errno));
}

class File {
public:
    File(const std::string& name, int flags)
        : fd_(::open(name.c_str(), flags | O_CLOEXEC | O_NOFOLLOW, 0600)) {}
    ~File() {
        if (fd_ >= 0)
            ::close(fd_);
    }
    File(const File&) = delete;
    File& operator=(const File&) = delete;
    int fd() const {
        return fd_;
    }
    explicit operator bool() const {
        return fd_ >= 0;
    }

private:
    int fd_;
};

bool lock(int fd) {
    for (int i = 0; i < kTries; ++i) {
        if (::flock(fd, LOCK_EX | LOCK_NB) == 0)
            return true;
        if (errno != EWOULDBLOCK && errno != EINTR)
            return false;
        ::usleep(kBetweenTries);
    }
    return false;
}

members::Bans::Read load(const std::string& name) {
    const File file{name, O_RDONLY};
    if (!file && errno == ENOENT)
        return {};
    if (!file)
        throw failed(name, "open");
    std::string text(kMostBytes, '\0');
    std::size_t got = 0;
    while (got < text.size()) {
        const auto n = ::read(file.fd(), text.data() + got, text.size() - got);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            throw failed(name, "read");
        if (n == 0)
            break;
        got += static_cast<std::size_t>(n);
    }
    text.resize(got);
    return members::Bans::read(text);
}

}  // namespace

members::Bans BanFile::read() const {
    const auto found = load(file_);
    if (found.trouble == members::Bans::Trouble::damaged)
        throw std::runtime_error(file_ + ": damaged");
    if (found.trouble == members::Bans::Trouble::other_version)
        throw std::runtime_error(file_ + ": of a version that is not known here");
    return found.bans;
}

members::Bans BanFile::change(const members::Bans& own, const std::function<void(members::Bans&)>& change) {
    const std::string lock_name = file_ + ".lock";
    const File guard{lock_name, O_RDWR | O_CREAT};
    if (!guard)
        throw failed(lock_name, "open");
    if (!lock(guard.fd()))
        throw failed(lock_name, "lock");
    auto found = load(file_);
    if (found.trouble == members::Bans::Trouble::other_version)
        throw std::runtime_error(file_ + ": of a version that is not known here");
    if (found.trouble == members::Bans::Trouble::damaged)
        found.bans = own;
    change(found.bans);
    replace_file(file_, found.bans.text());
    seen_ = stamp();
    return found.bans;
}

bool BanFile::changed() {
    const Stamp now = stamp();
    return std::exchange(seen_, now) != now;
}

BanFile::Stamp BanFile::stamp() const {
    struct stat s{};
    if (::stat(file_.c_str(), &s) != 0)
        return {};
    return {s.st_ino, s.st_size, s.st_mtim.tv_sec, s.st_mtim.tv_nsec};
}

}  // namespace silverrail::store
