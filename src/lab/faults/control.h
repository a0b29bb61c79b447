// The fault control block: a small file by which a test or the soak orders which system calls of a router's
// process fail. Both sides map it. Every field is atomic, and there are no locks.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace silverrail::lab {

// One way in which one group of system calls fails.
enum class CallFault : std::uint8_t {
    accept_aborted,       // accept: ECONNABORTED
    accept_no_files,      // accept: ENFILE
    socket_no_files,      // socket: ENFILE
    socket_no_buffers,    // socket: ENOBUFS
    connect_no_address,   // connect: EADDRNOTAVAIL
    connect_unreachable,  // connect: ENETUNREACH
    wait_interrupted,     // epoll_wait: EINTR
    read_interrupted,     // reads from stream sockets: EINTR
    read_short,           // reads from stream sockets: at most one byte
    read_timed_out,       // reads from stream sockets: ETIMEDOUT, the connection is broken
    read_unreachable,     // reads from stream sockets: EHOSTUNREACH, the connection is broken
    write_short,          // writes to stream sockets: a third, at least one byte
    file_open,            // opening a regular file: EMFILE
    file_read,            // reads from regular files: EIO
    file_full,            // writes to regular files, and making one: ENOSPC
    file_sync,            // fsync and fdatasync: EIO
    file_rename,          // rename: EIO
    count_
};
constexpr std::size_t kCallFaults = static_cast<std::size_t>(CallFault::count_);

constexpr std::array<std::string_view, kCallFaults> kCallFaultNames{
    "accept_aborted",      "accept_no_files",  "socket_no_files",  "socket_no_buffers", "connect_no_address",
    "connect_unreachable", "wait_interrupted", "read_interrupted", "read_short",        "read_timed_out",
    "read_unreachable",    "write_short",      "file_open",        "file_read",         "file_full",
    "file_sync",           "file_rename"};

// A chance is given in parts of this.
constexpr std::uint32_t kFaultParts = 10'000;

struct FaultControl {
    std::atomic<std::int64_t> wall_clock_ms{0};                    // added to the wall clock, in ms
    std::array<std::atomic<std::uint32_t>, kCallFaults> chance{};  // of each call, in parts of kFaultParts
    std::array<std::atomic<std::uint32_t>, kCallFaults> next{};  // so many of the next calls fail for certain
    std::array<std::atomic<std::uint64_t>, kCallFaults> delivered{};  // calls that failed so far
};

// Environment variables of the process: the file's path, and the seed of its random numbers.
constexpr const char* kFaultFileVariable = "SILVERRAIL_FAULTS";
constexpr const char* kFaultSeedVariable = "SILVERRAIL_FAULTS_SEED";

// The side that orders faults: makes the file, and maps it for the life of this object. The file stays.
class FaultFile {
public:
    // Without faults at first. Throws std::system_error if it can't make the file.
    explicit FaultFile(std::string path);
    ~FaultFile();
    FaultFile(const FaultFile&) = delete;
    FaultFile& operator=(const FaultFile&) = delete;

    const std::string& path() const {
        return path_;
    }
    // Of each call from here on; 0: none fails.
    void set_chance(CallFault fault, std::uint32_t parts) {
        control_->chance[index(fault)] = parts;
    }
    // The next `calls` calls fail for certain.
    void fail_next(CallFault fault, std::uint32_t calls) {
        control_->next[index(fault)] = calls;
    }
    // The wall clock is off by this; 0: it is right.
    void step_wall_clock(std::int64_t by_ms) {
        control_->wall_clock_ms = by_ms;
    }
    // How many calls have failed in this way.
    std::uint64_t delivered(CallFault fault) const {
        return control_->delivered[index(fault)];
    }
    void clear_chances();
    // For a process that is about to execute the router's program: it will load `library` and map this file.
    void set_environment(const std::string& library, std::uint64_t seed) const;

private:
    static std::size_t index(CallFault fault) {
        return static_cast<std::size_t>(fault);
    }
    std::string path_;
    FaultControl* control_ = nullptr;
};

}  // namespace silverrail::lab
