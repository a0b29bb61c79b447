// The simulator's wire: batches of messages in, one reply for each batch out. Each instance of the simulator
// gets a Router of its own; instances share nothing.
#pragma once

#include <iosfwd>

namespace silverrail::routing::adapter {

// Serves batches until the input ends. Returns the exit code: 0 if it ends between two batches; else a
// message with the line number goes to `errors`, and the batch that it was in gets no reply.
int serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace silverrail::routing::adapter
