#include "state/retention.h"

#include <algorithm>

namespace silverrail::state {

std::vector<std::string> Retention::give_up(std::vector<File> closed, std::uint64_t open_bytes) const {
    std::sort(closed.begin(), closed.end(), [](const File& a, const File& b) { return a.name < b.name; });
    std::uint64_t all = open_bytes;
    for (const File& f : closed)
        all += f.bytes;
    std::vector<std::string> gone;
    for (const File& f : closed) {
        if (all <= settings_.most_bytes)
            break;
        all -= f.bytes;
        gone.push_back(f.name);
    }
    return gone;
}

}  // namespace silverrail::state
