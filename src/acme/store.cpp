#include <fstream>
#include <sstream>

#include "acme/client.h"
#include "store/replace_file.h"

namespace silverrail::acme {

std::optional<std::string> Store::load(const std::string& file) const {
    if (folder_.empty())
        return std::nullopt;
    std::ifstream in{folder_ + "/" + file, std::ios::binary};
    if (!in)
        return std::nullopt;
    std::ostringstream bytes;
    bytes << in.rdbuf();
    return bytes.str();
}

void Store::save(const std::string& file, std::string_view bytes) const {
    if (folder_.empty())
        return;
    store::replace_file(folder_ + "/" + file, bytes);
}

}  // namespace silverrail::acme
