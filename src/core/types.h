// The core's types: client requests, attempts and answers. They are independent of any wire format.
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

// The protocol through which a request came.
enum class FrontEnd : std::uint8_t { platform, dns };

// A client's address as bytes in network order: 4, 16, or none where the front does not know it.
struct ClientAddress {
    std::array<unsigned char, 16> bytes{};
    std::uint8_t size = 0;
};

// One request as a front submits it. Immutable once the engine has accepted it.
struct ClientRequest {
    std::string trace_id;    // the client's own id, passed on unchanged
    std::string class_name;  // as the settings name it
    std::string object;      // as the client wrote it
    routing::ObjectId object_id{};
    std::uint32_t segment = 0;
    routing::GroupId group{};
    bool group_known = true;  // false: a purge of any group may concern it
    double size_kb = 0;
    Time deadline{};
    bool write = false;
    std::shared_ptr<const std::string> body;  // of a write
    std::string client_tag;                   // entity tag of the client's copy, without quotes; empty: none
    std::string idempotency_key;              // lets servers recognise a retry; empty: none
    bool redirected = false;  // the client connects to the server itself and wants its name only
    FrontEnd front_end = FrontEnd::platform;
    ClientAddress client;
};

// The one final answer to a client request.
struct ClientResponse {
    enum class Kind { served, not_modified, redirected, rejected, failed };
    Kind kind = Kind::failed;
    std::string body;            // served
    std::string tag;             // served, not_modified
    Span retry_after{};          // rejected: how long the client should wait; 0: unspecified
    std::string server_address;  // redirected
    bool timed_out = false;      // rejected, failed: the deadline has passed
    std::int64_t generated_ms =
        0;  // served, not_modified: Unix time in ms at the origin's response; 0: unknown
};

// Names one attempt: its request, and its number among the request's attempts.
struct AttemptKey {
    RequestId request{};
    std::uint32_t attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

// One attempt, ready to be sent to a server. The client request lives as long as the attempt is in flight.
struct AttemptRequest {
    AttemptKey key{};
    std::shared_ptr<const ClientRequest> client_request;
    ServerId target{};
    std::string address;
    std::optional<ServerId> source{};  // absent: a miss is not filled
    int retention = 0;
    Span max_age{};         // greatest acceptable age of a copy; 0: the class's max_age
    bool coalesce = false;  // this and the next two: see routing::Fill
    bool revalidate = false;
    bool only_if_cached = false;
    Time deadline{};  // of this attempt
    // Absent: no earlier attempt may have run. Else not a byte goes out at or after that time.
    std::optional<Time> retry_window_end{};
};

// How an attempt ended, as seen on the wire.
struct AttemptResult {
    AttemptStatus attempt_status = AttemptStatus::error;
    CacheStatus cache_status = CacheStatus::none;
    Span source_wait{};
    routing::LoadReport load{};
    bool not_modified = false;      // success: the client's copy is current
    std::string body{};             // success
    std::string tag{};              // success
    std::int64_t generated_ms = 0;  // success: see ClientResponse
};

// The longest client timeout of any class.
inline Span longest_client_timeout(const routing::Settings& settings) {
    Span longest{};
    for (const auto& request_class : settings.classes)
        longest = std::max(longest, request_class.client_timeout);
    return longest;
}

}  // namespace silverrail::core
