// What a router reports of a server, and its form in the replicated state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace silverrail::cluster {

struct ServerReport {
    enum class Kind : std::uint8_t {
        outlier,   // the reporter keeps away from it: it failed, or is slow against its like
        draining,  // it is listed as draining or gone
    };
    Kind kind = Kind::outlier;
    std::int64_t started_ms = 0;  // draining: of the process that drains, Unix ms as listed
    bool operator==(const ServerReport&) const = default;
};

// The stored form: "out", or "drain STARTED_MS".
std::string encode(const ServerReport& report);
std::optional<ServerReport> decode_server_report(const std::string& value);

// The subject of reports on a server; of an empty id: the prefix of all of them.
std::string server_subject(const std::string& server_id);

}  // namespace silverrail::cluster
