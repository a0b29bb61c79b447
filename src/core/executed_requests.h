// Remembers by their clients' ids which requests may have run at a server, longer than the requests
// themselves are open, and for all processes of this router.
#pragma once

#include <string_view>

namespace silverrail::core {

class ExecutedRequests {
public:
    virtual ~ExecutedRequests() = default;
    // The request is about to be sent to a server. Returns false if a request with this id may have run
    // already, or is about to run in another process.
    virtual bool record(std::string_view trace_id) = 0;
    virtual bool contains(std::string_view trace_id) const = 0;
    // The request has ended and never ran. Only for an id that record() returned true for.
    virtual void remove(std::string_view trace_id) = 0;
};

}  // namespace silverrail::core
