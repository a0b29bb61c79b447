// The operators' overrides on disk, for all processes of one router. Changed under a lock, written beside and
// renamed, so that a reader finds the old file or the new one.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>

#include "overrides/server_overrides.h"

namespace silverrail::store {

// The file can be read, but not understood.
class OverridesFileError : public std::runtime_error {
public:
    OverridesFileError(const std::string& path, overrides::ServerOverrides::ParseError reason);
    overrides::ServerOverrides::ParseError reason() const {
        return reason_;
    }

private:
    overrides::ServerOverrides::ParseError reason_;
};

class OverridesFile {
public:
    using Change = std::function<void(overrides::ServerOverrides&)>;

    explicit OverridesFile(std::string path) : path_(std::move(path)) {}
    // No file is no overrides. Throws FileError if it can't be read, OverridesFileError if it can't be
    // understood; both with its path.
    overrides::ServerOverrides read() const;
    // Reads, changes and writes, and returns what was written. A damaged file is replaced by `own` with the
    // change; one of an unknown version is left alone. Throws as read() does, or FileError if nothing was
    // written. Waits for other processes for up to 40 ms.
    overrides::ServerOverrides update(const overrides::ServerOverrides& own, const Change& change);
    // Whether it was replaced since the last call, or since this object's own last update.
    bool has_changed();

private:
    // Identifies one replacement of the file; all 0: there is no file.
    struct Version {
        std::uint64_t inode = 0;
        std::int64_t bytes = 0;
        std::int64_t modified_s = 0;
        std::int64_t modified_ns = 0;
        bool operator==(const Version&) const = default;
    };
    Version version() const;

    std::string path_;
    Version seen_{};
};

}  // namespace silverrail::store
