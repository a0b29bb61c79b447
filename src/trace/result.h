// A value or a typed error.
//
// Errors in the trace library follow one rule. What is an ordinary finding, because it depends on the
// contents of traces, is a value: a `Result`, an empty `optional` or a list of damages. What prevents a tool
// from doing its work is an exception derived from `TraceError`: `IoError` (the environment), `Unreadable`
// (not a trace), `ToolError` (the task can't be done).
#pragma once

#include <stdexcept>
#include <utility>
#include <variant>

namespace silverrail::trace {

struct TraceError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// T and E are different types. Access to the one that is not held throws std::bad_variant_access.
template <class T, class E>
class [[nodiscard]] Result {
public:
    Result(T value) : content_(std::move(value)) {}
    Result(E error) : content_(std::move(error)) {}
    explicit operator bool() const {
        return std::holds_alternative<T>(content_);
    }
    T& operator*() {
        return std::get<T>(content_);
    }
    const T& operator*() const {
        return std::get<T>(content_);
    }
    T* operator->() {
        return &std::get<T>(content_);
    }
    const T* operator->() const {
        return &std::get<T>(content_);
    }
    const E& error() const {
        return std::get<E>(content_);
    }

private:
    std::variant<T, E> content_;
};

}  // namespace silverrail::trace
