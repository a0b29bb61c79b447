#include "members/shares.h"

#include <algorithm>

namespace silverrail::members {

namespace {
// Clients hold a third of the descriptors at most. Some more are for those that are about to be closed.
constexpr std::size_t kClientsPart = 3;
constexpr std::size_t kClosing = 24;
// Where few are left, a connection that asks needs one to a server.
constexpr std::size_t kClientsOfLeft = 60;  // per cent
// The least that still serves, whatever the limits say.
constexpr std::size_t kLeast = 8;
constexpr std::size_t kCallersPart = 32;
constexpr std::size_t kFewestCallers = 4;
constexpr std::size_t kMostCallers = 16;
// An eighth of the memory for copies of its own: the least that the platform gives has room for that beside
// what answers under way may hold.
constexpr std::size_t kCopiesPart = 8;
}  // namespace

Shares shares_of(const Whole& whole, std::size_t processes) {
    processes = std::max<std::size_t>(1, processes);
    const std::size_t sockets = whole.sockets / processes;
    Shares s;
    if (whole.control)
        s.callers = std::clamp(sockets / kCallersPart, kFewestCallers, kMostCallers);
    // One more for a caller that is just being taken.
    const std::size_t taken = kFixed + whole.others + (whole.control ? s.callers + 1 : 0);
    const std::size_t left = sockets > taken ? sockets - taken : 0;
    s.clients = std::max(
        kLeast, std::min(sockets / kClientsPart + kClosing / processes, left * kClientsOfLeft / 100));
    s.servers = std::max(kLeast, left - std::min(left, s.clients));
    s.copies_bytes = whole.memory_bytes / kCopiesPart / processes;
    return s;
}

}  // namespace silverrail::members
