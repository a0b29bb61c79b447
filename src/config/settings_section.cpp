#include "config/settings_section.h"

#include <algorithm>
#include <cmath>

namespace silverrail::config {

namespace {

// Integers below this magnitude are printed without a fraction.
constexpr double kMaxPrintedInteger = 1e15;

// Formats a number without trailing zeros.
std::string format_number(double value) {
    if (value == std::floor(value) && std::abs(value) < kMaxPrintedInteger)
        return std::to_string(static_cast<long long>(value));
    const std::string text = std::to_string(value);
    return text.substr(0, text.find_last_not_of('0') + 1);
}

std::string joined(const std::vector<std::string>& items) {
    std::string out;
    for (const auto& item : items)
        out += (out.empty() ? "" : ", ") + item;
    return out;
}

}  // namespace

SettingsSection::SettingsSection(const Json::Value& json, std::string path,
                                 std::vector<ConfigProblem>& problems)
    : json_(json), path_(std::move(path)), problems_(problems) {
    if (!json_.isNull() && !json_.isObject())
        problems_.push_back({.path = path_.empty() ? "the file" : path_, .problem = "expected an object"});
}

SettingsSection::~SettingsSection() {
    if (!present())
        return;
    for (const std::string& key : json_.getMemberNames())
        if (!keys_read_.contains(key))
            add_problem(key.c_str(), "no such setting");
}

const Json::Value& SettingsSection::value(const char* key) {
    static const Json::Value absent;
    keys_read_.insert(key);
    return present() ? json_[key] : absent;
}

SettingsSection SettingsSection::child(const char* key) {
    return {value(key), path_of(key), problems_};
}

void SettingsSection::add_problem(const char* key, const std::string& problem) {
    problems_.push_back({.path = path_of(key), .problem = problem});
}

std::string SettingsSection::string(const char* key) {
    const Json::Value& v = value(key);
    if (v.isString())
        return v.asString();
    if (!v.isNull())
        add_problem(key, "expected a string");
    return {};
}

std::int64_t SettingsSection::integer(const char* key, std::int64_t fallback, std::int64_t min,
                                      std::int64_t max) {
    const Json::Value& v = value(key);
    if (v.isNull())
        return fallback;
    if (v.isInt64() && v.asInt64() >= min && v.asInt64() <= max)
        return v.asInt64();
    add_problem(key, "expected a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback;
}

double SettingsSection::number(const char* key, double fallback, double min, double max) {
    const Json::Value& v = value(key);
    if (v.isNull())
        return fallback;
    if (v.isNumeric() && v.asDouble() >= min && v.asDouble() <= max)
        return v.asDouble();
    add_problem(key, "expected a number from " + format_number(min) + " to " + format_number(max));
    return fallback;
}

std::vector<std::string> SettingsSection::strings(const char* key, std::size_t max_count) {
    const Json::Value& v = value(key);
    std::vector<std::string> out;
    if (v.isNull())
        return out;
    if (!v.isArray() || v.size() > max_count) {
        add_problem(key, "expected a list of at most " + std::to_string(max_count) + " strings");
        return out;
    }
    for (const Json::Value& item : v) {
        if (item.isString())
            out.push_back(item.asString());
        else
            add_problem(key, "expected only strings");
    }
    return out;
}

std::vector<std::string> SettingsSection::keywords(const char* key, const std::vector<std::string>& known) {
    const Json::Value& v = value(key);
    std::vector<std::string> out;
    if (v.isNull())
        return out;
    if (!v.isArray()) {
        add_problem(key, "expected a list of " + joined(known));
        return out;
    }
    for (const Json::Value& item : v) {
        if (item.isString() && std::find(known.begin(), known.end(), item.asString()) != known.end())
            out.push_back(item.asString());
        else
            add_problem(key, "expected only " + joined(known));
    }
    return out;
}

void SettingsSection::for_each(const char* key, std::size_t max_count,
                               const std::function<void(SettingsSection&)>& read) {
    const Json::Value& v = value(key);
    if (v.isNull())
        return;
    if (!v.isArray() || v.size() > max_count)
        return add_problem(key, "expected a list of at most " + std::to_string(max_count) + " objects");
    for (Json::ArrayIndex i = 0; i < v.size(); ++i) {
        SettingsSection item{v[i], path_of(key) + "." + std::to_string(i), problems_};
        read(item);
    }
}

}  // namespace silverrail::config
