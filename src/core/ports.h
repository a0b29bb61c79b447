// Interfaces to the core's environment: clocks, timers, clients and servers.
#pragma once

#include <functional>

#include "core/types.h"

namespace silverrail::core {

class Clock {
public:
    virtual ~Clock() = default;
    virtual Time now() const = 0;              // monotonic
    virtual std::int64_t unix_ms() const = 0;  // the system's wall clock, which may step in either direction
};

class Timers {
public:
    using Handle = std::uint64_t;  // 0: no timer
    virtual ~Timers() = default;
    virtual Handle at(Time when, std::function<void()> action) = 0;
    virtual void cancel(Handle handle) = 0;
};

// Receives the single final response to a request.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;
    virtual void reply(ClientResponse response) = 0;
    // Whether the client has closed its connection according to the operating system, even if the event loop
    // has not been notified yet.
    virtual bool client_closed() const {
        return false;
    }
};

// Callbacks from AttemptSender to the core.
class AttemptEvents {
public:
    virtual ~AttemptEvents() = default;
    // Called immediately before an attempt's first byte is written. Returns the maximum acceptable age of a
    // cached copy, or nothing if the attempt must no longer be sent.
    virtual std::optional<Span> before_first_byte(const AttemptKey& key) = 0;
    // An attempt's last byte has been written, even if the attempt has been cancelled in the meantime.
    virtual void written() = 0;
    virtual void ended(const AttemptKey& key, AttemptResult result) = 0;
};

class AttemptSender {
public:
    virtual ~AttemptSender() = default;
    // `events` must outlive the attempt, and may be called before this returns.
    virtual void start(AttemptRequest request, AttemptEvents& events) = 0;
    // Cancels the attempt. No further callbacks are made for it.
    virtual void cancel(const AttemptKey& key) = 0;
    // The server has left or has restarted: connections opened before this call are not reused for new
    // attempts.
    virtual void discard_connections(const ServerId& server) = 0;
};

}  // namespace silverrail::core
