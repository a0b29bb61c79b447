// Typed and validated access to the members of a JSON object. Errors are thrown as ConfigError with the full
// path of the key.
#pragma once

#include <json/json.h>

#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include "config/config_error.h"
#include "config/keyword_table.h"
#include "silverrail/routing/router.h"

namespace silverrail::config {

// A keyword of a settings file and its value.
template <class Value>
using KeywordValue = std::pair<const char*, Value>;

class JsonObject {
public:
    // `json` must outlive this object. Throws if it is not an object.
    JsonObject(const Json::Value& json, std::string path);

    JsonObject child(const char* key) const {
        return {json_[key], path_of(key)};
    }
    // A key whose value is null counts as absent.
    bool has(const char* key) const {
        return !json_[key].isNull();
    }
    const Json::Value& list(const char* key) const;
    std::string string(const char* key) const;
    std::string string_or(const char* key, const char* fallback) const;
    // The number must be non-negative and below 9e18.
    double number_or(const char* key, double fallback) const;
    // Reads a number of nanoseconds; returns zero if the key is absent.
    routing::Span duration(const char* key) const;
    routing::Span required_duration(const char* key) const;
    // Returns false if the key is absent.
    bool flag(const char* key) const;
    // Returns item `index` of a list of numbers or booleans (as 1 or 0); 0 if the list is absent or shorter.
    double list_item(const char* key, std::size_t index) const;
    // Reads an index into another list; returns nothing if it is negative, which means none, or not an
    // integer.
    std::optional<Json::ArrayIndex> index(const char* key) const;
    // Returns the value of the keyword at `key`; an absent key is read as the keyword `fallback`.
    template <class Value>
    Value keyword(const char* key, std::span<const KeywordValue<Value>> keywords,
                  const char* fallback) const {
        return value_of(key, string_or(key, fallback), keywords);
    }
    template <class Value>
    Value required_keyword(const char* key, std::span<const KeywordValue<Value>> keywords) const {
        return value_of(key, string(key), keywords);
    }

private:
    std::string path_of(const char* key) const {
        return path_.empty() ? key : path_ + "." + key;
    }
    template <class Value>
    Value value_of(const char* key, const std::string& keyword,
                   std::span<const KeywordValue<Value>> keywords) const {
        const auto value = find_keyword(keywords, keyword);
        if (!value)
            throw ConfigError(path_of(key), "unknown value " + keyword);
        return *value;
    }

    const Json::Value& json_;
    std::string path_;
};

}  // namespace silverrail::config
