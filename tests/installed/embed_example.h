#pragma once

#include <string>

namespace embed_example {

// Where a router with one cache, one parent and one origin sends its first request.
std::string first_target();

}  // namespace embed_example
