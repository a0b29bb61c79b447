// Selects requests of a trace by time, class, outcome, server, id and object. No I/O.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "trace/model/request_timeline.h"

namespace silverrail::trace::model {

// An empty list matches everything; otherwise one entry must match.
struct Selection {
    std::int64_t from_unix_ns = std::numeric_limits<std::int64_t>::min();  // inclusive
    std::int64_t to_unix_ns = std::numeric_limits<std::int64_t>::max();    // exclusive
    std::vector<std::string> classes{};
    // kOutcomeNames, or kAttemptStatusNames of any attempt
    std::vector<std::string> outcomes{};
    std::vector<std::string> servers{};  // as target or fill source
    std::vector<std::string> client_request_ids{};
    std::vector<std::uint64_t> objects{};

    // Whether only time restricts the requests.
    bool selects_all() const {
        return classes.empty() && outcomes.empty() && servers.empty() && client_request_ids.empty() &&
               objects.empty();
    }
    // The first outcome that is not a known name; null if all are.
    const std::string* unknown_outcome() const;
    // All but the times, which the caller compares.
    bool matches(const RequestTimeline& timeline, std::string_view class_name) const;
};

// The requests that a first pass selected, for a second pass that copies their records.
class RequestSet {
public:
    static constexpr std::size_t kMaxSize = 50'000'000;
    void insert(std::uint32_t router_index, std::uint64_t request) {
        keys_.insert(key(router_index, request));
    }
    bool contains(std::uint32_t router_index, std::uint64_t request) const {
        return keys_.contains(key(router_index, request));
    }
    bool full() const {
        return keys_.size() >= kMaxSize;
    }
    std::size_t size() const {
        return keys_.size();
    }

private:
    static std::uint64_t key(std::uint32_t router_index, std::uint64_t request) {
        return std::uint64_t{router_index} << 48 ^ request;
    }
    std::unordered_set<std::uint64_t> keys_;
};

// The request that a record belongs to; empty if it belongs to none.
std::optional<std::uint64_t> request_of(const Body& body);

}  // namespace silverrail::trace::model
