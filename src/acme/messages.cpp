#include "acme/messages.h"

#include "acme/base64url.h"
#include "acme/error.h"
#include "config/json_text.h"

namespace silverrail::acme {

namespace {

constexpr std::size_t kMaxAuthorizations = 16;
constexpr const char* kDnsChallengeType = "dns-01";

std::optional<Json::Value> parse_object(std::string_view text) {
    auto json = config::parse_json(text);
    if (!json || !json->isObject())
        return std::nullopt;
    return json;
}

// Returns an empty string if the member is missing or not a string.
std::string string_member(const Json::Value& json, const char* key) {
    if (!json.isObject() || !json[key].isString())
        return {};
    return json[key].asString();
}

std::string required_url(const Json::Value& directory, const char* key) {
    std::string url = string_member(directory, key);
    if (url.empty())
        throw AcmeError(std::string{"directory without "} + key);
    return url;
}

}  // namespace

std::optional<Directory> parse_directory(std::string_view text) {
    const auto json = parse_object(text);
    if (!json)
        return std::nullopt;
    Directory directory;
    directory.new_nonce_url = required_url(*json, "newNonce");
    directory.new_account_url = required_url(*json, "newAccount");
    directory.new_order_url = required_url(*json, "newOrder");
    return directory;
}

std::optional<Order> parse_order(std::string_view text) {
    const auto json = parse_object(text);
    if (!json)
        return std::nullopt;
    Order order;
    order.status = string_member(*json, "status");
    order.finalize_url = string_member(*json, "finalize");
    order.certificate_url = string_member(*json, "certificate");
    for (const Json::Value& url : (*json)["authorizations"])
        if (url.isString() && order.authorization_urls.size() < kMaxAuthorizations)
            order.authorization_urls.push_back(url.asString());
    return order;
}

std::optional<Authorization> parse_authorization(std::string_view text) {
    const auto json = parse_object(text);
    if (!json)
        return std::nullopt;
    Authorization authorization;
    authorization.status = string_member(*json, "status");
    authorization.domain = string_member((*json)["identifier"], "value");
    for (const Json::Value& challenge : (*json)["challenges"])
        if (!authorization.dns_challenge && string_member(challenge, "type") == kDnsChallengeType)
            authorization.dns_challenge = {string_member(challenge, "url"),
                                           string_member(challenge, "token")};
    return authorization;
}

std::optional<Problem> parse_problem(std::string_view text) {
    const auto json = parse_object(text);
    if (!json)
        return std::nullopt;
    return Problem{string_member(*json, "type"), string_member(*json, "detail")};
}

std::string account_request(const std::string& contact) {
    Json::Value json{Json::objectValue};
    json["termsOfServiceAgreed"] = true;
    if (!contact.empty())
        json["contact"].append(contact);
    return config::json_line(json);
}

std::string order_request(const std::string& domain) {
    Json::Value identifier{Json::objectValue};
    identifier["type"] = "dns";
    identifier["value"] = domain;
    Json::Value json{Json::objectValue};
    json["identifiers"].append(identifier);
    return config::json_line(json);
}

std::string finalize_request(std::string_view signing_request) {
    Json::Value json{Json::objectValue};
    json["csr"] = encode_base64url(signing_request);
    return config::json_line(json);
}

}  // namespace silverrail::acme
