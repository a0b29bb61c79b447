#include "trace/model/retention.h"

#include <algorithm>

namespace silverrail::trace::model {

std::vector<std::string> Retention::files_to_remove(std::vector<File> closed,
                                                    std::uint64_t open_bytes) const {
    std::sort(closed.begin(), closed.end(), [](const File& a, const File& b) { return a.name < b.name; });
    std::uint64_t total = open_bytes;
    for (const File& file : closed)
        total += file.bytes;
    std::vector<std::string> removed;
    for (const File& file : closed) {
        if (total <= settings_.max_total_bytes)
            break;
        total -= file.bytes;
        removed.push_back(file.name);
    }
    return removed;
}

}  // namespace silverrail::trace::model
