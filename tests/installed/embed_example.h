#pragma once

#include <string>

namespace embed_example {

// Returns the target of the first request of a router with one cache, one parent and one origin.
std::string first_target();

}  // namespace embed_example
