#include "cluster/replicated_state/replicated_entry.h"

#include <algorithm>

namespace silverrail::cluster {

void KeyWrite::clear() {
    *this = {set_version, std::max(set_version, cleared_version), 0, {}};
}

const KeyWrite* ReplicatedEntry::winner() const {
    const KeyWrite* out = nullptr;
    for (const auto& [writer, write] : writes)
        if (write.is_live() && (!out || write.timestamp >= out->timestamp))
            out = &write;
    return out;
}

ReplicatedEntry join(const ReplicatedEntry& a, const ReplicatedEntry& b) {
    ReplicatedEntry out = a;
    out.changed = std::max(a.changed, b.changed);
    for (const auto& [writer, theirs] : b.writes) {
        auto& write = out.writes[writer];
        const auto cleared = std::max(write.cleared_version, theirs.cleared_version);
        if (theirs.set_version > write.set_version)
            write = theirs;
        write.cleared_version = cleared;
        if (!write.is_live())
            write.clear();
    }
    return out;
}

namespace {

bool is_valid(const std::string& writer, const KeyWrite& write, HybridTimestamp entry_changed) {
    if (writer.empty() || writer.size() > kMaxWriterLength || write.value.size() > kMaxValueLength)
        return false;
    if (write.timestamp > entry_changed || (write.set_version == 0 && write.cleared_version == 0))
        return false;
    return write.is_live() ? write.timestamp > 0 : write.value.empty();
}

}  // namespace

bool is_valid(const std::string& key, const ReplicatedEntry& entry) {
    return !key.empty() && key.size() <= kMaxKeyLength && entry.changed > 0 &&
           entry.writes.size() <= kMaxWrites &&
           std::all_of(entry.writes.begin(), entry.writes.end(), [&entry](const auto& item) {
               return is_valid(item.first, item.second, entry.changed);
           });
}

}  // namespace silverrail::cluster
