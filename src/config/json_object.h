// A JSON object whose values are read by key and checked. Errors are ConfigError and name the whole path.
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

// A word of a settings file and the value that it stands for.
template <class Value>
using WordMeaning = std::pair<const char*, Value>;

class JsonObject {
public:
    // `json` must outlive this object. Throws if it is not an object.
    JsonObject(const Json::Value& json, std::string path);

    JsonObject child(const char* key) const {
        return {json_[key], path_of(key)};
    }
    // Absent is the same as null.
    bool has(const char* key) const {
        return !json_[key].isNull();
    }
    const Json::Value& list(const char* key) const;
    std::string text(const char* key) const;
    std::string text_or(const char* key, const char* fallback) const;
    // Not negative, and below 9e18.
    double number_or(const char* key, double fallback) const;
    // In nanoseconds; zero if absent.
    routing::Span duration(const char* key) const;
    routing::Span required_duration(const char* key) const;
    // False if absent.
    bool flag(const char* key) const;
    // Item `index` of a list of numbers or flags (1 or 0); 0 if the list is absent or shorter.
    double list_item(const char* key, std::size_t index) const;
    // An index into another list; absent if negative, which stands for none, or not a whole number.
    std::optional<Json::ArrayIndex> index(const char* key) const;
    // What the word at `key` stands for; `fallback` is the word if the key is absent.
    template <class Value>
    Value word(const char* key, std::span<const WordMeaning<Value>> words, const char* fallback) const {
        return meaning(key, text_or(key, fallback), words);
    }
    template <class Value>
    Value required_word(const char* key, std::span<const WordMeaning<Value>> words) const {
        return meaning(key, text(key), words);
    }

private:
    std::string path_of(const char* key) const {
        return path_.empty() ? key : path_ + "." + key;
    }
    template <class Value>
    Value meaning(const char* key, const std::string& word, std::span<const WordMeaning<Value>> words) const {
        const auto value = find_keyword(words, word);
        if (!value)
            throw ConfigError(path_of(key), "unknown word " + word);
        return *value;
    }

    const Json::Value& json_;
    std::string path_;
};

}  // namespace silverrail::config
