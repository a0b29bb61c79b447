// The core's types: client requests, attempts and responses, independent of any wire format.
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

// The front end that received a request.
enum class FrontEnd : std::uint8_t { platform, dns };

// A client's address in network byte order: 4 or 16 bytes, or 0 if the front end does not know it.
struct ClientAddress {
    std::array<unsigned char, 16> bytes{};
    std::uint8_t size = 0;
};

// A request as submitted by a front end. Immutable once the engine has accepted it.
struct ClientRequest {
    std::string trace_id;    // the client's own id, forwarded unchanged
    std::string class_name;  // name of the class in the settings
    std::string object;      // as given by the client
    routing::ObjectId object_id{};
    std::uint32_t segment = 0;
    routing::GroupId group{};
    bool group_known = true;  // false: a purge of any group may apply to it
    double size_kb = 0;
    Time deadline{};
    bool write = false;
    std::shared_ptr<const std::string> body;  // of a write, else null
    bool body_discarded = false;              // for lack of memory; the request cannot be forwarded
    std::string client_tag;       // entity tag of the client's cached copy, without quotes; empty: none
    std::string idempotency_key;  // lets servers deduplicate retries; empty: none
    bool redirected = false;      // the client only wants a server's address and connects to it itself
    FrontEnd front_end = FrontEnd::platform;
    ClientAddress client;
};

// The single final response to a client request.
struct ClientResponse {
    enum class Kind { served, not_modified, redirected, rejected, failed };
    Kind kind = Kind::failed;
    std::string body;            // served
    std::string tag;             // served, not_modified
    Span retry_after{};          // rejected: how long the client should wait before a retry; 0: unspecified
    std::string server_address;  // redirected
    bool timed_out = false;      // rejected, failed: the deadline has passed
    std::int64_t generated_ms = 0;  // served, not_modified: Unix ms of the origin's response; 0: unknown
};

// Distinguishes the processes that were listed under one server id, one after the other.
using ServerProcess = std::uint64_t;

// Identifies an attempt: its request, and its index among the request's attempts.
struct AttemptKey {
    RequestId request{};
    std::uint32_t attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

// An attempt that is ready to be sent to a server. Keeps the client request alive while it is in flight.
struct AttemptRequest {
    AttemptKey key{};
    std::shared_ptr<const ClientRequest> client_request;
    ServerId target{};
    std::string address;
    ServerProcess target_process = 0;
    std::optional<ServerId> source{};  // absent: the server does not fill a miss
    ServerProcess source_process = 0;
    int retention = 0;
    Span max_age{};         // maximum acceptable age of a cached copy; 0: the class's max_age
    bool coalesce = false;  // this and the next two: see routing::Fill
    bool revalidate = false;
    bool only_if_cached = false;
    Time deadline{};  // of this attempt; never after the request's
    // Set if an earlier attempt may have run: no byte of this one is sent at or after that time.
    std::optional<Time> retry_window_end{};
};

// How an attempt ended, as observed on the wire.
struct AttemptResult {
    AttemptStatus attempt_status = AttemptStatus::error;
    CacheStatus cache_status = CacheStatus::none;
    Span source_wait{};
    routing::LoadReport load{};
    bool not_modified = false;      // success: the client's cached copy is current
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
