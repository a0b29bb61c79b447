// The fault library. A router's process is started with it (LD_PRELOAD), and some of its system calls then
// fail in the ways that their manual pages describe, as its fault control block orders. Only calls that the
// router makes are wrapped. Every call that does not fail goes on to the next definition (the C library's, or
// a sanitizer's).

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <ctime>

#include "lab/faults/fault_source.h"

namespace {

using silverrail::lab::CallFault;
using silverrail::lab::draw_fault;
using silverrail::lab::faults_are_ordered;
using silverrail::lab::step_wall_clock;

template <class Function>
Function* next_definition(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

// The next definition of a wrapped call, looked up once.
#define NEXT(name)                                                           \
    (*[] {                                                                   \
        static auto* const found = next_definition<decltype(::name)>(#name); \
        return found;                                                        \
    }())

template <class Result>
Result fail_with(int error) {
    errno = error;
    return static_cast<Result>(-1);
}

bool is_stream_socket(int descriptor) {
    int type = 0;
    socklen_t size = sizeof type;
    return ::getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

bool is_regular_file(int descriptor) {
    struct stat status{};
    return ::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

// The functions that return an error number: 0 means that the call goes on.

int accept_error() {
    if (draw_fault(CallFault::accept_aborted))
        return ECONNABORTED;
    return draw_fault(CallFault::accept_no_files) ? ENFILE : 0;
}

int stream_read_error(int descriptor) {
    if (!faults_are_ordered() || !is_stream_socket(descriptor))
        return 0;
    if (draw_fault(CallFault::read_interrupted))
        return EINTR;
    if (draw_fault(CallFault::read_timed_out))
        return ETIMEDOUT;
    return draw_fault(CallFault::read_unreachable) ? EHOSTUNREACH : 0;
}

int open_error(int flags) {
    if (draw_fault(CallFault::file_open))
        return EMFILE;
    return (flags & O_CREAT) != 0 && draw_fault(CallFault::file_full) ? ENOSPC : 0;
}

bool file_read_fails(int descriptor) {
    return faults_are_ordered() && is_regular_file(descriptor) && draw_fault(CallFault::file_read);
}

bool file_is_full(int descriptor) {
    return faults_are_ordered() && is_regular_file(descriptor) && draw_fault(CallFault::file_full);
}

bool reads_short(int descriptor) {
    return faults_are_ordered() && is_stream_socket(descriptor) && draw_fault(CallFault::read_short);
}

bool writes_short(int descriptor) {
    return faults_are_ordered() && is_stream_socket(descriptor) && draw_fault(CallFault::write_short);
}

// What a short read or write of `size` bytes transfers.
constexpr std::size_t kShortRead = 1;
std::size_t short_write(std::size_t size) {
    return std::max<std::size_t>(1, size / 3);
}

std::size_t total_size(const iovec* buffers, std::size_t count) {
    std::size_t sum = 0;
    for (std::size_t i = 0; i < count; ++i)
        sum += buffers[i].iov_len;
    return sum;
}

// The first `size` bytes of a call's buffers; of at most 64 buffers.
struct TruncatedBuffers {
    static constexpr std::size_t kMaxBuffers = 64;

    TruncatedBuffers(const iovec* whole, std::size_t whole_count, std::size_t size) {
        for (std::size_t i = 0; i < std::min(whole_count, kMaxBuffers) && size > 0; ++i) {
            buffers[count] = {whole[i].iov_base, std::min(whole[i].iov_len, size)};
            size -= buffers[count].iov_len;
            ++count;
        }
    }

    // `message` with these buffers in place of its own.
    msghdr in(const msghdr& message) {
        msghdr truncated = message;
        truncated.msg_iov = buffers;
        truncated.msg_iovlen = count;
        return truncated;
    }

    iovec buffers[kMaxBuffers]{};
    std::size_t count = 0;
};

}  // namespace

extern "C" {

// Connections.

int accept(int listener, sockaddr* address, socklen_t* size) {
    if (const int error = accept_error())
        return fail_with<int>(error);
    return NEXT(accept)(listener, address, size);
}

int accept4(int listener, sockaddr* address, socklen_t* size, int flags) {
    if (const int error = accept_error())
        return fail_with<int>(error);
    return NEXT(accept4)(listener, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
    if (domain == AF_INET && draw_fault(CallFault::socket_no_files))
        return fail_with<int>(ENFILE);
    if (domain == AF_INET && draw_fault(CallFault::socket_no_buffers))
        return fail_with<int>(ENOBUFS);
    return NEXT(socket)(domain, type, protocol);
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
    if (draw_fault(CallFault::connect_no_address))
        return fail_with<int>(EADDRNOTAVAIL);
    if (draw_fault(CallFault::connect_unreachable))
        return fail_with<int>(ENETUNREACH);
    return NEXT(connect)(descriptor, address, size);
}

int epoll_wait(int descriptor, epoll_event* events, int max_events, int timeout_ms) {
    if (draw_fault(CallFault::wait_interrupted))
        return fail_with<int>(EINTR);
    return NEXT(epoll_wait)(descriptor, events, max_events, timeout_ms);
}

// Reads and writes.

ssize_t recv(int descriptor, void* buffer, size_t size, int flags) {
    if (const int error = stream_read_error(descriptor))
        return fail_with<ssize_t>(error);
    if (size > kShortRead && reads_short(descriptor))
        size = kShortRead;
    return NEXT(recv)(descriptor, buffer, size, flags);
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
    if (const int error = stream_read_error(descriptor))
        return fail_with<ssize_t>(error);
    if (!reads_short(descriptor))
        return NEXT(recvmsg)(descriptor, message, flags);
    TruncatedBuffers first{message->msg_iov, message->msg_iovlen, kShortRead};
    msghdr truncated = first.in(*message);
    return NEXT(recvmsg)(descriptor, &truncated, flags);
}

ssize_t read(int descriptor, void* buffer, size_t size) {
    if (const int error = stream_read_error(descriptor))
        return fail_with<ssize_t>(error);
    if (file_read_fails(descriptor))
        return fail_with<ssize_t>(EIO);
    if (size > kShortRead && reads_short(descriptor))
        size = kShortRead;
    return NEXT(read)(descriptor, buffer, size);
}

ssize_t readv(int descriptor, const iovec* buffers, int count) {
    if (const int error = stream_read_error(descriptor))
        return fail_with<ssize_t>(error);
    if (!reads_short(descriptor))
        return NEXT(readv)(descriptor, buffers, count);
    TruncatedBuffers first{buffers, static_cast<std::size_t>(count), kShortRead};
    return NEXT(readv)(descriptor, first.buffers, static_cast<int>(first.count));
}

ssize_t send(int descriptor, const void* buffer, size_t size, int flags) {
    if (size > 1 && writes_short(descriptor))
        size = short_write(size);
    return NEXT(send)(descriptor, buffer, size, flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
    const std::size_t size = total_size(message->msg_iov, message->msg_iovlen);
    if (size < 2 || !writes_short(descriptor))
        return NEXT(sendmsg)(descriptor, message, flags);
    TruncatedBuffers first{message->msg_iov, message->msg_iovlen, short_write(size)};
    const msghdr truncated = first.in(*message);
    return NEXT(sendmsg)(descriptor, &truncated, flags);
}

ssize_t write(int descriptor, const void* buffer, size_t size) {
    if (file_is_full(descriptor))
        return fail_with<ssize_t>(ENOSPC);
    if (size > 1 && writes_short(descriptor))
        size = short_write(size);
    return NEXT(write)(descriptor, buffer, size);
}

ssize_t pwrite(int descriptor, const void* buffer, size_t size, off_t offset) {
    if (file_is_full(descriptor))
        return fail_with<ssize_t>(ENOSPC);
    return NEXT(pwrite)(descriptor, buffer, size, offset);
}

ssize_t pwrite64(int descriptor, const void* buffer, size_t size, off64_t offset) {
    if (file_is_full(descriptor))
        return fail_with<ssize_t>(ENOSPC);
    return NEXT(pwrite64)(descriptor, buffer, size, offset);
}

// Files.

int open(const char* path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    const int mode = (flags & O_CREAT) != 0 ? va_arg(arguments, int) : 0;
    va_end(arguments);
    if (const int error = open_error(flags))
        return fail_with<int>(error);
    return NEXT(open)(path, flags, mode);
}

int open64(const char* path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    const int mode = (flags & O_CREAT) != 0 ? va_arg(arguments, int) : 0;
    va_end(arguments);
    if (const int error = open_error(flags))
        return fail_with<int>(error);
    return NEXT(open64)(path, flags, mode);
}

FILE* fopen(const char* path, const char* mode) {
    if (!draw_fault(CallFault::file_open))
        return NEXT(fopen)(path, mode);
    errno = EMFILE;
    return nullptr;
}

FILE* fopen64(const char* path, const char* mode) {
    if (!draw_fault(CallFault::file_open))
        return NEXT(fopen64)(path, mode);
    errno = EMFILE;
    return nullptr;
}

int fsync(int descriptor) {
    if (draw_fault(CallFault::file_sync))
        return fail_with<int>(EIO);
    return NEXT(fsync)(descriptor);
}

int fdatasync(int descriptor) {
    if (draw_fault(CallFault::file_sync))
        return fail_with<int>(EIO);
    return NEXT(fdatasync)(descriptor);
}

int rename(const char* from, const char* to) noexcept {
    if (draw_fault(CallFault::file_rename))
        return fail_with<int>(EIO);
    return NEXT(rename)(from, to);
}

// The wall clock.

int clock_gettime(clockid_t clock, timespec* time) noexcept {
    const int result = NEXT(clock_gettime)(clock, time);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        step_wall_clock(*time);
    return result;
}

int gettimeofday(timeval* time, void* zone) noexcept {
    const int result = NEXT(gettimeofday)(time, zone);
    if (result != 0)
        return result;
    timespec stepped{time->tv_sec, time->tv_usec * 1000};
    step_wall_clock(stepped);
    *time = {stepped.tv_sec, stepped.tv_nsec / 1000};
    return result;
}

time_t time(time_t* seconds) noexcept {
    timespec stepped{NEXT(time)(nullptr), 0};
    step_wall_clock(stepped);
    if (seconds)
        *seconds = stepped.tv_sec;
    return stepped.tv_sec;
}

}  // extern "C"
