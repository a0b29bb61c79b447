#include "lab/synthetic_trace/object_catalog.h"

#include "trace/format/coding.h"

namespace silverrail::lab {

std::uint64_t hash_number(std::uint64_t number) {
    const std::uint64_t salted = number + 0x9e3779b97f4a7c15U;
    return trace::checksum({reinterpret_cast<const char*>(&salted), sizeof salted});
}

}  // namespace silverrail::lab
