// The operators' overrides on disk, shared by the processes of a router. Updated under a lock by writing a
// new file and renaming it, so that readers see either the old file or the new one.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>

#include "overrides/server_overrides.h"

namespace silverrail::store {

// The file can be read, but its content is damaged or of an unknown version.
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
    // A missing file means no overrides. Throws FileError if the file can't be read and OverridesFileError if
    // it can't be parsed; both messages contain the path.
    overrides::ServerOverrides read() const;
    // Reads the file, applies `change`, writes the file and returns what was written. A damaged file is
    // replaced by `own` with the change applied; one of an unknown version is left unchanged. Throws like
    // read(), and FileError if the file can't be written. Waits up to 40 ms for the lock.
    overrides::ServerOverrides update(const overrides::ServerOverrides& own, const Change& change);
    // Whether the file was replaced since the last call or the last update by this object.
    bool has_changed();

private:
    // Identifies a state of the file. All 0: no file.
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
