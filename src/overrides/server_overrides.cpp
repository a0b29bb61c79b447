#include "overrides/server_overrides.h"

#include <algorithm>
#include <optional>

namespace silverrail::overrides {

namespace {

// Stored format: a header line with the version, one line for each excluded server, and a final line with
// their number.
constexpr std::string_view kHeaderPrefix = "silverrail-bans ";
constexpr std::string_view kVersion = "1";
constexpr std::string_view kServerPrefix = "out ";
constexpr std::string_view kEndPrefix = "end ";

// Removes the next line from `text` and returns it without its newline. Absent: no complete line is left.
std::optional<std::string_view> next_line(std::string_view& text) {
    const auto end = text.find('\n');
    if (end == std::string_view::npos)
        return std::nullopt;
    const auto line = text.substr(0, end);
    text.remove_prefix(end + 1);
    return line;
}

ServerOverrides::ParseResult damaged() {
    return {.overrides = {}, .error = ServerOverrides::ParseError::damaged};
}

}  // namespace

bool ServerOverrides::is_valid_id(std::string_view id) {
    return !id.empty() && id.size() <= kMaxIdLength &&
           std::ranges::all_of(id, [](char c) { return c > ' ' && c < '\x7f'; });
}

bool ServerOverrides::exclude(const routing::ServerId& id) {
    if (!is_valid_id(id.address) || (excluded_.size() >= kMaxServers && !excluded_.contains(id)))
        return false;
    excluded_.insert(id);
    return true;
}

std::string ServerOverrides::serialize() const {
    std::string text;
    text.append(kHeaderPrefix).append(kVersion) += '\n';
    for (const auto& id : excluded_)
        text.append(kServerPrefix).append(id.address) += '\n';
    return text.append(kEndPrefix).append(std::to_string(excluded_.size())) += '\n';
}

ServerOverrides::ParseResult ServerOverrides::parse(std::string_view text) {
    const auto header = next_line(text);
    if (!header || !header->starts_with(kHeaderPrefix))
        return damaged();
    if (header->substr(kHeaderPrefix.size()) != kVersion)
        return {.overrides = {}, .error = ParseError::unknown_version};
    ParseResult result;
    while (const auto line = next_line(text)) {
        if (line->starts_with(kEndPrefix)) {
            const auto count = line->substr(kEndPrefix.size());
            const bool complete = text.empty() && count == std::to_string(result.overrides.excluded_.size());
            return complete ? result : damaged();
        }
        if (!line->starts_with(kServerPrefix))
            return damaged();
        const auto id = line->substr(kServerPrefix.size());
        if (!result.overrides.exclude(routing::ServerId{std::string{id}}))
            return damaged();
    }
    return damaged();
}

}  // namespace silverrail::overrides
