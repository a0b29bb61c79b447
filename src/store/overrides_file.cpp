#include "store/overrides_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "store/file_descriptor.h"
#include "store/file_error.h"
#include "store/replace_file.h"

namespace silverrail::store {

namespace {

using overrides::ServerOverrides;
using ParseError = ServerOverrides::ParseError;

constexpr std::size_t kMaxFileBytes = std::size_t{256} * 1024;
// Other processes hold the lock only during a write. A process that is stopped while it holds the lock must
// not block this one, so the number of attempts is limited.
constexpr int kLockAttempts = 20;
constexpr useconds_t kLockRetryMicroseconds = 2'000;

FileError failed(const std::string& path, const char* operation) {
    return {path + ": " + operation, errno};
}

FileDescriptor open_private(const std::string& path, int flags) {
    return FileDescriptor{::open(path.c_str(), flags | O_CLOEXEC | O_NOFOLLOW, 0600)};
}

bool lock(const FileDescriptor& file) {
    for (int i = 0; i < kLockAttempts; ++i) {
        if (::flock(file.get(), LOCK_EX | LOCK_NB) == 0)
            return true;
        if (errno != EWOULDBLOCK && errno != EINTR)
            return false;
        ::usleep(kLockRetryMicroseconds);
    }
    return false;
}

// Reads at most kMaxFileBytes.
std::string read_all(const FileDescriptor& file, const std::string& path) {
    std::string text(kMaxFileBytes, '\0');
    std::size_t length = 0;
    while (length < text.size()) {
        const auto got = ::read(file.get(), text.data() + length, text.size() - length);
        if (got < 0 && errno == EINTR)
            continue;
        if (got < 0)
            throw failed(path, "read");
        if (got == 0)
            break;
        length += static_cast<std::size_t>(got);
    }
    text.resize(length);
    return text;
}

ServerOverrides::ParseResult load(const std::string& path) {
    const FileDescriptor file = open_private(path, O_RDONLY);
    if (!file && errno == ENOENT)
        return {};
    if (!file)
        throw failed(path, "open");
    return ServerOverrides::parse(read_all(file, path));
}

const char* description_of(ParseError reason) {
    return reason == ParseError::unknown_version ? "unsupported file version" : "damaged";
}

}  // namespace

OverridesFileError::OverridesFileError(const std::string& path, ParseError reason)
    : std::runtime_error(path + ": " + description_of(reason)), reason_(reason) {}

ServerOverrides OverridesFile::read() const {
    const auto stored = load(path_);
    if (stored.error != ParseError::none)
        throw OverridesFileError(path_, stored.error);
    return stored.overrides;
}

ServerOverrides OverridesFile::update(const ServerOverrides& own, const Change& change) {
    const std::string lock_path = path_ + ".lock";
    const FileDescriptor lock_file = open_private(lock_path, O_RDWR | O_CREAT);
    if (!lock_file)
        throw failed(lock_path, "open");
    if (!lock(lock_file))
        throw failed(lock_path, "lock");
    auto stored = load(path_);
    if (stored.error == ParseError::unknown_version)
        throw OverridesFileError(path_, stored.error);
    if (stored.error == ParseError::damaged)
        stored.overrides = own;
    change(stored.overrides);
    replace_file(path_, stored.overrides.serialize());
    seen_ = version();
    return stored.overrides;
}

bool OverridesFile::has_changed() {
    const Version now = version();
    return std::exchange(seen_, now) != now;
}

OverridesFile::Version OverridesFile::version() const {
    struct stat status{};
    if (::stat(path_.c_str(), &status) != 0)
        return {};
    return {.inode = status.st_ino,
            .bytes = status.st_size,
            .modified_s = status.st_mtim.tv_sec,
            .modified_ns = status.st_mtim.tv_nsec};
}

}  // namespace silverrail::store
