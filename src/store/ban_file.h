// The bans on disk, for all processes of one router: changed under a lock, written beside and renamed, so
// that a reader sees the old file or the new one.
#pragma once

#include <functional>
#include <string>
#include <tuple>

#include "members/bans.h"

namespace silverrail::store {

class BanFile {
public:
    explicit BanFile(std::string file) : file_(std::move(file)) {}
    // No file is no bans. Throws std::runtime_error, with the file's name, if it can't be read or understood.
    members::Bans read() const;
    // Reads, changes and writes. A damaged file is replaced by what `own` holds, with the change; one of
    // another version is left alone. Throws std::runtime_error if nothing was written.
    members::Bans change(const members::Bans& own, const std::function<void(members::Bans&)>& change);
    // Has it been replaced since this was asked last?
    bool changed();

private:
    using Stamp = std::tuple<std::uint64_t, std::int64_t, std::int64_t, std::int64_t>;
    Stamp stamp() const;
    std::string file_;
    Stamp seen_{};
};

}  // namespace silverrail::store
