// What the core deals in: calls, attempts and answers. No wire is known here.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "silverrail/routing/router.h"

namespace silverrail::core {

using routing::AttemptStatus;
using routing::CacheStatus;
using routing::RequestId;
using routing::ServerId;
using routing::Span;
using routing::Time;

// Which front a call came through.
enum class Front : std::uint8_t { platform, dns };

// A client's address as bytes in network order: 4, 16, or none where the front does not tell.
struct ClientAddress {
    std::array<unsigned char, 16> bytes{};
    std::uint8_t size = 0;
};

// One request as a front hands it over.
struct Call {
    std::string trace;       // the client's own id, passed on unchanged
    std::string class_name;  // as the settings name it
    std::string object;      // as the client wrote it
    routing::ObjectId object_id{};
    std::uint32_t part = 0;
    routing::GroupId group{};
    bool group_known = true;  // false: any group's purge may concern it
    double size_kb = 0;
    Time deadline{};
    bool write = false;
    std::shared_ptr<const std::string> body;  // of a write
    std::string have;                         // bare tag of the client's copy; empty: none
    std::string idempotency_key;  // by which servers know a repeat, a client's own too; empty: none
    bool redirected = false;      // the client goes to the server by itself: only a name is wanted
    Front front = Front::platform;
    ClientAddress client;
};

struct Answer {
    enum class Kind { served, unchanged, redirected, refused, failed };
    Kind kind = Kind::failed;
    std::string body;            // served
    std::string tag;             // served, unchanged
    Span hold_off{};             // refused: how long to stay away; 0: nothing is said
    std::string server_address;  // referred
    bool timed_out = false;      // refused, failed: the deadline has passed
    std::int64_t made_ms =
        0;  // served, unchanged: Unix time at which the origin gave this copy out; 0: not told
};

struct AttemptKey {
    RequestId request{};
    std::uint32_t attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

// One attempt as the core orders it. The call lives as long as the attempt is out.
struct Order {
    AttemptKey key{};
    std::shared_ptr<const Call> call;
    ServerId target{};
    std::string address;
    std::optional<ServerId> source{};  // absent: a miss is not filled
    int retention = 0;
    Span oldest{};  // 0: the class's fresh time
    bool join = false;
    bool revalidate = false;
    bool only_if_cached = false;
    Time give_up{};
    std::optional<Time> repeat_before{};  // not sent at or after that; absent: nothing of it may have run
};

// How an attempt ended, as seen on the wire.
struct AttemptEnd {
    AttemptStatus attempt_status = AttemptStatus::error;
    CacheStatus cache_status = CacheStatus::none;
    Span source_wait{};
    routing::LoadReport load{};
    bool unchanged = false;    // good: the client's copy is the one
    std::string body{};        // good
    std::string tag{};         // good
    std::int64_t made_ms = 0;  // good: see Answer
};

// How long a client of any class waits at most, by the settings.
inline Span longest_deadline(const routing::Settings& settings) {
    Span longest{};
    for (const auto& c : settings.classes)
        longest = std::max(longest, c.client_timeout);
    return longest;
}

}  // namespace silverrail::core
