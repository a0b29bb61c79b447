// A Bloom filter over 64-bit keys.
#pragma once

#include <cstdint>
#include <utility>

#include "trace/format/coding.h"

namespace silverrail::trace {

// Six bits a key: of the keys that were not added, about one in eighteen is taken for one that was.
class BloomFilter {
public:
    explicit BloomFilter(std::size_t keys);
    // From its stored form; any size, also none.
    explicit BloomFilter(Bytes bits) : bits_(std::move(bits)) {}
    void add(std::uint64_t key);
    // False: the key was not added. Always true for a filter whose size is not a power of two.
    bool may_contain(std::uint64_t key) const;
    const Bytes& bits() const {
        return bits_;
    }

private:
    template <class F>
    void for_each_bit(std::uint64_t key, F&& f) const;
    Bytes bits_;
};

}  // namespace silverrail::trace
