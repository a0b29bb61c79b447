// Table-driven tests of base64url, HTTPS URLs, and the parsing of the authority's JSON.
#include "acme/messages.h"

#include "../silverrail/check.h"
#include "acme/base64url.h"
#include "acme/error.h"
#include "acme/session.h"
#include "net/https_client.h"

using namespace silverrail;
using namespace std::chrono_literals;

namespace {

void base64url_round_trips() {
    struct Case {
        std::string bytes;
        const char* text;
    };
    for (const Case& c : {Case{"", ""}, Case{"f", "Zg"}, Case{"fo", "Zm8"}, Case{"foo", "Zm9v"},
                          Case{"\xff\xfe\xfd", "__79"}}) {
        CHECK(acme::encode_base64url(c.bytes) == c.text);
        CHECK(acme::decode_base64url(c.text) == c.bytes);
    }
    for (const char* bad : {"Z", "Zh", "Zg==", "Z+8a", "Zm9vY"})
        CHECK(!acme::decode_base64url(bad));
}

void only_https_urls_are_accepted() {
    for (const char* bad :
         {"http://ca.example/", "https://", "https://a b/", "https://u@ca.example/", "ftp:x"})
        CHECK(!net::parse_https_url(bad));
    const auto url = net::parse_https_url("https://ca.example:14000/dir?x=1");
    CHECK(url->host == "ca.example" && url->port == "14000" && url->target == "/dir?x=1");
    CHECK(net::parse_https_url("https://ca.example")->target == "/");
}

void directories_need_all_urls() {
    const char* complete = R"({"newNonce":"n","newAccount":"a","newOrder":"o","meta":{}})";
    const auto directory = acme::parse_directory(complete);
    CHECK(directory && directory->new_nonce_url == "n" && directory->new_account_url == "a");
    CHECK(directory->new_order_url == "o");
    for (const char* bad : {"", "[]", "{", "7"})
        CHECK(!acme::parse_directory(bad));
    for (const char* partial : {"{}", R"({"newNonce":"n","newAccount":"a"})",
                                R"({"newNonce":"n","newAccount":"a","newOrder":7})"}) {
        bool rejected = false;
        try {
            acme::parse_directory(partial);
        } catch (const acme::AcmeError&) {
            rejected = true;
        }
        CHECK(rejected);
    }
}

void members_of_a_wrong_type_are_treated_as_absent() {
    const auto order =
        acme::parse_order(R"({"status":7,"finalize":"f","authorizations":["a",{},"b"],"certificate":null})");
    CHECK(order && order->status.empty() && order->finalize_url == "f" && order->certificate_url.empty());
    CHECK(order->authorization_urls == (std::vector<std::string>{"a", "b"}));
    CHECK(acme::parse_order(R"({"authorizations":"a"})")->authorization_urls.empty());
    CHECK(!acme::parse_order("[]") && !acme::parse_authorization("[]") && !acme::parse_problem("7"));

    const auto odd = acme::parse_authorization(R"({"status":"pending","identifier":"x","challenges":[7]})");
    CHECK(odd && odd->status == "pending" && odd->domain.empty() && !odd->dns_challenge);
}

void first_dns_challenge_is_used() {
    const auto authorization = acme::parse_authorization(
        R"({"identifier":{"type":"dns","value":"a.example"},"challenges":[{"type":"http-01","url":"x"},
            {"type":"dns-01","url":"u","token":"t"},{"type":"dns-01","url":"v","token":"w"}]})");
    CHECK(authorization->domain == "a.example");
    CHECK(authorization->dns_challenge->url == "u" && authorization->dns_challenge->token == "t");
}

void retry_after_is_bounded() {
    const auto span = [](const char* text) {
        return acme::retry_after({.retry_after = text});
    };
    CHECK(span("") == 0s && span("7") == 7s && span("86401") == 24h);
    CHECK(span("Fri, 05 Dec 2025 08:00:00 GMT") == 60s && span("99999999999") == 60s);
}

}  // namespace

int main() {
    base64url_round_trips();
    only_https_urls_are_accepted();
    directories_need_all_urls();
    members_of_a_wrong_type_are_treated_as_absent();
    first_dns_challenge_is_used();
    retry_after_is_bounded();
    std::puts("acme messages: all cases pass");
}
