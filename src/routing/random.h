// The module's only source of randomness: a sequence determined by the seed, so that a run can be replayed.
#pragma once

#include <cstdint>

#include "routing/hashing.h"

namespace silverrail::routing {

class Random {
public:
    explicit Random(std::uint64_t seed) : seed_(seed) {}

    // Returns the next number of the sequence, in (0, 1).
    double next() {
        return fraction_of(mix_bits(++draws_));
    }

    // Returns a number in (0, 1) that depends only on the seed and `value`; it does not advance the sequence.
    double fraction_of(std::uint64_t value) const {
        return to_fraction(mix_bits(seed_ ^ value));
    }

private:
    std::uint64_t seed_;
    std::uint64_t draws_ = 0;
};

}  // namespace silverrail::routing
