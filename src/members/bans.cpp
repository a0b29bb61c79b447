#include "members/bans.h"

#include <algorithm>

namespace silverrail::members {

namespace {

constexpr std::string_view kName = "silverrail-bans ";
constexpr std::string_view kVersion = "1";
constexpr std::string_view kEnd = "end ";

// The next line without its end; absent: there is no whole one.
std::optional<std::string_view> line_of(std::string_view& text) {
    const auto end = text.find('\n');
    if (end == std::string_view::npos)
        return std::nullopt;
    const auto line = text.substr(0, end);
    text.remove_prefix(end + 1);
    return line;
}

}  // namespace

bool Bans::fits(std::string_view id) {
    return !id.empty() && id.size() <= kLongestId &&
           std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

bool Bans::add(const routing::ServerId& id) {
    if (!fits(id.address) || (ids_.size() >= kMost && !ids_.contains(id)))
        return false;
    ids_.insert(id);
    return true;
}

std::string Bans::text() const {
    std::string out;
    out.append(kName).append(kVersion) += '\n';
    for (const auto& id : ids_)
        out.append("out ").append(id.address) += '\n';
    return out.append(kEnd).append(std::to_string(ids_.size())) += '\n';
}

Bans::Read Bans::read(std::string_view text) {
    const Read damaged{{}, Trouble::damaged};
    const auto head = line_of(text);
    if (!head || !head->starts_with(kName))
        return damaged;
    if (head->substr(kName.size()) != kVersion)
        return {{}, Trouble::other_version};
    Read result;
    while (const auto line = line_of(text)) {
        if (line->starts_with(kEnd)) {
            const bool whole =
                text.empty() && line->substr(kEnd.size()) == std::to_string(result.bans.ids_.size());
            return whole ? result : damaged;
        }
        if (!line->starts_with("out ") || !result.bans.add(routing::ServerId{std::string{line->substr(4)}}))
            return damaged;
    }
    return damaged;
}

}  // namespace silverrail::members
