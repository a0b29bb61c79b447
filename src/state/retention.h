// When a recording goes on in a new file, and which old files are given up for it. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace silverrail::state {

struct RetentionSettings {
    std::uint64_t most_bytes = 1 << 30;  // of all files together
    std::uint64_t file_bytes = 64 << 20;
    std::int64_t file_span_ns = 3'600'000'000'000;
};

class Retention {
public:
    explicit Retention(RetentionSettings settings) : settings_(settings) {}
    struct File {
        std::string name;  // names sort by age, oldest first
        std::uint64_t bytes = 0;
    };
    // The open file has so many bytes and was begun so long ago.
    bool rotate(std::uint64_t bytes, std::int64_t age_ns) const {
        return bytes >= settings_.file_bytes || age_ns >= settings_.file_span_ns;
    }
    // The closed files that have to go so that all of them with the open one, and the bytes that are about to
    // be written, keep the bound: the oldest first, and no more than needed.
    std::vector<std::string> give_up(std::vector<File> closed, std::uint64_t open_bytes) const;
    // A single file may hold no more than this, or the bound could not be kept by giving up others.
    std::uint64_t most_of_one() const {
        return settings_.most_bytes;
    }

private:
    RetentionSettings settings_;
};

}  // namespace silverrail::state
