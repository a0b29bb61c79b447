#include "trace/tools/pseudonyms.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "trace/tools/tool.h"

namespace silverrail::trace {

std::uint64_t Pseudonyms::get(char domain, ByteView name) {
    input_.assign(1, domain);
    input_ += name;
    if (const auto cached = cache_.find(input_); cached != cache_.end())
        return cached->second;
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    if (!HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
              reinterpret_cast<const unsigned char*>(input_.data()), input_.size(), digest, &size))
        throw ToolError("HMAC failed");
    const std::uint64_t pseudonym = u64_at({reinterpret_cast<const char*>(digest), size});
    if (cache_.size() >= kMaxCached)
        cache_.clear();
    cache_.emplace(input_, pseudonym);
    return pseudonym;
}

std::uint64_t Pseudonyms::get(char domain, std::uint64_t number) {
    return get(domain, ByteView{reinterpret_cast<const char*>(&number), sizeof number});
}

}  // namespace silverrail::trace
