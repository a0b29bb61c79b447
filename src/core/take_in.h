// Take in: is it a call that the settings know, and what is its place among the open ones?
#pragma once

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/types.h"

namespace silverrail::core {

class TakeIn {
public:
    explicit TakeIn(const routing::Settings& settings);
    // Its class; absent: there is none of that name.
    std::optional<std::size_t> class_of(const Call& call) const;
    // Can it be one that clients of this class send? The form of a write, a wait that the class knows, and a
    // key where repeats are told by it.
    bool fits(const Call& call, std::size_t class_index, Time now) const;
    // A client's id stands for one request at a time; empty ones are not compared.
    bool is_open(const std::string& trace) const {
        return open_.contains(trace);
    }
    void claim(const std::string& trace) {
        if (!trace.empty())
            open_.insert(trace);
    }
    void release(const std::string& trace) {
        open_.erase(trace);
    }
    RequestId next_id() {
        return RequestId{++last_id_};
    }
    routing::Request request(RequestId id, std::size_t class_index, const Call& call) const;

private:
    struct Form {
        Span give_up;
        bool write;
        bool keyed;  // may be sent again, as servers tell a repeat by its key
    };
    std::unordered_map<std::string, std::size_t> classes_;
    std::vector<Form> forms_;
    std::unordered_set<std::string> open_;
    std::uint64_t last_id_ = 0;
};

}  // namespace silverrail::core
