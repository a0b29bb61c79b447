#include "config/section.h"

#include <algorithm>
#include <cmath>

namespace silverrail::config {

namespace {
std::string plain(double v) {
    if (v == std::floor(v) && std::abs(v) < 1e15)
        return std::to_string(static_cast<long long>(v));
    std::string text = std::to_string(v);
    return text.substr(0, text.find_last_not_of('0') + 1);
}
}  // namespace

Section::Section(const Json::Value& json, std::string path, std::vector<std::string>& problems)
    : json_(json), path_(std::move(path)), problems_(problems) {
    if (!json_.isNull() && !json_.isObject())
        problems_.push_back((path_.empty() ? "the file" : path_) + ": expected an object");
}

Section::~Section() {
    if (!present())
        return;
    for (const std::string& key : json_.getMemberNames())
        if (!known_.contains(key))
            problems_.push_back(at(key.c_str()) + ": no such setting");
}

const Json::Value& Section::value(const char* key) {
    known_.insert(key);
    static const Json::Value kNone;
    return present() ? json_[key] : kNone;
}

Section Section::child(const char* key) {
    return {value(key), at(key), problems_};
}

void Section::wrong(const char* key, const std::string& what) {
    problems_.push_back(at(key) + ": " + what);
}

std::string Section::text(const char* key, const std::string& fallback) {
    const Json::Value& v = value(key);
    if (v.isNull())
        return fallback;
    if (v.isString())
        return v.asString();
    wrong(key, "expected a text");
    return fallback;
}

bool Section::flag(const char* key, bool fallback) {
    const Json::Value& v = value(key);
    if (v.isNull())
        return fallback;
    if (v.isBool())
        return v.asBool();
    wrong(key, "expected true or false");
    return fallback;
}

std::int64_t Section::whole(const char* key, std::int64_t fallback, std::int64_t least, std::int64_t most) {
    const Json::Value& v = value(key);
    if (v.isNull())
        return fallback;
    if (v.isInt64() && v.asInt64() >= least && v.asInt64() <= most)
        return v.asInt64();
    wrong(key, "expected a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return fallback;
}

double Section::number(const char* key, double fallback, double least, double most) {
    const Json::Value& v = value(key);
    if (v.isNull())
        return fallback;
    if (v.isNumeric() && v.asDouble() >= least && v.asDouble() <= most)
        return v.asDouble();
    wrong(key, "expected a number from " + plain(least) + " to " + plain(most));
    return fallback;
}

std::vector<std::string> Section::texts(const char* key, std::size_t most) {
    const Json::Value& v = value(key);
    std::vector<std::string> out;
    if (v.isNull())
        return out;
    if (!v.isArray() || v.size() > most) {
        wrong(key, "expected a list of at most " + std::to_string(most) + " texts");
        return out;
    }
    for (const Json::Value& item : v) {
        if (item.isString())
            out.push_back(item.asString());
        else
            wrong(key, "expected only texts");
    }
    return out;
}

void Section::each(const char* key, std::size_t most, const std::function<void(Section&)>& read) {
    const Json::Value& v = value(key);
    if (v.isNull())
        return;
    if (!v.isArray() || v.size() > most)
        return wrong(key, "expected a list of at most " + std::to_string(most));
    for (Json::ArrayIndex i = 0; i < v.size(); ++i) {
        Section item{v[i], at(key) + "." + std::to_string(i), problems_};
        read(item);
    }
}

std::vector<std::string> Section::words(const char* key, const std::vector<std::string>& known) {
    const Json::Value& v = value(key);
    std::vector<std::string> out;
    if (v.isNull())
        return out;
    std::string all;
    for (const auto& word : known)
        all += (all.empty() ? "" : ", ") + word;
    if (!v.isArray()) {
        wrong(key, "expected a list of " + all);
        return out;
    }
    for (const Json::Value& item : v) {
        if (item.isString() && std::find(known.begin(), known.end(), item.asString()) != known.end())
            out.push_back(item.asString());
        else
            wrong(key, "expected only " + all);
    }
    return out;
}

}  // namespace silverrail::config
