#include "core/attempt_builder.h"

#include <algorithm>

namespace silverrail::core {

std::optional<AttemptRequest> AttemptBuilder::build(const routing::Send& send, const ActiveRequest& request,
                                                    std::uint32_t attempt, Time now) const {
    const Server* server = servers_.find(send.target);
    if (!server)
        return std::nullopt;
    AttemptRequest built;
    built.key = {send.request, attempt};
    built.client_request = request.client_request;
    built.target = send.target;
    built.address = server->address;
    built.target_process = server->process;
    if (send.fill) {
        if (send.fill->source != send.target)
            built.source = send.fill->source;
        if (const Server* source = servers_.find(send.fill->source))
            built.source_process = source->process;
        built.retention = static_cast<int>(send.fill->retention);
        built.max_age = send.fill->max_age;
        built.coalesce = send.fill->coalesce;
        built.revalidate = send.fill->revalidate;
        built.only_if_cached = send.fill->only_if_cached;
    }
    built.retry_window_end = send.retry_window_end;
    built.deadline = request.client_request->deadline;
    if (send.timeout > Span{})
        built.deadline = std::min(built.deadline, now + send.timeout);
    return built;
}

AttemptBuilder::CopyAge AttemptBuilder::copy_age_at_first_byte(const AttemptRequest& request,
                                                               Span class_max_age, Time now) const {
    // Guards rule 5 (no purged copy): a purge received while the attempt waited for its connection applies
    // from the first byte on. Its age may exceed the attempt's max_age, which it must not raise.
    const auto limit = purges_.max_copy_age(*request.client_request, now, unix_time_);
    const Span allowed = request.max_age > Span{} ? request.max_age : class_max_age;
    if (limit && (allowed == Span{} || *limit < allowed))
        return {.max_age = *limit, .tightened = true};
    return {.max_age = request.max_age, .tightened = false};
}

std::optional<std::string> AttemptBuilder::redirect_address(const AttemptRequest& request,
                                                            const std::string& parent_kind, Time now) const {
    // A redirect cannot carry a limit on a copy's age, conditions for a fill, or a source other than the
    // default one. The server would behave differently without them.
    if (request.max_age != Span{} || request.only_if_cached || !request.source)
        return std::nullopt;
    const Server* source = servers_.find(*request.source);
    if (!source || (!parent_kind.empty() && source->entry.kind != parent_kind))
        return std::nullopt;
    if (purges_.max_copy_age(*request.client_request, now, unix_time_))
        return std::nullopt;  // also if the request's group is not known
    const Server* server = servers_.find(request.target);
    if (!server || !servers_.is_usable(request.target))
        return std::nullopt;
    return server->address;
}

}  // namespace silverrail::core
