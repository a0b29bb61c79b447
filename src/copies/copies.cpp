#include "copies/copies.h"

namespace silverrail::copies {

namespace {
using namespace std::chrono_literals;
// An answer that is through at the very aim is often late by the way to the client.
constexpr double kOfAim = 0.85;
// Between the writing of a request and the look at the clock here.
constexpr std::int64_t kAgeMarginMs = 20;
constexpr Span kDeadlineMargin = 30ms;
// To tell a client that its own copy holds takes a twentieth of the bytes.
constexpr double kUnchangedShare = 0.05;

std::int64_t ms(Span span) {
    return span / 1ms;
}
}  // namespace

void Copies::keep(const Wanted& call, std::string_view body, std::string_view tag, std::int64_t made_ms,
                  std::int64_t purged_ms) {
    if (!on_ || !call.group_known || classes_[call.key.class_index].uncached)
        return;
    // Without its age nothing says how long it will do; one made before a purge was under way while it came.
    if (made_ms <= 0 || made_ms <= purged_ms || tag.empty())
        return;
    store_.put(call.key,
               Copy{std::make_shared<const std::string>(body), std::string{tag}, call.group, made_ms});
}

const Copy* Copies::find(const Wanted& call) {
    return on_ && sure_ && call.group_known ? store_.find(call.key) : nullptr;
}

double Copies::bytes_to_send(const Wanted& call, const Copy& copy) const {
    const auto bytes = static_cast<double>(copy.body->size());
    return call.have == copy.tag ? bytes * kUnchangedShare : bytes;
}

Served Copies::serve(const Wanted& call, const Copy& copy, Time now, bool stale) {
    link_.take(bytes_to_send(call, copy), now);
    return {call.have == copy.tag ? nullptr : copy.body, copy.tag, copy.made_ms, stale};
}

std::optional<Served> Copies::answer(const Wanted& call, Time now, std::int64_t unix_ms) {
    const Copy* copy = find(call);
    if (!copy)
        return std::nullopt;
    const auto& of = classes_[call.key.class_index];
    if (of.max_age > Span{} && unix_ms + kAgeMarginMs >= copy->made_ms + ms(of.max_age))
        return std::nullopt;
    const double bytes = bytes_to_send(call, *copy);
    const auto latency_objective =
        of.latency_objective + std::chrono::duration_cast<Span>(of.objective_stretch * link_.alone(bytes));
    if (link_.finish(bytes, now) > kOfAim * latency_objective)
        return std::nullopt;
    return serve(call, *copy, now, false);
}

std::optional<Served> Copies::last_resort(const Wanted& call, Time now, std::int64_t unix_ms, Time deadline) {
    const Copy* copy = find(call);
    if (!copy)
        return std::nullopt;
    const auto& of = classes_[call.key.class_index];
    const std::int64_t age = unix_ms + kAgeMarginMs - copy->made_ms;
    if (of.max_age > Span{} && age >= ms(of.max_age + of.grace))
        return std::nullopt;
    if (now + link_.finish(bytes_to_send(call, *copy), now) + kDeadlineMargin > deadline)
        return std::nullopt;
    return serve(call, *copy, now, of.max_age > Span{} && age >= ms(of.max_age));
}

}  // namespace silverrail::copies
