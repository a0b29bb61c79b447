#include "trace/bytes.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace silverrail::trace {

namespace {

// What standard input may bring; a file has no such bound, since it is read in pieces.
constexpr std::size_t kMostInput = std::size_t{4} << 30;

[[noreturn]] void fail(const std::string& path, int error) {
    throw IoError(path + ": " + std::strerror(error));
}

class FileSource : public ByteSource {
public:
    FileSource(int fd, std::uint64_t size, std::string path) : fd_(fd), size_(size), path_(std::move(path)) {}
    ~FileSource() override {
        ::close(fd_);
    }
    FileSource(const FileSource&) = delete;
    FileSource& operator=(const FileSource&) = delete;
    std::uint64_t size() const override {
        return size_;
    }
    void read(std::uint64_t offset, std::size_t bytes, Bytes& to) const override {
        to.resize(offset < size_ ? std::min<std::uint64_t>(bytes, size_ - offset) : 0);
        std::size_t done = 0;
        while (done < to.size()) {
            const ssize_t n =
                ::pread(fd_, to.data() + done, to.size() - done, static_cast<off_t>(offset + done));
            if (n < 0 && errno == EINTR)
                continue;
            if (n < 0)
                fail(path_, errno);
            if (n == 0)
                break;  // it has become shorter meanwhile
            done += static_cast<std::size_t>(n);
        }
        to.resize(done);
    }

private:
    int fd_;
    std::uint64_t size_;
    std::string path_;
};

Bytes all_of(int fd, const std::string& path) {
    Bytes all;
    char piece[65536];
    for (;;) {
        const ssize_t n = ::read(fd, piece, sizeof piece);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            fail(path, errno);
        if (n == 0)
            return all;
        if (all.size() + static_cast<std::size_t>(n) > kMostInput)
            throw IoError(path + ": over 4 GiB");
        all.append(piece, static_cast<std::size_t>(n));
    }
}

}  // namespace

FileSink::FileSink(const std::string& path)
    : fd_(path == "-" ? ::dup(STDOUT_FILENO)
                      : ::open(path.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0640)),
      path_(path) {
    if (fd_ < 0)
        fail(path, errno);
}

FileSink::~FileSink() {
    ::close(fd_);
}

void FileSink::write(View bytes) {
    while (!bytes.empty()) {
        const ssize_t n = ::write(fd_, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            fail(path_, errno);
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

std::unique_ptr<ByteSource> open_source(const std::string& path) {
    if (path == "-")
        return std::make_unique<MemorySource>(all_of(STDIN_FILENO, "standard input"));
    const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        fail(path, errno);
    struct stat info{};
    if (::fstat(fd, &info) != 0 || S_ISDIR(info.st_mode)) {
        const int error = S_ISDIR(info.st_mode) ? EISDIR : errno;
        ::close(fd);
        fail(path, error);
    }
    if (S_ISREG(info.st_mode))
        return std::make_unique<FileSource>(fd, static_cast<std::uint64_t>(info.st_size), path);
    auto memory = std::make_unique<MemorySource>(all_of(fd, path));
    ::close(fd);
    return memory;
}

}  // namespace silverrail::trace
