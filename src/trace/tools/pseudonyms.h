// Keyed pseudonyms.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "trace/format/coding.h"

namespace silverrail::trace {

// Maps names to 64-bit pseudonyms by HMAC-SHA-256: equal names of a domain get equal pseudonyms, which reveal
// nothing without the key. Throws ToolError if OpenSSL fails.
class Pseudonyms {
public:
    explicit Pseudonyms(std::string key) : key_(std::move(key)) {}
    std::uint64_t get(char domain, ByteView name);
    std::uint64_t get(char domain, std::uint64_t number);

private:
    static constexpr std::size_t kMaxCached = 200'000;
    std::string key_;
    std::string input_;  // reused
    std::unordered_map<std::string, std::uint64_t> cache_;
};

}  // namespace silverrail::trace
