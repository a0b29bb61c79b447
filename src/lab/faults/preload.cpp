// The fault library: a router's process is started with it (LD_PRELOAD), and some of its system calls then
// fail in the ways that their manual pages describe, by the word of a FaultControl block. It wraps the calls
// that the router makes, and nothing else; without the block it passes every call on.

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <ctime>

#include "lab/faults/control.h"

namespace {

using silverrail::lab::Fault;
using silverrail::lab::FaultControl;

// The next definition of a wrapped call, looked up once.
template <class Function>
Function* next_definition(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

#define NEXT(name)                                                           \
    (*[] {                                                                   \
        static auto* const found = next_definition<decltype(::name)>(#name); \
        return found;                                                        \
    }())

FaultControl* map_control() {
    const char* path = std::getenv(silverrail::lab::kFaultFileVariable);
    if (!path)
        return nullptr;
    const int fd = NEXT(open)(path, O_RDWR | O_CLOEXEC);
    if (fd < 0)
        return nullptr;
    void* at = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    return at == MAP_FAILED ? nullptr : static_cast<FaultControl*>(at);
}

FaultControl* control() {
    static FaultControl* const mapped = map_control();
    return mapped;
}

std::uint64_t first_state() {
    const char* seed = std::getenv(silverrail::lab::kFaultSeedVariable);
    return (seed ? std::strtoull(seed, nullptr, 10) : 1) * 0x9e3779b97f4a7c15U + 1;
}

// Xorshift64*, one for each thread.
std::uint32_t draw() {
    thread_local std::uint64_t state = first_state();
    state ^= state >> 12;
    state ^= state << 25;
    state ^= state >> 27;
    return static_cast<std::uint32_t>((state * 0x2545f4914f6cdd1dU) >> 33) % silverrail::lab::kFaultParts;
}

bool take_one(std::atomic<std::uint32_t>& left) {
    std::uint32_t seen = left.load();
    while (seen > 0)
        if (left.compare_exchange_weak(seen, seen - 1))
            return true;
    return false;
}

// Does this call fail so? Counted if it does.
bool fails(Fault fault) {
    FaultControl* const c = control();
    if (!c)
        return false;
    const auto at = static_cast<std::size_t>(fault);
    const std::uint32_t chance = c->chance[at].load(std::memory_order_relaxed);
    if (!take_one(c->next[at]) && (chance == 0 || draw() >= chance))
        return false;
    ++c->delivered[at];
    return true;
}

bool is_stream_socket(int fd) {
    int type = 0;
    socklen_t size = sizeof type;
    return ::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

bool is_regular_file(int fd) {
    struct stat s{};
    return ::fstat(fd, &s) == 0 && S_ISREG(s.st_mode);
}

// An error number that a read from a stream socket fails with; 0: it goes on.
int read_error(int fd) {
    if (!control() || !is_stream_socket(fd))
        return 0;
    if (fails(Fault::read_interrupted))
        return EINTR;
    if (fails(Fault::read_timed_out))
        return ETIMEDOUT;
    if (fails(Fault::read_unreachable))
        return EHOSTUNREACH;
    return 0;
}

// The same for opening a file.
int open_error(int flags) {
    if (fails(Fault::file_open))
        return EMFILE;
    return (flags & O_CREAT) != 0 && fails(Fault::file_full) ? ENOSPC : 0;
}

bool reads_short(int fd) {
    return control() && is_stream_socket(fd) && fails(Fault::read_short);
}
bool writes_short(int fd) {
    return control() && is_stream_socket(fd) && fails(Fault::write_short);
}
std::size_t part_of(std::size_t whole) {
    return std::max<std::size_t>(1, whole / 3);
}

template <class Result>
Result failed(int error) {
    errno = error;
    return static_cast<Result>(-1);
}

// The first `most` bytes of a message's buffers, for a transfer that the system takes only in part.
struct CutBuffers {
    static constexpr std::size_t kMost = 64;
    CutBuffers(const iovec* from, std::size_t count, std::size_t most) {
        for (std::size_t i = 0; i < std::min(count, kMost) && most > 0; ++i) {
            parts[used] = {from[i].iov_base, std::min(from[i].iov_len, most)};
            most -= parts[used++].iov_len;
        }
    }
    iovec parts[kMost]{};
    std::size_t used = 0;
};

std::size_t size_of(const iovec* parts, std::size_t count) {
    std::size_t sum = 0;
    for (std::size_t i = 0; i < count; ++i)
        sum += parts[i].iov_len;
    return sum;
}

void step(timespec& at) {
    const FaultControl* const c = control();
    if (!c)
        return;
    const std::int64_t ms = c->wall_clock_ms.load(std::memory_order_relaxed);
    std::int64_t ns = at.tv_nsec + ms % 1000 * 1'000'000;
    at.tv_sec += ms / 1000;
    if (ns < 0)
        ns += 1'000'000'000, --at.tv_sec;
    if (ns >= 1'000'000'000)
        ns -= 1'000'000'000, ++at.tv_sec;
    at.tv_nsec = ns;
}

}  // namespace

extern "C" {

int accept(int fd, sockaddr* address, socklen_t* size) {
    if (fails(Fault::accept_aborted))
        return failed<int>(ECONNABORTED);
    if (fails(Fault::accept_no_files))
        return failed<int>(ENFILE);
    return NEXT(accept)(fd, address, size);
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
    if (fails(Fault::accept_aborted))
        return failed<int>(ECONNABORTED);
    if (fails(Fault::accept_no_files))
        return failed<int>(ENFILE);
    return NEXT(accept4)(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
    if (domain == AF_INET && fails(Fault::socket_no_files))
        return failed<int>(ENFILE);
    if (domain == AF_INET && fails(Fault::socket_no_buffers))
        return failed<int>(ENOBUFS);
    return NEXT(socket)(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
    if (fails(Fault::connect_no_address))
        return failed<int>(EADDRNOTAVAIL);
    if (fails(Fault::connect_unreachable))
        return failed<int>(ENETUNREACH);
    return NEXT(connect)(fd, address, size);
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout_ms) {
    if (fails(Fault::wait_interrupted))
        return failed<int>(EINTR);
    return NEXT(epoll_wait)(fd, events, most, timeout_ms);
}

ssize_t recv(int fd, void* into, size_t size, int flags) {
    if (const int error = read_error(fd))
        return failed<ssize_t>(error);
    if (size > 1 && reads_short(fd))
        size = 1;
    return NEXT(recv)(fd, into, size, flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
    if (const int error = read_error(fd))
        return failed<ssize_t>(error);
    if (!reads_short(fd))
        return NEXT(recvmsg)(fd, message, flags);
    CutBuffers cut{message->msg_iov, message->msg_iovlen, 1};
    msghdr part = *message;
    part.msg_iov = cut.parts;
    part.msg_iovlen = cut.used;
    return NEXT(recvmsg)(fd, &part, flags);
}

ssize_t read(int fd, void* into, size_t size) {
    if (const int error = read_error(fd))
        return failed<ssize_t>(error);
    if (control() && is_regular_file(fd) && fails(Fault::file_read))
        return failed<ssize_t>(EIO);
    if (size > 1 && reads_short(fd))
        size = 1;
    return NEXT(read)(fd, into, size);
}

ssize_t readv(int fd, const iovec* parts, int count) {
    if (const int error = read_error(fd))
        return failed<ssize_t>(error);
    if (!reads_short(fd))
        return NEXT(readv)(fd, parts, count);
    CutBuffers cut{parts, static_cast<std::size_t>(count), 1};
    return NEXT(readv)(fd, cut.parts, static_cast<int>(cut.used));
}

ssize_t send(int fd, const void* from, size_t size, int flags) {
    if (size > 1 && writes_short(fd))
        size = part_of(size);
    return NEXT(send)(fd, from, size, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    const std::size_t whole = size_of(message->msg_iov, message->msg_iovlen);
    if (whole < 2 || !writes_short(fd))
        return NEXT(sendmsg)(fd, message, flags);
    CutBuffers cut{message->msg_iov, message->msg_iovlen, part_of(whole)};
    msghdr part = *message;
    part.msg_iov = cut.parts;
    part.msg_iovlen = cut.used;
    return NEXT(sendmsg)(fd, &part, flags);
}

ssize_t write(int fd, const void* from, size_t size) {
    if (control() && is_regular_file(fd) && fails(Fault::file_full))
        return failed<ssize_t>(ENOSPC);
    if (size > 1 && writes_short(fd))
        size = part_of(size);
    return NEXT(write)(fd, from, size);
}

ssize_t pwrite(int fd, const void* from, size_t size, off_t at) {
    if (control() && is_regular_file(fd) && fails(Fault::file_full))
        return failed<ssize_t>(ENOSPC);
    return NEXT(pwrite)(fd, from, size, at);
}

ssize_t pwrite64(int fd, const void* from, size_t size, off64_t at) {
    if (control() && is_regular_file(fd) && fails(Fault::file_full))
        return failed<ssize_t>(ENOSPC);
    return NEXT(pwrite64)(fd, from, size, at);
}

int open(const char* path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    const int mode = (flags & O_CREAT) != 0 ? va_arg(more, int) : 0;
    va_end(more);
    const int error = open_error(flags);
    return error ? failed<int>(error) : NEXT(open)(path, flags, mode);
}

int open64(const char* path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    const int mode = (flags & O_CREAT) != 0 ? va_arg(more, int) : 0;
    va_end(more);
    const int error = open_error(flags);
    return error ? failed<int>(error) : NEXT(open64)(path, flags, mode);
}

FILE* fopen(const char* path, const char* mode) {
    if (fails(Fault::file_open))
        return errno = EMFILE, nullptr;
    return NEXT(fopen)(path, mode);
}

FILE* fopen64(const char* path, const char* mode) {
    if (fails(Fault::file_open))
        return errno = EMFILE, nullptr;
    return NEXT(fopen64)(path, mode);
}

int fsync(int fd) {
    if (fails(Fault::file_sync))
        return failed<int>(EIO);
    return NEXT(fsync)(fd);
}

int fdatasync(int fd) {
    if (fails(Fault::file_sync))
        return failed<int>(EIO);
    return NEXT(fdatasync)(fd);
}

int rename(const char* from, const char* to) noexcept {
    if (fails(Fault::file_rename))
        return failed<int>(EIO);
    return NEXT(rename)(from, to);
}

int clock_gettime(clockid_t which, timespec* at) noexcept {
    const int result = NEXT(clock_gettime)(which, at);
    if (result == 0 && (which == CLOCK_REALTIME || which == CLOCK_REALTIME_COARSE))
        step(*at);
    return result;
}

int gettimeofday(timeval* at, void* zone) noexcept {
    const int result = NEXT(gettimeofday)(at, zone);
    if (result != 0)
        return result;
    timespec now{at->tv_sec, at->tv_usec * 1000};
    step(now);
    *at = {now.tv_sec, now.tv_nsec / 1000};
    return result;
}

time_t time(time_t* at) noexcept {
    timespec now{NEXT(time)(nullptr), 0};
    step(now);
    if (at)
        *at = now.tv_sec;
    return now.tv_sec;
}

}  // extern "C"
