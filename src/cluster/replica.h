// The state that the routers share: keys with versions, the same on every router in the end, whatever the
// order in which changes arrive.
//
// A state machine without I/O, clocks or threads, as cluster/members is: time comes in with every call
// (steady for periods, Unix for versions), randomness from a seed; every call returns messages to send. What
// a call changed is to be written down (take_changes) before its messages go out: that is what makes an
// answer an acknowledgement.
//
// Sources: van Renesse, Dumitriu, Gough, Thomas, "Efficient Reconciliation and Flow Control for Anti-Entropy
// Protocols" (LADIS 2008): each origin numbers its updates, peers compare the highest number seen of each
// origin and send what lies above. Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks"
// (OPODIS 2014): stamps close to the wall clock that never run back.
//
// The rule for copies that differ (docs/design/replication.md): an entry holds one mark for each origin that
// set it, with that change's number. Whoever sets or clears a key undoes the marks that it has seen, and no
// other: what was set elsewhere meanwhile stays in force, as an operator's ban must. Copies are joined mark
// by mark, the higher number of each; where several marks are in force the value with the highest stamp
// counts. So every order of delivery ends in one state. A mark that is not held although the origin's numbers
// say that it was seen has been undone and forgotten: an old copy does not bring it back (as in the optimised
// observed-remove set of Bieniusa et al., 2012).
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/members.h"

namespace silverrail::cluster {

// Unix milliseconds.
using UnixMs = std::int64_t;

// A hybrid logical clock's stamp: Unix ms in the upper 48 bits, a counter in the lower 16.
using Stamp = std::uint64_t;
constexpr UnixMs unix_of(Stamp stamp) {
    return static_cast<UnixMs>(stamp >> 16);
}

// What one origin last said of a key.
struct Mark {
    std::uint64_t set = 0;      // the number of its last set
    std::uint64_t cleared = 0;  // its sets up to here are undone
    Stamp stamp = 0;            // of the set
    std::string value;
    bool live() const {
        return set > cleared;
    }
    bool operator==(const Mark&) const = default;
};

struct Entry {
    std::map<std::string, Mark> marks;  // by origin
    Stamp changed = 0;                  // the last change of any kind
    bool in_force() const {
        return winner() != nullptr;
    }
    const Mark* winner() const;  // of the live marks the one with the highest stamp, then origin; null: none
    bool operator==(const Entry&) const = default;
};
// The join of two copies of one key: commutative, associative, idempotent.
Entry join(const Entry& a, const Entry& b);

// The change that an origin numbered, with the key's entry as the sender holds it now (at least as new).
struct Update {
    std::string origin;
    std::uint64_t number = 0;
    std::string key;
    Entry entry;
    bool operator==(const Update&) const = default;
};

inline constexpr std::size_t kLongestKey = 192;
inline constexpr std::size_t kLongestValue = 128;
inline constexpr std::size_t kMostMarks = 32;  // of one key
inline constexpr std::size_t kLongestOrigin = kLongestName + 24;

// What one holds of each origin, in short: XOR of hashes of (origin, number) by bucket of origins.
using Summary = std::array<std::uint64_t, kBuckets>;
// Origin to the highest number held: all below it are held or superseded.
using Numbers = std::map<std::string, std::uint64_t>;

struct ReplicaMessage {
    enum class Kind : std::uint8_t {
        sum,      // my summary: answer with your numbers where it differs
        numbers,  // my numbers in the buckets that differ, `mask` (over the same stream)
        give,     // what you lack, and my numbers there: answer with what I lack
        take,     // what you lack; `too_old`: some of it is forgotten here, fetch a full copy
        news,     // one change, just made: a datagram, applied but not counted as held
        want,     // a page of the full copy, after the key `cursor`
        page,     // that page; `last`: there is no more
    };
    static constexpr std::size_t kMostUpdates = 4096;
    static constexpr std::size_t kMostNumbers = 4096;
    Kind kind = Kind::sum;
    std::uint8_t channel = 0;  // which of a router's replicated states; the transport tells them apart by it
    std::string from;
    std::string from_address;
    Summary summary{};            // sum
    std::uint64_t mask = 0;       // a bit for each bucket that `numbers` covers
    Numbers numbers;              // numbers, give: the sender's; page: those that the copy stands for
    std::vector<Update> updates;  // give, take, news, page: of each origin in the order of its numbers
    Numbers after;  // give, take: the number that the receiver was taken to hold; page: forgotten up to here
    std::string cursor;  // want, page
    bool too_old = false;
    bool last = true;  // false: the budget ended it, there is more
    bool operator==(const ReplicaMessage&) const = default;
};
const char* name_of(ReplicaMessage::Kind kind);

struct ReplicaSend {
    std::string address;
    ReplicaMessage message;
    bool stream() const {
        return message.kind != ReplicaMessage::Kind::news;
    }
};

struct ReplicaSettings {
    std::uint8_t channel = 0;
    Time interval{1000};  // one exchange with one member
    // So often for two seconds after a change was heard of: who missed its news is found soon. 0: as ever.
    Time quick{200};
    UnixMs tombstone_keep = 86'400'000;  // the longest time away that catches up by updates alone
    // What is in force is forgotten after this, too; 0: never. Above 0 every run is an origin of its own
    // (nothing is stored), so one of which nothing is held any more counts in no summary, and goes after
    // origin_keep.
    UnixMs value_keep = 0;
    UnixMs origin_keep = 600'000;
    UnixMs most_ahead = 10'000;          // a stamp further ahead of our clock is refused
    std::size_t round_bytes = 64 << 10;  // of updates in one message
    std::size_t most_entries = 20'000;
    std::size_t most_origins = 4'096;
    std::size_t news_fanout = 3;
};

struct ReplicaCounts {
    std::uint64_t applied = 0, duplicates = 0, ahead = 0, refused = 0, full_copies = 0, rounds = 0, sent = 0,
                  forgotten = 0;
};

class Replica {
public:
    // `origin`: this router's, never used by another nor by a run that lost what it had numbered.
    Replica(std::string name, std::string address, std::string origin, ReplicaSettings settings,
            std::uint64_t seed, Time now);

    // A change made here. False: out of bounds, or full; nothing was changed.
    bool set(const std::string& key, const std::string& value, UnixMs unix_now);
    bool clear(const std::string& key, UnixMs unix_now);

    // `peers`: addresses of members alive, without ourselves.
    std::vector<ReplicaSend> tick(Time now, UnixMs unix_now, const std::vector<std::string>& peers);
    std::vector<ReplicaSend> receive(const ReplicaMessage& message, Time now, UnixMs unix_now);

    const std::map<std::string, Entry>& entries() const {
        return entries_;
    }
    // Another number whenever what is in force may have changed; never 0.
    std::uint64_t revision() const {
        return revision_;
    }
    bool in_force(const std::string& key) const;
    // The value in force; null: none.
    const std::string* value(const std::string& key) const;
    const Summary& summary() const {
        return summary_;
    }
    Numbers numbers() const;
    const std::string& origin() const {
        return origin_;
    }
    const ReplicaCounts& counts() const {
        return counts_;
    }
    // The highest number heard of each origin, held or not: what is behind it is the lag.
    const Numbers& heard() const {
        return heard_;
    }

    // What has to be written down: keys (gone if not held any more) and origins, since the last call.
    struct Changes {
        std::set<std::string> keys, origins;
        std::set<std::pair<std::string, std::string>> log;  // origin and key: where the key stands in its log
        bool all = false;  // a full copy came: what is stored and not held any more goes
    };
    Changes take_changes();
    // Keys whose being in force, or value, may have changed since the last call.
    std::set<std::string> take_touched();

    // What is stored of an origin: the highest number held, that up to which it forgot, and each number's
    // key.
    struct Origin {
        std::uint64_t number = 0, forgotten = 0;
        std::map<std::uint64_t, std::string>
            log;  // number to key: the last change of that key by this origin
        std::map<std::string, std::uint64_t> where;  // and back
        UnixMs advanced = 0;                         // about when its number last rose here; not stored
    };
    const std::map<std::string, Origin>& origins() const {
        return origins_;
    }
    // Takes up what was stored, before anything else is called.
    void restore(std::map<std::string, Entry> entries, std::map<std::string, Origin> origins);

private:
    Stamp stamp(UnixMs unix_now);
    struct Merged {
        bool held = true;      // false: there was no room
        bool changed = false;  // what is held is not what it was
        bool partial = false;  // part of it was undone and forgotten here, and was left out
    };
    Merged merge(const std::string& key, const Entry& entry);
    // `partial`: what is held of the key is less than the change said, so it can't be told on from here.
    void number(const std::string& origin, std::uint64_t number, const std::string& key, bool partial);
    void record(const std::string& name, Origin& origin, std::uint64_t number, const std::string& key,
                bool partial);
    void advance(const std::string& name, Origin& origin, std::uint64_t number);
    std::uint64_t counted(const std::string& name, const Origin& origin) const;
    bool change(const std::string& key, const Entry& entry);
    void touch(const std::string& key) {
        touched_.insert(key);
        ++revision_;
    }
    void take(const ReplicaMessage& in, UnixMs unix_now);
    bool known(const std::string& origin, std::uint64_t number) const;
    bool too_far_ahead(const Entry& entry, UnixMs unix_now) const;
    void give(const ReplicaMessage& in, ReplicaMessage& out) const;
    Numbers numbers_in(std::uint64_t mask) const;
    void forget(UnixMs unix_now);
    ReplicaMessage page(const std::string& cursor) const;
    void take_page(const ReplicaMessage& in, UnixMs unix_now, std::vector<ReplicaSend>& out);
    void replace();
    void summarise();
    ReplicaMessage message(ReplicaMessage::Kind kind) const;

    std::string name_, address_, origin_;
    ReplicaSettings settings_;
    std::mt19937_64 random_;
    std::map<std::string, Entry> entries_;
    std::map<std::string, Origin> origins_;
    Summary summary_{};
    Stamp last_ = 0;
    Time next_round_;
    Time quick_until_{};
    bool heard_change_ = false;
    UnixMs next_forget_ = 0;
    std::vector<Update> news_;  // made here since the last tick
    struct Copy {               // a full copy under way
        std::string from;
        std::string cursor;
        Numbers numbers, forgotten;
        std::vector<Update> updates;
        Time since{};
    };
    std::optional<Copy> copy_;
    Numbers heard_;
    Changes changes_;
    std::set<std::string> touched_;
    std::uint64_t revision_ = 1;
    ReplicaCounts counts_;
};

}  // namespace silverrail::cluster
