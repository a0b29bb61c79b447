// A router's report on a server, and its encoding in the replicated state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace silverrail::cluster {

struct ServerReport {
    enum class Kind : std::uint8_t {
        outlier,   // the reporter excludes the server: it failed, or is slower than comparable servers
        draining,  // the server list has it as draining or gone
    };
    Kind kind = Kind::outlier;
    std::int64_t started_ms = 0;  // draining: start of the draining process, Unix ms as in the server list
    bool operator==(const ServerReport&) const = default;
};

// The stored form: "out", or "drain STARTED_MS".
std::string encode(const ServerReport& report);
std::optional<ServerReport> decode_server_report(const std::string& value);

// The subject of reports on a server. With an empty id: the common prefix of all these subjects.
std::string server_subject(const std::string& server_id);

}  // namespace silverrail::cluster
