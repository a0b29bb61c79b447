// The value of one key of the replicated state, with the data needed to merge it with another copy.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/membership/member_record.h"
#include "cluster/replicated_state/hybrid_timestamp.h"

namespace silverrail::cluster {

inline constexpr std::size_t kMaxKeyLength = 192;
inline constexpr std::size_t kMaxValueLength = 128;
inline constexpr std::size_t kMaxWrites = 32;  // of one key
inline constexpr std::size_t kMaxWriterLength = kMaxNameLength + 24;

// The last write of one writer to a key. Its versions are those of the writer's changes.
struct KeyWrite {
    std::uint64_t set_version = 0;      // of its last set
    std::uint64_t cleared_version = 0;  // sets up to this version are cleared
    HybridTimestamp timestamp = 0;      // of the set
    std::string value;

    bool is_live() const {
        return set_version > cleared_version;
    }
    // Turns the write into a tombstone, which keeps only the versions.
    void clear();
    bool operator==(const KeyWrite&) const = default;
};

struct ReplicatedEntry {
    std::map<std::string, KeyWrite> writes;  // by writer
    HybridTimestamp changed = 0;             // time of the last set or clear

    // The live write with the highest timestamp; of equal ones that of the writer whose name sorts last.
    // Null: the key is not set.
    const KeyWrite* winner() const;
    bool is_set() const {
        return winner() != nullptr;
    }
    bool operator==(const ReplicatedEntry&) const = default;
};

// The merge of two copies of one key: commutative, associative, idempotent.
ReplicatedEntry join(const ReplicatedEntry& a, const ReplicatedEntry& b);

// True if key and entry are within the limits above and the entry is consistent.
bool is_valid(const std::string& key, const ReplicatedEntry& entry);

}  // namespace silverrail::cluster
