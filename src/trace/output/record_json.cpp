#include "trace/output/record_json.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <string>
#include <string_view>

#include "config/hex.h"
#include "trace/model/enum_names.h"
#include "trace/output/value_text.h"

namespace silverrail::trace {

using namespace model;

namespace {

// Fields are told apart by the names that the trace format gives them.
bool is_one_of(std::string_view field, std::initializer_list<std::string_view> names) {
    return std::find(names.begin(), names.end(), field) != names.end();
}

bool is_identifier(std::string_view field) {
    return is_one_of(field, {"object", "trace_id", "seed"});
}

// Each overload puts a field of one type.
class FieldWriter {
public:
    explicit FieldWriter(Json::Value& out) : out_(out) {}

    void operator()(const char* field, Text value, Encoding) {
        const bool is_address = std::string_view{field} == "client";
        out_[field] = is_address ? address_text(value) : std::string{value};
    }
    void operator()(const char* field, bool value, Encoding) {
        out_[field] = value;
    }
    void operator()(const char* field, double value, Encoding) {
        if (!std::isnan(value))
            out_[field] = value;
    }
    void operator()(const char* field, std::uint8_t value, Encoding) {
        out_[field] = enum_or_number(field, value);
    }
    void operator()(const char* field, std::int64_t value, Encoding) {
        if (value != kNoTime)
            out_[field] = Json::Value{Json::Int64{value}};
    }
    void operator()(const char* field, std::uint64_t value, Encoding) {
        if (is_identifier(field))
            out_[field] = config::hex_text(value);
        else
            out_[field] = Json::Value{Json::UInt64{value}};
    }

private:
    static Json::Value enum_or_number(std::string_view field, std::uint8_t value) {
        if (field == "ending")
            return std::string{enum_name(kAttemptStatusNames, value)};
        if (field == "note")
            return std::string{enum_name(kCacheStatusNames, value)};
        if (field == "kind")
            return std::string{enum_name(kResponseKindNames, value)};
        if (field == "condition")
            return std::string{enum_name(kConditionNames, value)};
        if (field == "front")
            return std::string{enum_name(kFrontNames, value)};
        if (field == "verdict")
            return std::string{enum_name(kVerdictNames, value)};
        return value;
    }

    Json::Value& out_;
};

}  // namespace

Json::Value json_of(const Record& record, std::int64_t unix_ns) {
    Json::Value out;
    out["type"] = type_name(record.body);
    out["time"] = time_text(unix_ns);
    out["at"] = Json::Value{Json::Int64{record.at}};
    out["source"] = record.router_index;
    std::visit([&out](const auto& body) { body.fields(body, FieldWriter{out}); }, record.body);
    return out;
}

}  // namespace silverrail::trace
