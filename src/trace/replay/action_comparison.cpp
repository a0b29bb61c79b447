#include "trace/replay/action_comparison.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace silverrail::trace {

using routing::Action;
using routing::Cancel;
using routing::Fail;
using routing::Fill;
using routing::Reject;
using routing::Send;
using routing::SetTimer;
using routing::Span;

namespace {

std::string milliseconds(Span span) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f ms", std::chrono::duration<double, std::milli>(span).count());
    return text;
}

std::string describe_fill(const Fill& fill, const routing::ServerId& target) {
    std::string text = fill.source == target ? ", no fill" : ", filled from " + fill.source.address;
    text += ", rank " + std::to_string(static_cast<int>(fill.retention));
    if (fill.max_age > Span{})
        text += ", no older than " + milliseconds(fill.max_age);
    if (fill.coalesce)
        text += ", join";
    if (fill.revalidate)
        text += ", renew";
    if (fill.only_if_cached)
        text += ", held only";
    return text;
}

struct Description {
    std::string operator()(const Send& send) const {
        std::string text = "send to " + send.target.address;
        text += send.fill ? describe_fill(*send.fill, send.target) : ", a plain look";
        if (send.timeout > Span{})
            text += ", for " + milliseconds(send.timeout);
        return text;
    }
    std::string operator()(const Cancel& cancel) const {
        return "cancel attempt " + std::to_string(cancel.attempt);
    }
    std::string operator()(const Reject& reject) const {
        return "refuse for " + milliseconds(reject.retry_after);
    }
    std::string operator()(const Fail&) const {
        return "fail";
    }
    std::string operator()(const SetTimer& timer) const {
        return "timer " + std::to_string(static_cast<std::uint64_t>(timer.id)) + " after " +
               milliseconds(timer.after);
    }
};

bool equal_fills(const std::optional<Fill>& a, const std::optional<Fill>& b) {
    if (!a || !b)
        return a.has_value() == b.has_value();
    return a->source == b->source && a->retention == b->retention && a->max_age == b->max_age &&
           a->coalesce == b->coalesce && a->revalidate == b->revalidate &&
           a->only_if_cached == b->only_if_cached;
}

// Each overload compares two actions of one type.
struct Comparison {
    const Action& replayed;

    std::optional<ActionDifference> operator()(const Send& recorded) const {
        const Send& other = std::get<Send>(replayed);
        if (recorded.request != other.request || recorded.target != other.target)
            return ActionDifference::target;
        if (!equal_fills(recorded.fill, other.fill))
            return ActionDifference::fill;
        return unless(recorded.timeout == other.timeout, ActionDifference::timeout);
    }
    std::optional<ActionDifference> operator()(const Cancel& recorded) const {
        const Cancel& other = std::get<Cancel>(replayed);
        return unless(recorded.request == other.request && recorded.attempt == other.attempt,
                      ActionDifference::cancellation);
    }
    std::optional<ActionDifference> operator()(const Reject& recorded) const {
        const Reject& other = std::get<Reject>(replayed);
        return unless(recorded.request == other.request && recorded.retry_after == other.retry_after,
                      ActionDifference::rejection);
    }
    std::optional<ActionDifference> operator()(const Fail& recorded) const {
        return unless(recorded.request == std::get<Fail>(replayed).request, ActionDifference::rejection);
    }
    std::optional<ActionDifference> operator()(const SetTimer& recorded) const {
        const SetTimer& other = std::get<SetTimer>(replayed);
        return unless(recorded.id == other.id && recorded.after == other.after, ActionDifference::timer);
    }

private:
    static std::optional<ActionDifference> unless(bool equal, ActionDifference difference) {
        return equal ? std::nullopt : std::optional{difference};
    }
};

bool sends(const Action& action) {
    return std::holds_alternative<Send>(action);
}

bool ends_request(const Action& action) {
    return std::holds_alternative<Reject>(action) || std::holds_alternative<Fail>(action);
}

// Of actions of different types.
ActionDifference type_difference(const Action& recorded, const Action& replayed) {
    if (sends(recorded) && ends_request(replayed))
        return ActionDifference::rejects_instead_of_sends;
    if (sends(replayed) && ends_request(recorded))
        return ActionDifference::sends_instead_of_rejects;
    if (ends_request(recorded) && ends_request(replayed))
        return ActionDifference::rejection;
    return ActionDifference::count;
}

}  // namespace

const char* name_of(ActionDifference difference) {
    static constexpr std::array kNames{"other target",
                                       "other fill",
                                       "other time-out",
                                       "sends instead of turning away",
                                       "turns away instead of sending",
                                       "other refusal",
                                       "other cancel",
                                       "other timer",
                                       "said more or less"};
    return kNames.at(static_cast<std::size_t>(difference));
}

std::optional<ActionDifference> compare_actions(const Action& recorded, const Action& replayed) {
    if (recorded.index() != replayed.index())
        return type_difference(recorded, replayed);
    return std::visit(Comparison{replayed}, recorded);
}

std::uint64_t request_of(const Action& action) {
    return std::visit(
        []<class A>(const A& a) -> std::uint64_t {
            if constexpr (std::is_same_v<A, SetTimer>)
                return 0;
            else
                return static_cast<std::uint64_t>(a.request);
        },
        action);
}

std::string describe(const Action* action) {
    return action ? std::visit(Description{}, *action) : "nothing";
}

}  // namespace silverrail::trace
