// The words for numbers in records, as tools print and take them.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace silverrail::state {

inline constexpr std::array<std::string_view, 10> kEndingWords{
    "good", "error", "full", "late", "no_connection", "reset", "cancelled", "not_sent", "miss", "unseen"};
inline constexpr std::array<std::string_view, 11> kNoteWords{
    "none",         "hit",           "filled",         "filled_by_origin",
    "joined",       "stale",         "source_refused", "source_unreached",
    "source_lacks", "no_fill_place", "origin_failed"};
inline constexpr std::array<std::string_view, 5> kAnswerWords{"served", "unchanged", "referred", "refused",
                                                              "failed"};
inline constexpr std::array<std::string_view, 3> kConditionWords{"ready", "draining", "gone"};
inline constexpr std::array<std::string_view, 2> kFrontWords{"platform", "dns"};
inline constexpr std::array<std::string_view, 3> kVerdictWords{"written", "held", "tightened"};

template <std::size_t N>
std::string_view word(const std::array<std::string_view, N>& words, std::uint64_t n) {
    return n < N ? words[n] : std::string_view{"unknown"};
}
template <std::size_t N>
std::optional<std::uint8_t> number_of(const std::array<std::string_view, N>& words, std::string_view text) {
    for (std::size_t i = 0; i < N; ++i)
        if (words[i] == text)
            return static_cast<std::uint8_t>(i);
    return std::nullopt;
}

}  // namespace silverrail::state
