// Take in: is it a call that the settings know, and what is its place among the open ones?
#pragma once

#include <unordered_map>

#include "core/types.h"

namespace silverrail::core {

class TakeIn {
public:
    explicit TakeIn(const winchflow::Settings& settings);
    // Its class; absent: there is none of that name.
    std::optional<std::size_t> class_of(const Call& call) const;
    RequestId next_id() { return RequestId{++last_id_}; }
    winchflow::Request request(RequestId id, std::size_t class_index, const Call& call) const;

private:
    std::unordered_map<std::string, std::size_t> classes_;
    std::uint64_t last_id_ = 0;
};

}  // namespace silverrail::core
