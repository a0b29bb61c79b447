#include "core/take_in.h"

namespace silverrail::core {

TakeIn::TakeIn(const routing::Settings& settings) {
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        const auto& c = settings.classes[i];
        classes_[c.name] = i;
        forms_.push_back({c.client_timeout, c.uncached, c.idempotency == routing::Idempotency::keyed});
    }
}

bool TakeIn::fits(const Call& call, std::size_t class_index, Time now) const {
    const Form& form = forms_[class_index];
    // Guards rule 2 (no repeated effect): a repeat of one without a key would be a new request to any server.
    if (form.keyed && call.idempotency_key.empty())
        return false;
    // Clients give a try all of the class's time or less; twice that is a figure that went wrong.
    return call.write == form.write && (form.give_up == Span{} || call.deadline <= now + 2 * form.give_up);
}

std::optional<std::size_t> TakeIn::class_of(const Call& call) const {
    auto at = classes_.find(call.class_name);
    if (at == classes_.end())
        return std::nullopt;
    return at->second;
}

routing::Request TakeIn::request(RequestId id, std::size_t class_index, const Call& call) const {
    routing::Request r;
    r.id = id;
    r.class_index = class_index;
    r.object = call.object_id;
    r.group = call.group_known ? call.group : routing::GroupId{~std::uint64_t{0}};
    r.part = call.part;
    r.size_kb = call.size_kb;
    r.deadline = call.deadline;
    r.redirected = call.redirected;
    return r;
}

}  // namespace silverrail::core
