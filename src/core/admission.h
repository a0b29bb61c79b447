// Admission control: limits the number of open requests, and admits none while memory is short.
#pragma once

#include <cstddef>
#include <functional>

namespace silverrail::core {

class Admission {
public:
    explicit Admission(std::size_t max_open_requests) : max_open_requests_(max_open_requests) {}
    // `has_memory`: whether there is memory for another request and the response to it.
    void set_memory_check(std::function<bool()> has_memory) {
        has_memory_ = std::move(has_memory);
    }
    bool admits(std::size_t open_requests) const {
        return open_requests < max_open_requests_ && (!has_memory_ || has_memory_());
    }

private:
    std::size_t max_open_requests_;
    std::function<bool()> has_memory_;
};

}  // namespace silverrail::core
