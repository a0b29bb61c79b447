// One section of the operator's file, read key by key. Problems are collected with their whole path, so that
// all of them can be reported at once; keys that nobody reads are problems too.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "config/config_error.h"

namespace silverrail::config {

// Every reader returns the fallback if the key is absent or null, and also, with a problem added, if the
// value is not good.
class SettingsSection {
public:
    // `json` may be null: then every key is absent. `path` is empty for the file as a whole.
    SettingsSection(const Json::Value& json, std::string path, std::vector<ConfigProblem>& problems);
    // Adds a problem for each key that was never read.
    ~SettingsSection();
    SettingsSection(const SettingsSection&) = delete;
    SettingsSection& operator=(const SettingsSection&) = delete;

    bool present() const {
        return json_.isObject();
    }
    SettingsSection child(const char* key);
    std::string text(const char* key);
    std::int64_t integer(const char* key, std::int64_t fallback, std::int64_t min, std::int64_t max);
    double number(const char* key, double fallback, double min, double max);
    // A list of words, each one of `known`.
    std::vector<std::string> words(const char* key, const std::vector<std::string>& known);
    std::vector<std::string> texts(const char* key, std::size_t max_count);
    // Reads each object of a list as a section of its own, with a path such as `peers.zones.2`.
    void for_each(const char* key, std::size_t max_count, const std::function<void(SettingsSection&)>& read);
    void add_problem(const char* key, const std::string& problem);

private:
    const Json::Value& value(const char* key);
    std::string path_of(const char* key) const {
        return path_.empty() ? key : path_ + "." + key;
    }

    const Json::Value json_;
    std::string path_;
    std::vector<ConfigProblem>& problems_;
    std::set<std::string> keys_read_;
};

}  // namespace silverrail::config
