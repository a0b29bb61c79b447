#include "cluster/outliers/server_report.h"

#include <charconv>
#include <string_view>

namespace silverrail::cluster {

namespace {

constexpr const char* kSubjectPrefix = "box/";
constexpr const char* kOutlier = "out";
constexpr std::string_view kDraining = "drain ";

}  // namespace

std::string encode(const ServerReport& report) {
    if (report.kind == ServerReport::Kind::outlier)
        return kOutlier;
    return std::string{kDraining} + std::to_string(report.started_ms);
}

std::optional<ServerReport> decode_server_report(const std::string& value) {
    ServerReport out;
    if (value.starts_with(kDraining)) {
        out.kind = ServerReport::Kind::draining;
        std::from_chars(value.data() + kDraining.size(), value.data() + value.size(), out.started_ms);
    }
    // Only the exact output of `encode` is accepted.
    if (encode(out) != value)
        return std::nullopt;
    return out;
}

std::string server_subject(const std::string& server_id) {
    return kSubjectPrefix + server_id;
}

}  // namespace silverrail::cluster
