// Tables of the words that stand for values on a wire or in a file.
#pragma once

#include <optional>
#include <ranges>
#include <string_view>

namespace silverrail::config {

// What `word` stands for in a table of pairs of word and value; absent if it is not there.
template <std::ranges::input_range Table>
auto find_keyword(const Table& table, std::string_view word)
    -> std::optional<typename std::ranges::range_value_t<Table>::second_type> {
    for (const auto& [known, value] : table)
        if (word == known)
            return value;
    return std::nullopt;
}

}  // namespace silverrail::config
