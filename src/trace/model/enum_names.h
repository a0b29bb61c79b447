// Names of the enumerators in records, as the tools print and accept them. They are part of the tools'
// interface and never change.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace silverrail::trace::model {

// By routing::AttemptStatus.
inline constexpr std::array<std::string_view, 10> kAttemptStatusNames{
    "good", "error", "full", "late", "no_connection", "reset", "cancelled", "not_sent", "miss", "unseen"};
// By routing::CacheStatus.
inline constexpr std::array<std::string_view, 11> kCacheStatusNames{
    "none",         "hit",           "filled",         "filled_by_origin",
    "joined",       "stale",         "source_refused", "source_unreached",
    "source_lacks", "no_fill_place", "origin_failed"};
// By core::ClientResponse::Kind.
inline constexpr std::array<std::string_view, 5> kResponseKindNames{"served", "unchanged", "referred",
                                                                    "refused", "failed"};
// By routing::Condition.
inline constexpr std::array<std::string_view, 3> kConditionNames{"ready", "draining", "gone"};
// By core::FrontEnd.
inline constexpr std::array<std::string_view, 2> kFrontNames{"platform", "dns"};
// By FirstByteDue::Verdict.
inline constexpr std::array<std::string_view, 3> kVerdictNames{"written", "held", "tightened"};

// The name of enumerator `value`; "unknown" for one that a later version added.
template <std::size_t N>
std::string_view enum_name(const std::array<std::string_view, N>& names, std::uint64_t value) {
    return value < N ? names[value] : std::string_view{"unknown"};
}
// The enumerator with this name; empty if there is none.
template <std::size_t N>
std::optional<std::uint8_t> enum_value(const std::array<std::string_view, N>& names, std::string_view name) {
    for (std::size_t i = 0; i < N; ++i)
        if (names[i] == name)
            return static_cast<std::uint8_t>(i);
    return std::nullopt;
}

}  // namespace silverrail::trace::model
