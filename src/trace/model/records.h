// The records of a trace: events at the interface of one router's decision module. Plain values, no I/O.
//
// Lifetime: texts are views; a record is valid only as long as the buffer it was read from.
// Units: times and durations are nanoseconds on the steady clock of the router that wrote the record, unless
// the name ends in `_unix_ns` or `_unix_ms`. Each struct enumerates its fields once, in `fields`; the file
// format, JSON, anonymization and comparison all use that list. The format identifies a field by its
// position, so a minor version may only append fields. The names passed to the visitor are the names in JSON
// output and never change.
#pragma once

#include <cmath>
#include <cstdint>
#include <limits>
#include <string_view>
#include <tuple>
#include <variant>

namespace silverrail::trace::model {

using Text = std::string_view;

// An absent time.
inline constexpr std::int64_t kNoTime = std::numeric_limits<std::int64_t>::min();
// An absent measurement.
inline constexpr double kNoValue = std::numeric_limits<double>::quiet_NaN();

// The encoding that suits a field's values; all of them are lossless.
enum class Encoding : std::uint8_t {
    plain,       // small integers and durations
    delta,       // numbers close to their predecessors: ids, times
    dictionary,  // few distinct values: texts, sizes, measurements
    fixed,       // eight incompressible bytes
};

// A router process began, or a trace file opens.
struct RouterStarted {
    static constexpr const char* kName = "start";
    Text router_name;
    std::int64_t incarnation_unix_ns = 0;  // start of the process; distinguishes runs of one router
    std::uint64_t seed = 0;
    Text program;                    // program version
    Text settings;                   // configuration as JSON, without the state learned from discovery
    std::int64_t offset = 0;         // Unix time minus steady time, ns
    std::int64_t correction_ns = 0;  // included in `offset` by a merge
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("router", s.router_name, Encoding::dictionary);
        v("incarnation_unix_ns", s.incarnation_unix_ns, Encoding::plain);
        v("seed", s.seed, Encoding::fixed);
        v("program", s.program, Encoding::dictionary);
        v("settings", s.settings, Encoding::dictionary);
        v("offset", s.offset, Encoding::delta);
        v("correction_ns", s.correction_ns, Encoding::plain);
    }
};

// A new comparison of the Unix clock and the steady clock.
struct ClockSample {
    static constexpr const char* kName = "clock";
    std::int64_t offset = 0;
    std::int64_t correction_ns = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("offset", s.offset, Encoding::delta);
        v("correction_ns", s.correction_ns, Encoding::delta);
    }
};

// The endpoint list of service discovery, or a change to it; `entries` `ServerListEntry` records follow.
struct ServerListChanged {
    static constexpr const char* kName = "list";
    std::uint64_t entries = 0;
    bool complete = false;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("entries", s.entries, Encoding::plain);
        v("complete", s.complete, Encoding::plain);
    }
};

struct ServerListEntry {
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
        v("id", s.id, Encoding::dictionary);
        v("address", s.address, Encoding::dictionary);
        v("zone", s.zone, Encoding::dictionary);
        v("kind", s.kind, Encoding::dictionary);
        v("condition", s.condition, Encoding::plain);
        v("weight", s.weight, Encoding::dictionary);
        v("cell", s.cell, Encoding::plain);
        v("up_since", s.started_at, Encoding::plain);
        v("started_unix_ms", s.started_unix_ms, Encoding::plain);
    }
};

struct PurgeReceived {
    static constexpr const char* kName = "purge";
    bool whole_group = false;
    std::uint64_t object = 0;
    std::uint64_t group = 0;
    std::int64_t issued_unix_ms = 0;
    std::int64_t age = 0;  // as passed to the decision module
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("whole_group", s.whole_group, Encoding::plain);
        v("object", s.object, Encoding::fixed);
        v("group", s.group, Encoding::plain);
        v("issued_unix_ms", s.issued_unix_ms, Encoding::delta);
        v("age", s.age, Encoding::plain);
    }
};

// A request arrived. `request` is 0 if admission control rejected it before the decision module saw it.
struct RequestReceived {
    static constexpr const char* kName = "taken";
    std::uint64_t request = 0;
    Text client_request_id;                   // the client's id, if it is not 16 hex digits
    std::uint64_t client_request_number = 0;  // the client's id, if it is 16 hex digits
    Text client;                              // address: 4 or 16 bytes, or empty
    std::uint8_t front = 0;                   // core::FrontEnd
    std::uint64_t class_index = 0;            // into the settings' classes; past the end: unknown class
    std::uint64_t object = 0;
    std::uint64_t group = 0;
    bool group_known = true;
    std::uint64_t part = 0;
    double size_kb = 0;
    std::int64_t time_to_deadline = 0;
    Text entity_tag;  // of the client's cached copy
    bool write = false;
    std::uint64_t body_bytes = 0;
    bool redirected = false;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.request, Encoding::delta);
        v("trace", s.client_request_id, Encoding::dictionary);
        v("trace_id", s.client_request_number, Encoding::fixed);
        v("client", s.client, Encoding::dictionary);
        v("front", s.front, Encoding::plain);
        v("class_index", s.class_index, Encoding::plain);
        v("object", s.object, Encoding::dictionary);
        v("group", s.group, Encoding::plain);
        v("group_known", s.group_known, Encoding::plain);
        v("part", s.part, Encoding::plain);
        v("size_kb", s.size_kb, Encoding::dictionary);
        v("wait", s.time_to_deadline, Encoding::plain);
        v("have", s.entity_tag, Encoding::dictionary);
        v("write", s.write, Encoding::plain);
        v("body_bytes", s.body_bytes, Encoding::plain);
        v("referred", s.redirected, Encoding::plain);
    }
};

// The client closed its connection, as passed to the decision module.
struct ClientClosed {
    static constexpr const char* kName = "abandoned";
    std::uint64_t request = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.request, Encoding::delta);
    }
};

// The outcome of an attempt, as passed to the decision module.
struct AttemptEnded {
    static constexpr const char* kName = "ended";
    std::uint64_t request = 0;
    std::uint64_t attempt = 0;
    std::uint8_t attempt_status = 0;  // routing::AttemptStatus
    std::uint8_t cache_status = 0;    // routing::CacheStatus
    bool over = false;
    std::int64_t duration = 0;
    std::int64_t fill_wait = 0;
    double in_flight = kNoValue;
    double utilisation = kNoValue;
    double hit_share = kNoValue;
    double link_utilisation = kNoValue;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.request, Encoding::delta);
        v("attempt", s.attempt, Encoding::plain);
        v("ending", s.attempt_status, Encoding::plain);
        v("note", s.cache_status, Encoding::plain);
        v("over", s.over, Encoding::plain);
        v("took", s.duration, Encoding::plain);
        v("source_wait", s.fill_wait, Encoding::plain);
        v("in_flight", s.in_flight, Encoding::dictionary);
        v("utilisation", s.utilisation, Encoding::dictionary);
        v("hit_share", s.hit_share, Encoding::dictionary);
        v("link_fullness", s.link_utilisation, Encoding::dictionary);
    }
};

// A timer of the decision module expired.
struct TimerFired {
    static constexpr const char* kName = "fired";
    std::uint64_t timer = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("timer", s.timer, Encoding::delta);
    }
};

// The decision module's actions in response to the record before: `AttemptSent`, `AttemptCancelled`,
// `RequestRejected`, `RequestFailed` and `TimerSet`, in order.
struct AttemptSent {
    static constexpr const char* kName = "sent";
    std::uint64_t request = 0;
    std::uint64_t attempt = 0;
    Text target;
    std::int64_t timeout = 0;  // 0: until the request's deadline
    bool fills = false;        // false: plain lookup, no fill on a miss
    Text fill_source;          // fills a miss; equal to `target`: no fill
    std::uint8_t retention = 0;
    std::int64_t max_age = 0;  // 0: the class's freshness lifetime
    bool join = false;
    bool revalidate = false;
    bool only_if_cached = false;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.request, Encoding::delta);
        v("attempt", s.attempt, Encoding::plain);
        v("target", s.target, Encoding::dictionary);
        v("timeout", s.timeout, Encoding::plain);
        v("fills", s.fills, Encoding::plain);
        v("source", s.fill_source, Encoding::dictionary);
        v("rank", s.retention, Encoding::plain);
        v("oldest", s.max_age, Encoding::plain);
        v("join", s.join, Encoding::plain);
        v("renew", s.revalidate, Encoding::plain);
        v("held_only", s.only_if_cached, Encoding::plain);
    }
};

struct AttemptCancelled {
    static constexpr const char* kName = "cancelled";
    std::uint64_t request = 0;
    std::uint64_t attempt = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.request, Encoding::delta);
        v("attempt", s.attempt, Encoding::plain);
    }
};

struct RequestRejected {
    static constexpr const char* kName = "refused";
    std::uint64_t request = 0;
    std::int64_t retry_after = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.request, Encoding::delta);
        v("retry_after", s.retry_after, Encoding::plain);
    }
};

struct RequestFailed {
    static constexpr const char* kName = "given_up";
    std::uint64_t request = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.request, Encoding::delta);
    }
};

struct TimerSet {
    static constexpr const char* kName = "timer_set";
    std::uint64_t timer = 0;
    std::int64_t after = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("timer", s.timer, Encoding::delta);
        v("after", s.after, Encoding::plain);
    }
};

// An attempt's first byte was about to be written.
struct FirstByteDue {
    static constexpr const char* kName = "first_byte";
    enum Verdict : std::uint8_t { written, suppressed, age_bound_tightened };
    std::uint64_t request = 0;
    std::uint64_t attempt = 0;
    std::uint8_t verdict = written;
    std::int64_t max_age = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.request, Encoding::delta);
        v("attempt", s.attempt, Encoding::plain);
        v("verdict", s.verdict, Encoding::plain);
        v("oldest", s.max_age, Encoding::plain);
    }
};

// The final response. `request` is 0 for one that was not admitted: the `RequestReceived` just before.
struct ResponseSent {
    static constexpr const char* kName = "answered";
    std::uint64_t request = 0;
    std::uint8_t kind = 0;  // core::ClientResponse::Kind
    bool timed_out = false;
    std::int64_t retry_after = 0;
    std::uint64_t bytes = 0;
    std::int64_t generated_unix_ms = 0;  // when the origin generated the response; 0: unknown
    Text entity_tag;
    Text server;  // address given in a redirect
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("call", s.request, Encoding::delta);
        v("kind", s.kind, Encoding::plain);
        v("timed_out", s.timed_out, Encoding::plain);
        v("hold_off", s.retry_after, Encoding::plain);
        v("bytes", s.bytes, Encoding::dictionary);
        v("made_unix_ms", s.generated_unix_ms, Encoding::delta);
        v("tag", s.entity_tag, Encoding::dictionary);
        v("box", s.server, Encoding::dictionary);
    }
};

// `records` records are missing between two times.
struct Gap {
    static constexpr const char* kName = "gap";
    std::uint64_t records = 0;
    std::int64_t from = 0;
    std::int64_t to = 0;
    template <class Self, class Visit>
    static void fields(Self& s, Visit&& v) {
        v("records", s.records, Encoding::plain);
        v("from", s.from, Encoding::plain);
        v("to", s.to, Encoding::plain);
    }
};

// The position of a type, from 0, is its number in the file format; new types are appended.
using Body =
    std::variant<RouterStarted, ClockSample, ServerListChanged, ServerListEntry, PurgeReceived,
                 RequestReceived, ClientClosed, AttemptEnded, TimerFired, AttemptSent, AttemptCancelled,
                 RequestRejected, RequestFailed, TimerSet, FirstByteDue, ResponseSent, Gap>;
inline constexpr std::size_t kTypes = std::variant_size_v<Body>;

template <class T, std::size_t I = 0>
constexpr std::size_t type_of() {
    if constexpr (std::is_same_v<std::variant_alternative_t<I, Body>, T>)
        return I;
    else
        return type_of<T, I + 1>();
}

struct Record {
    std::int64_t at = 0;             // steady ns
    std::uint32_t router_index = 0;  // of a merged trace; 0 otherwise
    Body body;
};

// Calls `f` with a default value of the type with this number. Returns false if there is no such type.
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

inline const char* type_name(const Body& body) {
    return std::visit([](const auto& b) { return std::decay_t<decltype(b)>::kName; }, body);
}

// Equality of field values; absent measurements (NaN) are equal to each other.
inline bool same_value(double a, double b) {
    return a == b || (std::isnan(a) && std::isnan(b));
}
template <class T>
bool same_value(const T& a, const T& b) {
    return a == b;
}

}  // namespace silverrail::trace::model
