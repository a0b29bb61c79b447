#include "message_fields.h"

#include <charconv>
#include <system_error>

namespace silverrail::routing::adapter {

namespace {

constexpr int kHexadecimal = 16;
constexpr const char* kObjectDescription = "an object (16 hex digits)";

std::string got(std::string_view value) {
    return ", got '" + std::string{value} + "'";
}

}  // namespace

MessageFields::MessageFields(const Tokens& tokens, std::size_t min_values) : tokens_(tokens) {
    if (tokens.size() < min_values + 1)
        fail("at least " + std::to_string(min_values) + " values");
}

void MessageFields::fail(const std::string& what) const {
    throw ProtocolError(std::string{tokens_[0]} + ": expected " + what);
}

std::string_view MessageFields::string(std::size_t position) const {
    if (position >= tokens_.size() || tokens_[position] == kAbsent)
        return {};
    return tokens_[position];
}

bool MessageFields::flag(std::size_t position) const {
    return string(position) == "1";
}

std::string_view MessageFields::required_string(std::size_t position, const char* what) const {
    const std::string_view value = string(position);
    if (value.empty())
        fail(what);
    return value;
}

std::int64_t MessageFields::required_integer(std::size_t position, const char* what) const {
    const std::string_view value = required_string(position, what);
    const auto integer = parse_integer(value);
    if (!integer)
        fail(what + got(value));
    return *integer;
}

std::int64_t MessageFields::integer_or_zero(std::size_t position, const char* what) const {
    return string(position).empty() ? 0 : required_integer(position, what);
}

double MessageFields::number_or(std::size_t position, double fallback, const char* what) const {
    const std::string_view value = string(position);
    if (value.empty())
        return fallback;
    const auto number = parse_number(value);
    if (!number)
        fail(what + got(value));
    return *number;
}

ObjectId MessageFields::required_object(std::size_t position) const {
    const std::string_view value = required_string(position, kObjectDescription);
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), id, kHexadecimal);
    if (error != std::errc{} || end != value.data() + value.size())
        fail(kObjectDescription);
    return ObjectId{id};
}

std::string MessageFields::required_instance() const {
    return std::string{required_string(1, "an instance")};
}

RequestId MessageFields::required_request() const {
    return RequestId{static_cast<std::uint64_t>(required_integer(2, "a request id"))};
}

}  // namespace silverrail::routing::adapter
