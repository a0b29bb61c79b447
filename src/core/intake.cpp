#include "core/intake.h"

namespace silverrail::core {

namespace {

// Clients wait for at most their class's timeout, so a deadline more than twice as far ahead is invalid.
constexpr int kLongestDeadlineInTimeouts = 2;
// Group id passed to the decision module for requests whose group is not known.
constexpr routing::GroupId kUnknownGroup{~std::uint64_t{0}};

}  // namespace

Intake::Intake(const routing::Settings& settings) {
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        const auto& request_class = settings.classes[i];
        class_indexes_[request_class.name] = i;
        class_rules_.push_back({.client_timeout = request_class.client_timeout,
                                .write = request_class.uncached,
                                .keyed = request_class.idempotency == routing::Idempotency::keyed});
    }
}

bool Intake::is_valid(const ClientRequest& request, std::size_t class_index, Time now) const {
    const ClassRules& rules = class_rules_[class_index];
    // Guards rule 2 (no repeated effect): servers would take a retry without a key for a new request.
    if (rules.keyed && request.idempotency_key.empty())
        return false;
    if (request.write != rules.write)
        return false;
    return rules.client_timeout == Span{} ||
           request.deadline <= now + kLongestDeadlineInTimeouts * rules.client_timeout;
}

std::optional<std::size_t> Intake::class_index(const std::string& class_name) const {
    const auto found = class_indexes_.find(class_name);
    if (found == class_indexes_.end())
        return std::nullopt;
    return found->second;
}

routing::Request Intake::routing_request(RequestId id, std::size_t class_index,
                                         const ClientRequest& request) const {
    routing::Request routed;
    routed.id = id;
    routed.class_index = class_index;
    routed.object = request.object_id;
    routed.group = request.group_known ? request.group : kUnknownGroup;
    routed.segment = request.segment;
    routed.size_kb = request.size_kb;
    routed.deadline = request.deadline;
    routed.redirected = request.redirected;
    return routed;
}

}  // namespace silverrail::core
