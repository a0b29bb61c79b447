// Validates requests against the settings, and checks that their trace ids are not already open.
#pragma once

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/types.h"

namespace silverrail::core {

class Intake {
public:
    explicit Intake(const routing::Settings& settings);
    // Absent: unknown class.
    std::optional<std::size_t> class_index(const std::string& class_name) const;
    // Whether the request is valid for its class: a write if and only if the class is for writes, a plausible
    // deadline, and an idempotency key if the class requires one.
    bool is_valid(const ClientRequest& request, std::size_t class_index, Time now) const;
    // A trace id identifies one open request at a time. Empty ids are not checked.
    bool is_open(const std::string& trace_id) const {
        return open_.contains(trace_id);
    }
    void claim(const std::string& trace_id) {
        if (!trace_id.empty())
            open_.insert(trace_id);
    }
    void release(const std::string& trace_id) {
        open_.erase(trace_id);
    }
    RequestId next_id() {
        return RequestId{++last_id_};
    }
    // The request as passed to the decision module.
    routing::Request routing_request(RequestId id, std::size_t class_index,
                                     const ClientRequest& request) const;

private:
    struct ClassRules {
        Span client_timeout;
        bool write;
        bool keyed;  // may be retried, as servers deduplicate retries by their key
    };
    std::unordered_map<std::string, std::size_t> class_indexes_;
    std::vector<ClassRules> class_rules_;
    std::unordered_set<std::string> open_;
    std::uint64_t last_id_ = 0;
};

}  // namespace silverrail::core
