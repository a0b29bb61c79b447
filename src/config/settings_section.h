// Typed access to one section of the operator's file. Problems are collected with the full path of the key,
// so that all of them can be reported at once. A key that is never read is reported as unknown.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "config/config_error.h"

namespace silverrail::config {

// The accessors return the fallback if the key is absent or null. If the value is invalid, they add a problem
// and return the fallback.
class SettingsSection {
public:
    // If `json` is null, all keys are absent. `path` is empty for the whole file.
    SettingsSection(const Json::Value& json, std::string path, std::vector<ConfigProblem>& problems);
    // Adds a problem for each key that was never read.
    ~SettingsSection();
    SettingsSection(const SettingsSection&) = delete;
    SettingsSection& operator=(const SettingsSection&) = delete;

    bool present() const {
        return json_.isObject();
    }
    SettingsSection child(const char* key);
    std::string string(const char* key);
    std::int64_t integer(const char* key, std::int64_t fallback, std::int64_t min, std::int64_t max);
    double number(const char* key, double fallback, double min, double max);
    // Reads a list of keywords, each of which must be one of `known`.
    std::vector<std::string> keywords(const char* key, const std::vector<std::string>& known);
    std::vector<std::string> strings(const char* key, std::size_t max_count);
    // Calls `read` with a section for each object of a list; their paths are such as `peers.zones.2`.
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
