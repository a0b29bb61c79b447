// Puts the records of each call together: taken, its attempts in order, its answer. Decides when a call is
// over, also where parts of it are missing. No I/O; bounded.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/records.h"

namespace silverrail::state {

// A text of up to 23 bytes held in place; a longer one keeps its first 23. Server ids and addresses are
// shorter.
class ShortText {
public:
    ShortText() = default;
    ShortText(Text text) : size_(static_cast<std::uint8_t>(std::min(text.size(), sizeof bytes_))) {
        std::copy_n(text.data(), size_, bytes_);
    }
    Text text() const {
        return {bytes_, size_};
    }
    bool empty() const {
        return size_ == 0;
    }

private:
    char bytes_[23]{};
    std::uint8_t size_ = 0;
};

struct AttemptStory {
    std::uint64_t number = 0;
    std::int64_t sent_at = kNoTime;  // absent: before the trace begins
    ShortText target;
    ShortText source;  // empty: a plain look
    bool fills = false;
    std::uint8_t retention = 0;
    std::int64_t oldest = 0;
    std::int64_t timeout = 0;
    bool only_if_cached = false;
    std::int64_t first_byte_at = kNoTime;
    std::uint8_t verdict = 0;
    std::int64_t ended_at = kNoTime;  // absent: still out where the trace ends
    std::uint8_t attempt_status = 0;
    std::uint8_t cache_status = 0;
    std::int64_t took = 0;
    std::int64_t source_wait = 0;
};

struct Story {
    std::uint32_t source = 0;
    std::uint64_t call = 0;           // 0: turned away at the door
    std::int64_t taken_at = kNoTime;  // absent: its taking was not seen
    bool before = false;  // taken before the trace's or the cut's begin, and told there as in force
    Taken taken;          // its texts are not kept: the three below stand for them
    ShortText trace;
    ShortText client;
    bool has_copy = false;
    std::vector<AttemptStory> attempts;
    std::int64_t refused_at = kNoTime;  // by the module
    bool given_up = false;              // failed by the module
    std::int64_t closed_at = kNoTime;   // absent: open where the trace ends
    bool abandoned = false;             // else answered
    std::uint8_t kind = 0;              // of the answer
    bool timed_out = false;
    std::int64_t hold_off = 0;
    std::uint64_t bytes = 0;
    std::int64_t made_unix_ms = 0;
    ShortText server;

    bool answered() const {
        return closed_at != kNoTime && !abandoned;
    }
    bool turned_away() const {
        return call == 0;
    }
    std::int64_t took() const {
        return closed_at == kNoTime || taken_at == kNoTime ? kNoTime : closed_at - taken_at;
    }
};

class Stories {
public:
    static constexpr std::size_t kMostOpen = 200'000;
    static constexpr std::size_t kMostAttempts = 64;

    // `over` takes each call once it is answered or abandoned and all its attempts have ended; the story is
    // gone after that.
    explicit Stories(std::function<void(const Story&)> over) : over_(std::move(over)) {}
    void take(const Record& record, bool held);
    // Tells of those that are still open.
    void end();
    std::size_t open() const {
        return open_.size();
    }
    std::uint64_t given_up() const {
        return given_up_;
    }  // past the bound, told early

private:
    struct Key {
        std::uint32_t source;
        std::uint64_t call;
        bool operator==(const Key&) const = default;
    };
    struct Hash {
        std::size_t operator()(const Key& k) const {
            return k.call * 0x9e3779b97f4a7c15U ^ k.source;
        }
    };
    Story& story(std::uint32_t source, std::uint64_t call);
    Story* find(std::uint32_t source, std::uint64_t call);
    AttemptStory* attempt(Story& s, std::uint64_t number);
    void drop_if_over(Key key);
    std::unique_ptr<Story> fresh();

    std::function<void(const Story&)> over_;
    std::unordered_map<Key, std::unique_ptr<Story>, Hash> open_;
    std::vector<std::unique_ptr<Story>> spare_;
    std::uint64_t given_up_ = 0;
};

}  // namespace silverrail::state
