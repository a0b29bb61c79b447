// The block of memory by which a test or the soak tells the fault library inside a router's process which
// system calls fail. It lies in a small file that both map; every field is atomic, nothing is locked.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace silverrail::lab {

// One way in which one group of system calls fails.
enum class Fault : std::uint8_t {
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
constexpr std::size_t kFaults = static_cast<std::size_t>(Fault::count_);

constexpr std::array<std::string_view, kFaults> kFaultNames{
    "accept_aborted",      "accept_no_files",  "socket_no_files",  "socket_no_buffers", "connect_no_address",
    "connect_unreachable", "wait_interrupted", "read_interrupted", "read_short",        "read_timed_out",
    "read_unreachable",    "write_short",      "file_open",        "file_read",         "file_full",
    "file_sync",           "file_rename"};

// Chances are told in this many parts.
constexpr std::uint32_t kFaultParts = 10'000;

struct FaultControl {
    std::atomic<std::int64_t> wall_clock_ms{0};                // added to the wall clock, in ms
    std::array<std::atomic<std::uint32_t>, kFaults> chance{};  // of each call, in parts of kFaultParts
    std::array<std::atomic<std::uint32_t>, kFaults> next{};    // so many of the next calls fail for certain
    std::array<std::atomic<std::uint64_t>, kFaults> delivered{};  // calls that failed so far
};

// The file's name is told to the process by this variable; the seed of its dice by the other.
constexpr const char* kFaultFileVariable = "SILVERRAIL_FAULTS";
constexpr const char* kFaultSeedVariable = "SILVERRAIL_FAULTS_SEED";

// A fault control file, made and mapped by the side that orders faults. Throws std::system_error if it can't.
class FaultFile {
public:
    explicit FaultFile(std::string path);
    ~FaultFile();
    FaultFile(const FaultFile&) = delete;
    FaultFile& operator=(const FaultFile&) = delete;

    const std::string& path() const {
        return path_;
    }
    void set_chance(Fault fault, std::uint32_t parts) {
        control_->chance[index(fault)] = parts;
    }
    void fail_next(Fault fault, std::uint32_t calls) {
        control_->next[index(fault)] = calls;
    }
    void step_wall_clock(std::int64_t to_ms) {
        control_->wall_clock_ms = to_ms;
    }
    std::uint64_t delivered(Fault fault) const {
        return control_->delivered[index(fault)];
    }
    void clear_chances();
    // In the process that is about to run the program: it loads `library` and reads this file.
    void set_environment(const std::string& library, std::uint64_t seed) const;

private:
    static std::size_t index(Fault fault) {
        return static_cast<std::size_t>(fault);
    }
    std::string path_;
    FaultControl* control_ = nullptr;
};

}  // namespace silverrail::lab
