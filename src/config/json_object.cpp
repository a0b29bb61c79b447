#include "config/json_object.h"

namespace silverrail::config {

namespace {

// Numbers are converted to nanoseconds and sizes; larger values would overflow a 64-bit integer.
constexpr double kNumberBound = 9e18;

std::string checked_string(const Json::Value& value, const std::string& path) {
    if (!value.isString())
        throw ConfigError(path, "expected a string");
    return value.asString();
}

double checked_number(const Json::Value& value, const std::string& path) {
    if (!value.isNumeric())
        throw ConfigError(path, "expected a number");
    const double number = value.asDouble();
    const bool in_range = number >= 0 && number < kNumberBound;
    if (!in_range)
        throw ConfigError(path, "out of range");
    return number;
}

}  // namespace

JsonObject::JsonObject(const Json::Value& json, std::string path) : json_(json), path_(std::move(path)) {
    if (!json_.isObject())
        throw ConfigError(path_, "expected an object");
}

const Json::Value& JsonObject::list(const char* key) const {
    const Json::Value& value = json_[key];
    if (!value.isArray())
        throw ConfigError(path_of(key), "expected a list");
    return value;
}

std::string JsonObject::string(const char* key) const {
    return checked_string(json_[key], path_of(key));
}

std::string JsonObject::string_or(const char* key, const char* fallback) const {
    return has(key) ? string(key) : std::string{fallback};
}

double JsonObject::number_or(const char* key, double fallback) const {
    return has(key) ? checked_number(json_[key], path_of(key)) : fallback;
}

routing::Span JsonObject::duration(const char* key) const {
    return routing::Span{static_cast<routing::Span::rep>(number_or(key, 0))};
}

routing::Span JsonObject::required_duration(const char* key) const {
    if (!has(key))
        throw ConfigError(path_of(key), "required");
    return duration(key);
}

bool JsonObject::flag(const char* key) const {
    const Json::Value& value = json_[key];
    if (value.isNull())
        return false;
    if (!value.isBool())
        throw ConfigError(path_of(key), "expected true or false");
    return value.asBool();
}

double JsonObject::list_item(const char* key, std::size_t index) const {
    const Json::Value& list = json_[key];
    if (!list.isArray() || index >= list.size())
        return 0;
    const Json::Value& item = list[static_cast<Json::ArrayIndex>(index)];
    if (item.isBool())
        return item.asBool() ? 1 : 0;
    return checked_number(item, path_of(key));
}

std::optional<Json::ArrayIndex> JsonObject::index(const char* key) const {
    const Json::Value& value = json_[key];
    if (!value.isIntegral() || value.asInt64() < 0)
        return std::nullopt;
    return static_cast<Json::ArrayIndex>(value.asInt64());
}

}  // namespace silverrail::config
