// Admission control: limits the number of open requests.
#pragma once

#include <cstddef>

namespace silverrail::core {

class Admission {
public:
    explicit Admission(std::size_t max_open_requests) : max_open_requests_(max_open_requests) {}
    bool admits(std::size_t open_requests) const {
        return open_requests < max_open_requests_;
    }

private:
    std::size_t max_open_requests_;
};

}  // namespace silverrail::core
