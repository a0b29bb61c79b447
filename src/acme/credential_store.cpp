#include "acme/credential_store.h"

#include <fstream>
#include <sstream>

#include "store/replace_file.h"

namespace silverrail::acme {

std::string CredentialStore::path_of(const std::string& file) const {
    return folder_ + "/" + file;
}

std::optional<std::string> CredentialStore::load(const std::string& file) const {
    if (folder_.empty())
        return std::nullopt;
    std::ifstream in{path_of(file), std::ios::binary};
    if (!in)
        return std::nullopt;
    std::ostringstream bytes;
    bytes << in.rdbuf();
    return bytes.str();
}

void CredentialStore::save(const std::string& file, std::string_view bytes) const {
    if (folder_.empty())
        return;
    store::replace_file(path_of(file), bytes);
}

}  // namespace silverrail::acme
