#include "trace/format/byte_stream.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace silverrail::trace {

namespace {

// Of a stream, which is read into memory; files are read in parts.
constexpr std::size_t kMaxStreamBytes = std::size_t{4} << 30;

[[noreturn]] void throw_io_error(const std::string& path, int error) {
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
    void read(std::uint64_t offset, std::size_t bytes, Bytes& out) const override {
        out.resize(offset < size_ ? std::min<std::uint64_t>(bytes, size_ - offset) : 0);
        std::size_t done = 0;
        while (done < out.size()) {
            const ssize_t n =
                ::pread(fd_, out.data() + done, out.size() - done, static_cast<off_t>(offset + done));
            if (n < 0 && errno == EINTR)
                continue;
            if (n < 0)
                throw_io_error(path_, errno);
            if (n == 0)
                break;  // the file was truncated meanwhile
            done += static_cast<std::size_t>(n);
        }
        out.resize(done);
    }

private:
    int fd_;
    std::uint64_t size_;
    std::string path_;
};

Bytes read_to_end(int fd, const std::string& path) {
    Bytes content;
    char buffer[65536];
    for (;;) {
        const ssize_t n = ::read(fd, buffer, sizeof buffer);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            throw_io_error(path, errno);
        if (n == 0)
            return content;
        if (content.size() + static_cast<std::size_t>(n) > kMaxStreamBytes)
            throw IoError(path + ": over 4 GiB");
        content.append(buffer, static_cast<std::size_t>(n));
    }
}

}  // namespace

FileSink::FileSink(const std::string& path)
    : fd_(path == "-" ? ::dup(STDOUT_FILENO)
                      : ::open(path.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0640)),
      path_(path) {
    if (fd_ < 0)
        throw_io_error(path, errno);
}

FileSink::~FileSink() {
    ::close(fd_);
}

void FileSink::write(ByteView bytes) {
    while (!bytes.empty()) {
        const ssize_t n = ::write(fd_, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            throw_io_error(path_, errno);
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

std::unique_ptr<ByteSource> open_source(const std::string& path) {
    if (path == "-")
        return std::make_unique<MemorySource>(read_to_end(STDIN_FILENO, "standard input"));
    const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        throw_io_error(path, errno);
    struct stat info{};
    if (::fstat(fd, &info) != 0 || S_ISDIR(info.st_mode)) {
        const int error = S_ISDIR(info.st_mode) ? EISDIR : errno;
        ::close(fd);
        throw_io_error(path, error);
    }
    if (S_ISREG(info.st_mode))
        return std::make_unique<FileSource>(fd, static_cast<std::uint64_t>(info.st_size), path);
    auto memory = std::make_unique<MemorySource>(read_to_end(fd, path));
    ::close(fd);
    return memory;
}

}  // namespace silverrail::trace
