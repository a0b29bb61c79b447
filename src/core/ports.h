// The interfaces through which the core reaches its surroundings: clocks, timers, clients and servers.
#pragma once

#include <functional>

#include "core/types.h"

namespace silverrail::core {

class Clock {
public:
    virtual ~Clock() = default;
    virtual Time now() const = 0;              // monotonic
    virtual std::int64_t unix_ms() const = 0;  // the system's wall clock; it may be stepped
};

class Timers {
public:
    using Handle = std::uint64_t;  // 0: no timer
    virtual ~Timers() = default;
    virtual Handle at(Time when, std::function<void()> action) = 0;
    virtual void cancel(Handle handle) = 0;
};

// Receives the one final answer of a request.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;
    virtual void reply(ClientResponse answer) = 0;
    // Whether the operating system knows that the client has closed, even if the event loop does not yet.
    virtual bool client_closed() const {
        return false;
    }
};

// What the sender of attempts reports back.
class AttemptEvents {
public:
    virtual ~AttemptEvents() = default;
    // Called right before an attempt's first byte is written. Returns the greatest acceptable age of
    // a copy, or nothing if the attempt must not be sent any more.
    virtual std::optional<Span> before_first_byte(const AttemptKey& key) = 0;
    // An attempt's last byte is written, even if it was cancelled meanwhile.
    virtual void written() = 0;
    virtual void ended(const AttemptKey& key, AttemptResult result) = 0;
};

class AttemptSender {
public:
    virtual ~AttemptSender() = default;
    // `events` outlives the attempt. It may be called before this returns.
    virtual void start(AttemptRequest request, AttemptEvents& events) = 0;
    // Ends the attempt; no event of it follows.
    virtual void cancel(const AttemptKey& key) = 0;
    // The server is gone or was restarted: no connection that was opened before is used for a new attempt.
    virtual void discard_connections(const ServerId& server) = 0;
};

}  // namespace silverrail::core
