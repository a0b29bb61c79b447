#include "core/admit.h"

namespace silverrail::core {

bool Admit::admits(std::size_t open) const {
    return open < most_open_;
}

}  // namespace silverrail::core
