// What is in force at a moment of a trace: for each router its start, clock, servers, purges and open calls.
//
// Every chunk of a trace file opens with this, so that it can be read alone; a cut opens with it too. It is
// fed each record in order and asked for the records that would bring an empty one to the same state.
// Bounded: past `kMost…` the oldest are given up, and `given_up()` counts them.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "state/records.h"

namespace silverrail::state {

// A record that owns its texts.
class Kept {
public:
    Kept() = default;
    explicit Kept(const Record& record);
    const Record& record() const {
        return record_;
    }
    explicit operator bool() const {
        return held_;
    }

private:
    std::unique_ptr<char[]> texts_;
    Record record_{};
    bool held_ = false;
};

class InForce {
public:
    static constexpr std::size_t kMostSources = 256;
    static constexpr std::size_t kMostServers = 4096;  // for each router, as the three below
    static constexpr std::size_t kMostPurges = 8192;
    static constexpr std::size_t kMostCalls = 8192;
    static constexpr std::size_t kMostOut = 64;  // attempts of one call
    // A purge stays this long: by then no older copy is left, with room to spare.
    static constexpr std::int64_t kPurgeKept = 20'000'000'000;
    // A call that shows nothing for this long has lost its end to a gap.
    static constexpr std::int64_t kCallKept = 1'300'000'000'000;

    struct OpenCall {
        Kept taken;
        Kept closed;            // its `Answered` or `ClientClosed`; attempts may still be out
        std::vector<Kept> out;  // the `Sent` of each attempt that has not ended
    };

    void take(const Record& record);
    // The records, in an order that `take` reads back to the same state.
    void each(const std::function<void(const Record&)>& f) const;

    bool knows(std::uint32_t source) const {
        return sources_.contains(source);
    }
    std::size_t sources() const {
        return sources_.size();
    }
    // Unix ns of a steady time of that router, by its newest clock; the time as it is where none was seen.
    std::int64_t unix_ns(std::uint32_t source, std::int64_t at) const;
    const Start* start(std::uint32_t source) const;
    // Absent: its taking was not seen, or it is over.
    const OpenCall* call(std::uint32_t source, std::uint64_t call) const;
    std::size_t open_calls() const;
    std::size_t servers(std::uint32_t source) const;
    std::uint64_t given_up() const {
        return given_up_;
    }

private:
    struct Source {
        Kept start;
        Kept clock;
        std::int64_t offset = 0;
        std::map<std::string, Kept, std::less<>> servers;
        std::deque<Kept> purges;
        std::map<std::uint64_t, OpenCall> calls;
    };
    void close(Source& s, std::uint64_t call, const Record& record);
    void on_entry(Source& s, const Record& record, const Entry& entry);
    void forget(Source& s, std::int64_t now);

    std::map<std::uint32_t, Source> sources_;
    std::uint64_t given_up_ = 0;
};

}  // namespace silverrail::state
