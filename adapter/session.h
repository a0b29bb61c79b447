// Serves the simulator's protocol: reads batches of messages and writes one reply per batch. Each instance
// has its own Router; instances share only the server lists.
#pragma once

#include <iosfwd>

namespace silverrail::routing::adapter {

// Serves batches until the input ends. Returns the exit code: 0 if the input is well-formed and ends
// between two batches. Otherwise an error message with the line number is written to `errors`, and the
// batch gets no reply.
int serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace silverrail::routing::adapter
