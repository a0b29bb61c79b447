#include "action_writer.h"

#include <type_traits>
#include <variant>

namespace silverrail::routing::adapter {

namespace {

// Bit flags for the options of a fill.
constexpr int kCoalesceBit = 1;
constexpr int kOnlyIfCachedBit = 2;
constexpr int kRevalidateBit = 8;

int option_bits(const Fill& fill) {
    return (fill.coalesce ? kCoalesceBit : 0) | (fill.only_if_cached ? kOnlyIfCachedBit : 0) |
           (fill.revalidate ? kRevalidateBit : 0);
}

class ActionWriter {
public:
    ActionWriter(std::string& reply, const std::string& instance) : reply_(reply), instance_(instance) {}

    void operator()(const Send& send) {
        if (!send.fill) {
            append_line("HAND_OFF", send.request, send.target.address, send.timeout);
            return;
        }
        const Fill& fill = *send.fill;
        append_line("GET", send.request, send.target.address, send.timeout, fill.source.address,
                    fill.retention, fill.max_age, option_bits(fill));
    }
    void operator()(const Cancel& cancel) {
        append_line("DROP_ATTEMPT", cancel.request, cancel.attempt);
    }
    void operator()(const Reject& reject) {
        append_line("OVERLOAD_REPLY", reject.request, reject.retry_after);
    }
    void operator()(const Fail& fail) {
        append_line("FAIL", fail.request);
    }
    void operator()(const SetTimer& timer) {
        append_line("ARM", timer.after, timer.id);
    }

private:
    template <class... Values>
    void append_line(const char* name, const Values&... values) {
        reply_ += name;
        reply_ += ' ';
        reply_ += instance_;
        ((reply_ += ' ', append(values)), ...);
        reply_ += '\n';
    }
    void append(const std::string& string) {
        reply_ += string;
    }
    void append(Span span) {
        append(span.count());
    }
    template <class Number>
    void append(Number number)
        requires std::is_arithmetic_v<Number>
    {
        reply_ += std::to_string(number);
    }
    template <class Id>
    void append(Id id)
        requires std::is_enum_v<Id>
    {
        append(static_cast<std::underlying_type_t<Id>>(id));
    }

    std::string& reply_;
    const std::string& instance_;
};

}  // namespace

void append_action(std::string& reply, const std::string& instance, const Action& action) {
    std::visit(ActionWriter{reply, instance}, action);
}

}  // namespace silverrail::routing::adapter
