#include "cluster/replicated_state/writer_log.h"

namespace silverrail::cluster {

bool WriterLog::add(std::uint64_t change_version, const std::string& key) {
    const auto [entry, inserted] = versions_by_key.try_emplace(key, change_version);
    if (!inserted) {
        if (entry->second >= change_version)
            return false;
        keys_by_version.erase(entry->second);
        entry->second = change_version;
    }
    keys_by_version[change_version] = key;
    return true;
}

void WriterLog::remove(const std::string& key) {
    const auto entry = versions_by_key.find(key);
    if (entry == versions_by_key.end())
        return;
    keys_by_version.erase(entry->second);
    versions_by_key.erase(entry);
}

}  // namespace silverrail::cluster
