#include "trace/format/bloom_filter.h"

#include <algorithm>
#include <bit>

namespace silverrail::trace {

constexpr std::size_t kBitsPerKey = 6;
constexpr unsigned kProbes = 4;
constexpr std::size_t kMinBytes = 8;

BloomFilter::BloomFilter(std::size_t keys)
    : bits_(std::bit_ceil(std::max(kMinBytes, keys * kBitsPerKey / 8)), '\0') {}

template <class F>
void BloomFilter::for_each_bit(std::uint64_t key, F&& f) const {
    const std::uint64_t mask = bits_.size() * 8 - 1;
    const std::uint64_t step = (key >> 32) | 1;
    for (unsigned i = 0; i < kProbes; ++i)
        f((key + i * step) & mask);
}

void BloomFilter::add(std::uint64_t key) {
    for_each_bit(key, [this](std::uint64_t bit) {
        bits_[bit / 8] = static_cast<char>(bits_[bit / 8] | (1 << (bit % 8)));
    });
}

bool BloomFilter::may_contain(std::uint64_t key) const {
    if (!std::has_single_bit(bits_.size()))
        return true;
    bool all = true;
    for_each_bit(key, [&](std::uint64_t bit) { all = all && (bits_[bit / 8] >> (bit % 8) & 1); });
    return all;
}

}  // namespace silverrail::trace
