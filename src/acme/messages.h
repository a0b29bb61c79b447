// Parses and creates the JSON objects of ACME (RFC 8555, section 7).
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace silverrail::acme {

// Unless noted otherwise, a string is empty if the authority did not send it.

// The URLs of the authority's resources.
struct Directory {
    std::string new_nonce_url;
    std::string new_account_url;
    std::string new_order_url;
};
// Returns std::nullopt if the input is not a JSON object. Throws AcmeError if a URL is missing.
std::optional<Directory> parse_directory(std::string_view json);

struct Order {
    std::string status;
    std::string finalize_url;
    std::string certificate_url;
    std::vector<std::string> authorization_urls;  // at most 16
};
// Returns std::nullopt if the input is not a JSON object.
std::optional<Order> parse_order(std::string_view json);

struct DnsChallenge {
    std::string url;
    std::string token;
};
struct Authorization {
    std::string status;
    std::string domain;
    std::optional<DnsChallenge> dns_challenge;  // the first of type dns-01
};
// Returns std::nullopt if the input is not a JSON object.
std::optional<Authorization> parse_authorization(std::string_view json);

// A problem document (RFC 7807).
struct Problem {
    std::string type;
    std::string detail;
};
// Returns std::nullopt if the input is not a JSON object.
std::optional<Problem> parse_problem(std::string_view json);

// `contact`: such as "mailto:oncall@example.com"; may be empty.
std::string account_request(const std::string& contact);
std::string order_request(const std::string& domain);
// `signing_request`: PKCS #10 in DER.
std::string finalize_request(std::string_view signing_request);

}  // namespace silverrail::acme
