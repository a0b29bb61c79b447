// The records of a trace: what one router did, seen at its decision module's edge. Plain values, no I/O.
//
// Texts are views: a record is good only while what it was read from, or made from, is.
// A time is steady nanoseconds of the router that wrote it, unless its name ends in `unix_ns` or `unix_ms`.
// Each struct lists its fields once, in `fields`; files, JSON, pseudonyms and comparisons all go by that
// list. Fields are known by their place in it: a minor version may add at the end, nothing else.
#pragma once

#include <cmath>
#include <cstdint>
#include <limits>
#include <string_view>
#include <tuple>
#include <variant>

namespace silverrail::state {

using Text = std::string_view;

// Stands for an absent time.
inline constexpr std::int64_t kNoTime = std::numeric_limits<std::int64_t>::min();
// Stands for an absent measure.
inline constexpr double kNoFigure = std::numeric_limits<double>::quiet_NaN();

// How a field's values are best packed. What is written is always exact.
enum class Pack : std::uint8_t {
    plain,  // small whole numbers and spans
    step,   // numbers near their predecessors: ids, times
    pick,   // few different values: texts, sizes, measures
    fixed,  // eight bytes that do not repeat
};

// Binary form of a client's address: 4 or 16 bytes, or none.
struct Start {
    static constexpr const char* kName = "start";
    Text router;
    std::int64_t incarnation_unix_ns = 0;  // when the process began: tells two runs of one router apart
    std::uint64_t seed = 0;
    Text program;                    // version that wrote it
    Text settings;                   // the configuration as JSON, less what discovery had told before
    std::int64_t offset = 0;         // Unix time less steady time, ns
    std::int64_t correction_ns = 0;  // what a merge has added to that offset
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("router", s.router, Pack::pick);
        v("incarnation_unix_ns", s.incarnation_unix_ns, Pack::plain);
        v("seed", s.seed, Pack::fixed);
        v("program", s.program, Pack::pick);
        v("settings", s.settings, Pack::pick);
        v("offset", s.offset, Pack::step);
        v("correction_ns", s.correction_ns, Pack::plain);
    }
};

// The two clocks compared anew.
struct Clock {
    static constexpr const char* kName = "clock";
    std::int64_t offset = 0;
    std::int64_t correction_ns = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("offset", s.offset, Pack::step);
        v("correction_ns", s.correction_ns, Pack::step);
    }
};

// Discovery's list, or a change of it; that many `Entry` records follow.
struct List {
    static constexpr const char* kName = "list";
    std::uint64_t entries = 0;
    bool complete = false;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("entries", s.entries, Pack::plain);
        v("complete", s.complete, Pack::plain);
    }
};

struct Entry {
    static constexpr const char* kName = "entry";
    Text id;
    Text address;
    Text zone;
    Text kind;
    std::uint8_t condition = 0;  // routing::Condition
    double weight = 1;
    std::int64_t cell = 0;
    std::int64_t started_at = kNoTime;
    std::int64_t started_unix_ms = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("id", s.id, Pack::pick);
        v("address", s.address, Pack::pick);
        v("zone", s.zone, Pack::pick);
        v("kind", s.kind, Pack::pick);
        v("condition", s.condition, Pack::plain);
        v("weight", s.weight, Pack::pick);
        v("cell", s.cell, Pack::plain);
        v("up_since", s.started_at, Pack::plain);
        v("started_unix_ms", s.started_unix_ms, Pack::plain);
    }
};

struct Purge {
    static constexpr const char* kName = "purge";
    bool whole_group = false;
    std::uint64_t object = 0;
    std::uint64_t group = 0;
    std::int64_t issued_unix_ms = 0;
    std::int64_t age = 0;  // as the module was told
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("whole_group", s.whole_group, Pack::plain);
        v("object", s.object, Pack::fixed);
        v("group", s.group, Pack::plain);
        v("issued_unix_ms", s.issued_unix_ms, Pack::step);
        v("age", s.age, Pack::plain);
    }
};

// A call came in. `call` is 0 where the module was not told of it: it was turned away at the door.
struct Taken {
    static constexpr const char* kName = "taken";
    std::uint64_t call = 0;
    Text trace;  // the client's id, where it is not 16 hex digits
    std::uint64_t trace_id = 0;
    Text client;                    // bytes of the address
    std::uint8_t front = 0;         // core::Front
    std::uint64_t class_index = 0;  // in the settings; as many as there are classes: an unknown one
    std::uint64_t object = 0;
    std::uint64_t group = 0;
    bool group_known = true;
    std::uint64_t part = 0;
    double size_kb = 0;
    std::int64_t wait = 0;  // until its deadline, from here
    Text have;              // tag of the client's copy
    bool write = false;
    std::uint64_t body_bytes = 0;
    bool redirected = false;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.call, Pack::step);
        v("trace", s.trace, Pack::pick);
        v("trace_id", s.trace_id, Pack::fixed);
        v("client", s.client, Pack::pick);
        v("front", s.front, Pack::plain);
        v("class_index", s.class_index, Pack::plain);
        v("object", s.object, Pack::pick);
        v("group", s.group, Pack::plain);
        v("group_known", s.group_known, Pack::plain);
        v("part", s.part, Pack::plain);
        v("size_kb", s.size_kb, Pack::pick);
        v("wait", s.wait, Pack::plain);
        v("have", s.have, Pack::pick);
        v("write", s.write, Pack::plain);
        v("body_bytes", s.body_bytes, Pack::plain);
        v("referred", s.redirected, Pack::plain);
    }
};

// How a call stands to the module once it was told of it.
struct ClientClosed {
    static constexpr const char* kName = "abandoned";
    std::uint64_t call = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.call, Pack::step);
    }
};

// The module was told how an attempt ended.
struct Ended {
    static constexpr const char* kName = "ended";
    std::uint64_t call = 0;
    std::uint64_t attempt = 0;
    std::uint8_t attempt_status = 0;  // routing::AttemptStatus
    std::uint8_t cache_status = 0;    // routing::CacheStatus
    bool over = false;
    std::int64_t took = 0;
    std::int64_t source_wait = 0;
    double in_flight = kNoFigure;
    double utilisation = kNoFigure;
    double hit_share = kNoFigure;
    double link_fullness = kNoFigure;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.call, Pack::step);
        v("attempt", s.attempt, Pack::plain);
        v("ending", s.attempt_status, Pack::plain);
        v("note", s.cache_status, Pack::plain);
        v("over", s.over, Pack::plain);
        v("took", s.took, Pack::plain);
        v("source_wait", s.source_wait, Pack::plain);
        v("in_flight", s.in_flight, Pack::pick);
        v("utilisation", s.utilisation, Pack::pick);
        v("hit_share", s.hit_share, Pack::pick);
        v("link_fullness", s.link_fullness, Pack::pick);
    }
};

// A timer of the module's fired, and it was told.
struct Fired {
    static constexpr const char* kName = "fired";
    std::uint64_t timer = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("timer", s.timer, Pack::step);
    }
};

// What the module said to the record above: `Sent`, `Cancelled`, `Refused`, `GivenUp`, `TimerSet`, in order.
struct Sent {
    static constexpr const char* kName = "sent";
    std::uint64_t call = 0;
    std::uint64_t attempt = 0;
    Text target;
    std::int64_t timeout = 0;  // 0: until the client gives up
    bool fills = false;        // false: a plain look
    Text source;               // where a miss is filled from; the target itself: nowhere
    std::uint8_t retention = 0;
    std::int64_t oldest = 0;  // 0: the class's fresh time
    bool join = false;
    bool revalidate = false;
    bool only_if_cached = false;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.call, Pack::step);
        v("attempt", s.attempt, Pack::plain);
        v("target", s.target, Pack::pick);
        v("timeout", s.timeout, Pack::plain);
        v("fills", s.fills, Pack::plain);
        v("source", s.source, Pack::pick);
        v("rank", s.retention, Pack::plain);
        v("oldest", s.oldest, Pack::plain);
        v("join", s.join, Pack::plain);
        v("renew", s.revalidate, Pack::plain);
        v("held_only", s.only_if_cached, Pack::plain);
    }
};

struct Cancelled {
    static constexpr const char* kName = "cancelled";
    std::uint64_t call = 0;
    std::uint64_t attempt = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.call, Pack::step);
        v("attempt", s.attempt, Pack::plain);
    }
};

struct Refused {
    static constexpr const char* kName = "refused";
    std::uint64_t call = 0;
    std::int64_t retry_after = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.call, Pack::step);
        v("retry_after", s.retry_after, Pack::plain);
    }
};

struct GivenUp {
    static constexpr const char* kName = "given_up";
    std::uint64_t call = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.call, Pack::step);
    }
};

struct TimerSet {
    static constexpr const char* kName = "timer_set";
    std::uint64_t timer = 0;
    std::int64_t after = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("timer", s.timer, Pack::step);
        v("after", s.after, Pack::plain);
    }
};

// An attempt's first byte was due.
struct FirstByte {
    static constexpr const char* kName = "first_byte";
    enum Verdict : std::uint8_t { written, held, tightened };
    std::uint64_t call = 0;
    std::uint64_t attempt = 0;
    std::uint8_t verdict = written;
    std::int64_t oldest = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.call, Pack::step);
        v("attempt", s.attempt, Pack::plain);
        v("verdict", s.verdict, Pack::plain);
        v("oldest", s.oldest, Pack::plain);
    }
};

// The one final answer. `call` is 0 for a call that was turned away at the door: the `Taken` right before.
struct Answered {
    static constexpr const char* kName = "answered";
    std::uint64_t call = 0;
    std::uint8_t kind = 0;  // core::Answer::Kind
    bool timed_out = false;
    std::int64_t hold_off = 0;
    std::uint64_t bytes = 0;
    std::int64_t made_unix_ms = 0;  // when the origin gave out what was served; 0: not told
    Text tag;
    Text server;  // address that a referral named
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.call, Pack::step);
        v("kind", s.kind, Pack::plain);
        v("timed_out", s.timed_out, Pack::plain);
        v("hold_off", s.hold_off, Pack::plain);
        v("bytes", s.bytes, Pack::pick);
        v("made_unix_ms", s.made_unix_ms, Pack::step);
        v("tag", s.tag, Pack::pick);
        v("box", s.server, Pack::pick);
    }
};

// That many records are missing, between two steady times.
struct Gap {
    static constexpr const char* kName = "gap";
    std::uint64_t records = 0;
    std::int64_t from = 0;
    std::int64_t to = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("records", s.records, Pack::plain);
        v("from", s.from, Pack::plain);
        v("to", s.to, Pack::plain);
    }
};

// Types are numbered by their place here, from 0. New ones are added at the end only.
using Body = std::variant<Start, Clock, List, Entry, Purge, Taken, ClientClosed, Ended, Fired, Sent,
                          Cancelled, Refused, GivenUp, TimerSet, FirstByte, Answered, Gap>;
inline constexpr std::size_t kTypes = std::variant_size_v<Body>;

template <class T, std::size_t I = 0>
constexpr std::size_t type_of() {
    if constexpr (std::is_same_v<std::variant_alternative_t<I, Body>, T>)
        return I;
    else
        return type_of<T, I + 1>();
}

struct Record {
    std::int64_t at = 0;       // steady ns of its router
    std::uint32_t source = 0;  // which router of a merged trace; 0 otherwise
    Body body;
};

// Runs `f` on a default value of the type numbered `type`; false: there is no such type.
template <class F, std::size_t I = 0>
bool with_type(std::size_t type, F&& f) {
    if constexpr (I < kTypes) {
        if (type == I) {
            f(std::variant_alternative_t<I, Body>{});
            return true;
        }
        return with_type<F, I + 1>(type, std::forward<F>(f));
    } else {
        return false;
    }
}

inline const char* name_of(const Body& body) {
    return std::visit([](const auto& b) { return std::decay_t<decltype(b)>::kName; }, body);
}

// Absent figures are the same as each other; everything else by value.
inline bool same(double a, double b) {
    return a == b || (std::isnan(a) && std::isnan(b));
}
template <class T>
bool same(const T& a, const T& b) {
    return a == b;
}

}  // namespace silverrail::state
