// A file descriptor that is closed with its scope.
#pragma once

#include <unistd.h>

#include <utility>

namespace silverrail::store {

class FileDescriptor {
public:
    // Negative: none, as open() returns it.
    explicit FileDescriptor(int fd) : fd_(fd) {}
    ~FileDescriptor() {
        if (fd_ >= 0)
            ::close(fd_);
    }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    int get() const {
        return fd_;
    }
    explicit operator bool() const {
        return fd_ >= 0;
    }
    // Closes it now. False, with errno set: a write that was still on its way failed.
    bool close() {
        return ::close(std::exchange(fd_, -1)) == 0;
    }

private:
    int fd_;
};

}  // namespace silverrail::store
