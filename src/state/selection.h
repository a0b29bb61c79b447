// Which calls of a trace are wanted. No I/O.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "state/stories.h"

namespace silverrail::state {

struct Selection {
    std::int64_t from_unix_ns = std::numeric_limits<std::int64_t>::min();  // this and later
    std::int64_t to_unix_ns = std::numeric_limits<std::int64_t>::max();    // before this
    // Each empty: all.
    std::vector<std::string> classes{};
    // kAnswerWords, abandoned, open, turned_away; or an ending of an attempt
    std::vector<std::string> outcomes{};
    std::vector<std::string> servers{};  // as target or source
    std::vector<std::string> traces{};   // clients' ids
    std::vector<std::uint64_t> objects{};

    bool all_calls() const {
        return classes.empty() && outcomes.empty() && servers.empty() && traces.empty() && objects.empty();
    }
    // Absent: every word is one that outcomes may hold; else the first that is not.
    const std::string* unknown_outcome() const;
    bool wants(const Story& story, std::string_view class_name) const;
};

// The calls that a first reading found wanted, so that a second one can keep their records. Calls that were
// turned away have no number and are counted by their place among these.
class WantedCalls {
public:
    static constexpr std::size_t kMost = 50'000'000;
    void want(std::uint32_t source, std::uint64_t call) {
        keys_.insert(key(source, call));
    }
    bool wants(std::uint32_t source, std::uint64_t call) const {
        return keys_.contains(key(source, call));
    }
    bool full() const {
        return keys_.size() >= kMost;
    }
    std::size_t size() const {
        return keys_.size();
    }

private:
    static std::uint64_t key(std::uint32_t source, std::uint64_t call) {
        return std::uint64_t{source} << 48 ^ call;
    }
    std::unordered_set<std::uint64_t> keys_;
};

// The call that a record belongs to; absent: none.
std::optional<std::uint64_t> call_of(const Body& body);

}  // namespace silverrail::state
