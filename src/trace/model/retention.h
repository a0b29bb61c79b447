// When a recording continues in a new file, and which old files are removed for it. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace silverrail::trace::model {

struct RetentionSettings {
    std::uint64_t max_total_bytes = 1 << 30;
    std::uint64_t max_file_bytes = 64 << 20;
    std::int64_t max_file_age_ns = 3'600'000'000'000;
};

class Retention {
public:
    explicit Retention(RetentionSettings settings) : settings_(settings) {}
    struct File {
        std::string name;  // names sort by age, oldest first
        std::uint64_t bytes = 0;
    };
    // Whether the open file, of this size and age, is to be closed.
    bool should_rotate(std::uint64_t bytes, std::int64_t age_ns) const {
        return bytes >= settings_.max_file_bytes || age_ns >= settings_.max_file_age_ns;
    }
    // The closed files to remove so that the others and the open one stay within the limit: the oldest first,
    // and no more than necessary.
    std::vector<std::string> files_to_remove(std::vector<File> closed, std::uint64_t open_bytes) const;

private:
    RetentionSettings settings_;
};

}  // namespace silverrail::trace::model
