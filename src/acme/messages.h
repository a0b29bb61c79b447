// The JSON objects of ACME (RFC 8555, section 7), read and written.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace silverrail::acme {

// Unless said otherwise, a text is empty if the authority did not send it.

// Where requests go to.
struct Directory {
    std::string new_nonce_url;
    std::string new_account_url;
    std::string new_order_url;
};
// Absent if the text is no JSON object. Throws AcmeError if one of the URLs is missing.
std::optional<Directory> parse_directory(std::string_view json);

struct Order {
    std::string status;
    std::string finalize_url;
    std::string certificate_url;
    std::vector<std::string> authorization_urls;  // at most 16
};
// Absent if the text is no JSON object.
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
// Absent if the text is no JSON object.
std::optional<Authorization> parse_authorization(std::string_view json);

// An error (RFC 7807).
struct Problem {
    std::string type;
    std::string detail;
};
// Absent if the text is no JSON object.
std::optional<Problem> parse_problem(std::string_view json);

// `contact`: such as "mailto:oncall@example.com"; may be empty.
std::string account_request(const std::string& contact);
std::string order_request(const std::string& domain);
// `signing_request`: PKCS #10 in DER.
std::string finalize_request(std::string_view signing_request);

}  // namespace silverrail::acme
