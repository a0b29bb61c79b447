// The bench's wire: text batches in, one reply per batch out. Parsing and formatting only; each instance
// gets an independent Router, and nothing is shared between them.
#pragma once

#include <iosfwd>

namespace silverrail::routing::adapter {

// Serves batches until the input ends. Returns the exit code: 0 where it ends between two batches; else a
// message with the line number goes to `errors`, and no reply is given to the batch it was in.
int serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace silverrail::routing::adapter
