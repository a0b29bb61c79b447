// RAII wrapper that closes a file descriptor at the end of its scope.
#pragma once

#include <unistd.h>

#include <utility>

namespace silverrail::store {

class FileDescriptor {
public:
    // Takes the return value of open(); negative: no descriptor.
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
    // Closes the descriptor now. False, with errno set: a delayed write has failed.
    bool close() {
        return ::close(std::exchange(fd_, -1)) == 0;
    }

private:
    int fd_;
};

}  // namespace silverrail::store
