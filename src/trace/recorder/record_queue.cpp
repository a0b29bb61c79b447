#include "trace/recorder/record_queue.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <cstring>

namespace silverrail::trace {

namespace {

using model::Encoding;
using model::Text;

constexpr std::size_t kMinBytes = 4096;
constexpr std::size_t kAlignment = 8;
constexpr std::uint32_t kSkipToEnd = 0xffffffffU;  // in place of a message's size
// Size, time, router, type; the fields follow.
constexpr std::size_t kHeaderBytes =
    sizeof(std::uint32_t) + sizeof(std::int64_t) + sizeof(std::uint32_t) + sizeof(std::uint32_t);

std::size_t rounded_up(std::size_t bytes) {
    return (bytes + kAlignment - 1) / kAlignment * kAlignment;
}

template <class T>
void put(char*& to, const T& value) {
    std::memcpy(to, &value, sizeof value);
    to += sizeof value;
}

void put(char*& to, const Text& text) {
    put(to, static_cast<std::uint32_t>(text.size()));
    if (!text.empty())
        std::memcpy(to, text.data(), text.size());
    to += text.size();
}

template <class T>
void get(const char*& from, T& value) {
    std::memcpy(&value, from, sizeof value);
    from += sizeof value;
}

void get(const char*& from, Text& text) {
    std::uint32_t size = 0;
    get(from, size);
    text = {from, size};
    from += size;
}

template <class T>
std::size_t encoded_bytes(const T&) {
    return sizeof(T);
}

std::size_t encoded_bytes(const Text& text) {
    return sizeof(std::uint32_t) + text.size();
}

std::size_t message_bytes(const model::Record& record) {
    std::size_t bytes = kHeaderBytes;
    std::visit(
        [&bytes]<class Body>(const Body& body) {
            Body::fields(
                body, [&bytes](const char*, const auto& value, Encoding) { bytes += encoded_bytes(value); });
        },
        record.body);
    return rounded_up(bytes);
}

void put_message(char* to, const model::Record& record, std::size_t bytes) {
    put(to, static_cast<std::uint32_t>(bytes));
    put(to, record.at);
    put(to, record.router_index);
    put(to, static_cast<std::uint32_t>(record.body.index()));
    std::visit(
        [&to]<class Body>(const Body& body) {
            Body::fields(body, [&to](const char*, const auto& value, Encoding) { put(to, value); });
        },
        record.body);
}

// `from` stands behind the message's size.
void get_message(const char* from, model::Record& record) {
    std::uint32_t type = 0;
    get(from, record.at);
    get(from, record.router_index);
    get(from, type);
    model::with_type(type, [&]<class Body>(Body) {
        Body& body = record.body.template emplace<Body>();
        Body::fields(body, [&from](const char*, auto& value, Encoding) { get(from, value); });
    });
}

}  // namespace

RecordQueue::RecordQueue(std::size_t bytes)
    : ring_(std::bit_ceil(std::max(bytes, kMinBytes))), mask_(ring_.size() - 1) {}

bool RecordQueue::push(const model::Record& record) {
    const std::size_t bytes = message_bytes(record);
    if (bytes > ring_.size() / 4)
        return false;
    std::size_t head = head_.load(std::memory_order_relaxed);
    const std::size_t to_end = ring_.size() - (head & mask_);
    const bool skips = bytes > to_end;
    if (!has_space(head, skips ? to_end + bytes : bytes))
        return false;
    if (skips) {
        std::memcpy(ring_.data() + (head & mask_), &kSkipToEnd, sizeof kSkipToEnd);
        head += to_end;
    }
    put_message(ring_.data() + (head & mask_), record, bytes);
    head_.store(head + bytes, std::memory_order_release);
    return true;
}

// Looks at the consumer's position only if the last one seen is not enough: it is on another cache line.
bool RecordQueue::has_space(std::size_t head, std::size_t bytes) {
    if (head + bytes - known_tail_ <= ring_.size())
        return true;
    known_tail_ = tail_.load(std::memory_order_acquire);
    return head + bytes - known_tail_ <= ring_.size();
}

bool RecordQueue::pop(model::Record& record) {
    std::size_t tail = tail_.load(std::memory_order_relaxed) + current_bytes_;
    // Only now may the producer overwrite what the last record's texts pointed to.
    if (current_bytes_ > 0)
        tail_.store(tail, std::memory_order_release);
    current_bytes_ = 0;
    if (tail == head_.load(std::memory_order_acquire))
        return false;
    const char* from = ring_.data() + (tail & mask_);
    std::uint32_t bytes = 0;
    get(from, bytes);
    if (bytes == kSkipToEnd) {
        tail += ring_.size() - (tail & mask_);
        tail_.store(tail, std::memory_order_release);
        from = ring_.data() + (tail & mask_);
        get(from, bytes);
    }
    current_bytes_ = bytes;
    get_message(from, record);
    return true;
}

}  // namespace silverrail::trace
