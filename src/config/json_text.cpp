#include "config/json_text.h"

#include <memory>

namespace silverrail::config {

std::optional<Json::Value> parse_json(std::string_view text) {
    Json::CharReaderBuilder builder;
    builder["stackLimit"] = kMaxJsonDepth;
    builder["collectComments"] = false;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value root;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &root, nullptr))
            return std::nullopt;
    } catch (const Json::Exception&) {
        return std::nullopt;
    }
    return root;
}

std::string json_line(const Json::Value& json) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

}  // namespace silverrail::config
