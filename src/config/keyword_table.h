// Look-up in tables that map keywords of a protocol or file format to values.
#pragma once

#include <optional>
#include <ranges>
#include <string_view>

namespace silverrail::config {

// Returns the value of `keyword` in a table of (keyword, value) pairs, or nothing if it is not listed.
template <std::ranges::input_range Table>
auto find_keyword(const Table& table, std::string_view keyword)
    -> std::optional<typename std::ranges::range_value_t<Table>::second_type> {
    for (const auto& [known, value] : table)
        if (keyword == known)
            return value;
    return std::nullopt;
}

}  // namespace silverrail::config
