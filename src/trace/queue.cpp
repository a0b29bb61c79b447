#include "trace/queue.h"

#include <bit>

namespace silverrail::trace {

namespace {

using model::Encoding;
using model::Text;

constexpr std::uint32_t kSkip = 0xffffffffu;
constexpr std::size_t kFront = 4 + 8 + 4 + 4;  // size, time, source, type; then the fields
constexpr std::size_t kAlign = 8;

std::size_t rounded(std::size_t n) {
    return (n + kAlign - 1) / kAlign * kAlign;
}

template <class T>
void put(char*& to, const T& value) {
    std::memcpy(to, &value, sizeof value);
    to += sizeof value;
}
template <class T>
T got(const char*& from) {
    T value;
    std::memcpy(&value, from, sizeof value);
    from += sizeof value;
    return value;
}

}  // namespace

RecordQueue::RecordQueue(std::size_t bytes)
    : ring_(std::bit_ceil(std::max<std::size_t>(bytes, 4096))), mask_(ring_.size() - 1) {}

std::size_t RecordQueue::bytes_of(const model::Record& record) {
    std::size_t n = kFront;
    std::visit(
        [&n]<class T>(const T& body) {
            T::fields(body, [&n](const char*, const auto& value, Encoding) {
                if constexpr (std::is_same_v<std::decay_t<decltype(value)>, Text>)
                    n += 4 + value.size();
                else
                    n += sizeof value;
            });
        },
        record.body);
    return rounded(n);
}

bool RecordQueue::push(const model::Record& record) {
    const std::size_t bytes = bytes_of(record);
    if (bytes > ring_.size() / 4)
        return false;
    std::size_t head = head_.load(std::memory_order_relaxed);
    const std::size_t to_end = ring_.size() - (head & mask_);
    const std::size_t needed = bytes <= to_end ? bytes : to_end + bytes;
    if (head + needed - tail_seen_ > ring_.size()) {
        tail_seen_ = tail_.load(std::memory_order_acquire);
        if (head + needed - tail_seen_ > ring_.size())
            return false;
    }
    if (bytes > to_end) {
        std::memcpy(ring_.data() + (head & mask_), &kSkip, sizeof kSkip);
        head += to_end;
    }
    char* to = ring_.data() + (head & mask_);
    put(to, static_cast<std::uint32_t>(bytes));
    put(to, record.at);
    put(to, record.router_index);
    put(to, static_cast<std::uint32_t>(record.body.index()));
    std::visit(
        [&to]<class T>(const T& body) {
            T::fields(body, [&to](const char*, const auto& value, Encoding) {
                if constexpr (std::is_same_v<std::decay_t<decltype(value)>, Text>) {
                    put(to, static_cast<std::uint32_t>(value.size()));
                    if (!value.empty())
                        std::memcpy(to, value.data(), value.size());
                    to += value.size();
                } else {
                    put(to, value);
                }
            });
        },
        record.body);
    head_.store(head + bytes, std::memory_order_release);
    return true;
}

bool RecordQueue::pop(model::Record& record) {
    std::size_t tail = tail_.load(std::memory_order_relaxed) + reading_;
    // Only now may the maker write over what the last record's texts pointed to.
    if (reading_)
        tail_.store(tail, std::memory_order_release);
    reading_ = 0;
    const std::size_t head = head_.load(std::memory_order_acquire);
    if (tail == head)
        return false;
    const char* from = ring_.data() + (tail & mask_);
    std::uint32_t bytes = got<std::uint32_t>(from);
    if (bytes == kSkip) {
        tail += ring_.size() - (tail & mask_);
        tail_.store(tail, std::memory_order_release);
        from = ring_.data() + (tail & mask_);
        bytes = got<std::uint32_t>(from);
    }
    reading_ = bytes;
    record.at = got<std::int64_t>(from);
    record.router_index = got<std::uint32_t>(from);
    const auto type = got<std::uint32_t>(from);
    model::with_type(type, [&]<class T>(T) {
        T& body = record.body.template emplace<T>();
        T::fields(body, [&](const char*, auto& value, Encoding) {
            using F = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<F, Text>) {
                const auto size = got<std::uint32_t>(from);
                value = {from, size};
                from += size;
            } else {
                value = got<F>(from);
            }
        });
    });
    return true;
}

}  // namespace silverrail::trace
