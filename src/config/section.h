// One section of the operator's file, read key by key. What is wrong is collected with its path, so that all
// of it can be told at once; keys that nobody asked for are wrong too.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace silverrail::config {

class Section {
public:
    // `json` may be null: then every key is absent.
    Section(const Json::Value& json, std::string path, std::vector<std::string>& problems);
    ~Section();  // tells of the keys that were not asked for
    Section(const Section&) = delete;
    Section& operator=(const Section&) = delete;

    bool present() const {
        return json_.isObject();
    }
    bool has(const char* key) const {
        return present() && !json_[key].isNull();
    }
    Section child(const char* key);
    std::string text(const char* key, const std::string& fallback = {});
    bool flag(const char* key, bool fallback);
    // Whole numbers and others, within bounds that the message names.
    std::int64_t whole(const char* key, std::int64_t fallback, std::int64_t least, std::int64_t most);
    double number(const char* key, double fallback, double least, double most);
    // A list of words, each one of `known`.
    std::vector<std::string> words(const char* key, const std::vector<std::string>& known);
    // A list of at most `most` texts.
    std::vector<std::string> texts(const char* key, std::size_t most);
    // A list of at most `most` objects, each read as a section of its own: `peers.zones.2.name`.
    void each(const char* key, std::size_t most, const std::function<void(Section&)>& read);
    void wrong(const char* key, const std::string& what);  // e.g. two keys that do not go together
    std::string at(const char* key) const {
        return path_.empty() ? key : path_ + "." + key;
    }

private:
    const Json::Value& value(const char* key);
    const Json::Value json_;
    std::string path_;
    std::vector<std::string>& problems_;
    std::set<std::string> known_;
};

}  // namespace silverrail::config
