// Admit: bounds on what is open at once.
#pragma once

#include <cstddef>

namespace silverrail::core {

class Admit {
public:
    explicit Admit(std::size_t most_open) : most_open_(most_open) {}
    bool admits(std::size_t open) const;

private:
    std::size_t most_open_;
};

}  // namespace silverrail::core
