// Timelines of requests: arrival, attempts in order, response. No I/O.
//
// `TimelineBuilder` groups the records of each request and reports a timeline once it is complete, or as
// complete as it can get where records are missing. Memory is bounded by `kMaxOpenRequests` and
// `kMaxAttempts`.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "trace/model/records.h"
#include "trace/model/short_text.h"

namespace silverrail::trace::model {

struct AttemptTimeline {
    std::uint64_t number = 0;
    std::int64_t sent_at = kNoTime;  // absent: before the trace begins
    ShortText target;
    ShortText fill_source;  // empty: plain lookup
    bool fills = false;
    std::uint8_t retention = 0;
    std::int64_t max_age = 0;
    std::int64_t timeout = 0;
    bool only_if_cached = false;
    std::int64_t first_byte_at = kNoTime;
    std::uint8_t first_byte_verdict = 0;
    std::int64_t ended_at = kNoTime;  // absent: still open at the end of the trace
    std::uint8_t attempt_status = 0;
    std::uint8_t cache_status = 0;
    std::int64_t duration = 0;
    std::int64_t fill_wait = 0;

    bool ended() const {
        return ended_at != kNoTime;
    }
};

struct RequestTimeline {
    std::uint32_t router_index = 0;
    std::uint64_t request = 0;           // 0: not admitted
    std::int64_t received_at = kNoTime;  // absent: its arrival was not seen
    bool open_at_start = false;          // arrived before the trace or cut begins; known from its snapshot
    RequestReceived received;            // without its texts; the three below replace them
    ShortText client_request_id;
    ShortText client;
    bool has_copy = false;  // the client holds a cached copy
    std::vector<AttemptTimeline> attempts;
    std::int64_t rejected_at = kNoTime;  // by the decision module
    bool failed_by_router = false;       // by the decision module
    std::int64_t closed_at = kNoTime;    // absent: open at the end of the trace
    bool client_closed = false;          // closed by the client rather than by a response
    std::uint8_t response_kind = 0;
    bool timed_out = false;
    std::int64_t retry_after = 0;
    std::uint64_t response_bytes = 0;
    std::int64_t generated_unix_ms = 0;
    ShortText server;

    bool received_seen() const {
        return received_at != kNoTime;
    }
    bool closed() const {
        return closed_at != kNoTime;
    }
    bool answered() const {
        return closed() && !client_closed;
    }
    bool not_admitted() const {
        return request == 0;
    }
    // From arrival to close; kNoTime if either was not seen.
    std::int64_t duration() const {
        return closed() && received_seen() ? closed_at - received_at : kNoTime;
    }
};

class TimelineBuilder {
public:
    static constexpr std::size_t kMaxOpenRequests = 200'000;
    static constexpr std::size_t kMaxAttempts = 64;  // per request; further ones are ignored

    using Callback = std::function<void(const RequestTimeline&)>;
    // `on_complete` receives each request that is closed and has no open attempt. The timeline is valid only
    // during the call.
    explicit TimelineBuilder(Callback on_complete) : on_complete_(std::move(on_complete)) {}
    // O(1) but for the attempts of the request. `from_snapshot`: the record repeats the state before the
    // trace.
    void add(const Record& record, bool from_snapshot);
    // Reports the requests that are still open.
    void finish();
    std::size_t open_count() const {
        return open_.size();
    }
    // Requests reported early because of `kMaxOpenRequests`.
    std::uint64_t evicted() const {
        return evicted_;
    }

private:
    struct Key {
        std::uint32_t router_index;
        std::uint64_t request;
        bool operator==(const Key&) const = default;
    };
    struct KeyHash {
        std::size_t operator()(const Key& key) const {
            return key.request * 0x9e3779b97f4a7c15U ^ key.router_index;
        }
    };
    void apply(const Record& record, const RequestReceived& received, bool from_snapshot);
    void apply(const Record& record, const AttemptSent& sent);
    void apply(const Record& record, const FirstByteDue& first_byte);
    void apply(const Record& record, const AttemptEnded& ended);
    void apply(const Record& record, const RequestRejected& rejected);
    void apply(const Record& record, const RequestFailed& failed);
    void apply(const Record& record, const ClientClosed& closed);
    void apply(const Record& record, const ResponseSent& response);

    RequestTimeline& find_or_add(Key key);
    // Null beyond `kMaxAttempts`.
    AttemptTimeline* find_or_add_attempt(Key key, std::uint64_t number);
    void report_if_complete(Key key);
    std::unique_ptr<RequestTimeline> new_timeline();

    Callback on_complete_;
    std::unordered_map<Key, std::unique_ptr<RequestTimeline>, KeyHash> open_;
    std::vector<std::unique_ptr<RequestTimeline>> free_list_;
    std::uint64_t evicted_ = 0;
};

}  // namespace silverrail::trace::model
