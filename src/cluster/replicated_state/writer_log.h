// The changes of one writer that a replica holds: which key each version changed.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/replicated_state/hybrid_timestamp.h"

namespace silverrail::cluster {

struct WriterLog {
    std::uint64_t version = 0;                             // the highest held
    std::uint64_t collected_version = 0;                   // the highest whose key was garbage-collected here
    std::map<std::uint64_t, std::string> keys_by_version;  // the last change of each key by this writer
    std::map<std::string, std::uint64_t> versions_by_key;  // the same, by key
    UnixMs advanced_at = 0;  // approximate time of the last rise of `version`; not stored

    bool empty() const {
        return keys_by_version.empty();
    }
    // Records a change of a key. False: a later change of that key is held already.
    bool add(std::uint64_t change_version, const std::string& key);
    void remove(const std::string& key);
};

}  // namespace silverrail::cluster
