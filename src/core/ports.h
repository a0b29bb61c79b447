// The small interfaces through which the core acts on the world.
#pragma once

#include <functional>

#include "core/types.h"

namespace silverrail::core {

class Clock {
public:
    virtual ~Clock() = default;
    virtual Time now() const = 0;              // steady
    virtual std::int64_t unix_ms() const = 0;  // the system's
};

class Timers {
public:
    using Handle = std::uint64_t;
    virtual ~Timers() = default;
    virtual Handle at(Time when, std::function<void()> action) = 0;
    virtual void cancel(Handle handle) = 0;
};

// Takes the one final answer of a call.
class ReplySink {
public:
    virtual ~ReplySink() = default;
    virtual void reply(Answer answer) = 0;
    // Has the client gone, by what the system says now? Asked where it may not have been told of yet.
    virtual bool client_left() const {
        return false;
    }
};

class AttemptEvents {
public:
    virtual ~AttemptEvents() = default;
    // Asked right before an attempt's first byte goes out, whatever it waited for until then: the oldest
    // copy that will do now, or nothing if it must not be sent any more.
    virtual std::optional<Span> before_first_byte(const AttemptKey& key) = 0;
    // Its last byte is out, also where it has been given up meanwhile.
    virtual void written() = 0;
    virtual void ended(const AttemptKey& key, AttemptEnd end) = 0;
};

class AttemptSender {
public:
    virtual ~AttemptSender() = default;
    virtual void start(Order order, AttemptEvents& events) = 0;
    virtual void cancel(const AttemptKey& key) = 0;   // no event follows
    virtual void forget(const ServerId& server) = 0;  // gone or restarted: its open connections are void
};

}  // namespace silverrail::core
