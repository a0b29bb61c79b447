// An ACME client (RFC 8555) that orders a certificate with a DNS-01 challenge and renews it. Network access
// is left to HttpTransport.
#pragma once

#include <deque>
#include <functional>
#include <random>
#include <vector>

#include "acme/challenge_records.h"
#include "acme/credential_store.h"
#include "acme/session.h"
#include "core/ports.h"

namespace silverrail::acme {

struct IssuedCertificate {
    std::string chain_pem;  // leaf certificate first
    std::string key_pem;
};

struct ClientSettings {
    std::string directory_url;
    std::string contact;  // such as "mailto:oncall@example.com"; may be empty
    std::string domain;   // the DNS name of the certificate
};

class Client {
public:
    // The referenced objects must outlive the client.
    struct Dependencies {
        CredentialStore store;
        HttpTransport& transport;
        ChallengeRecords& challenge_records;
        core::Timers& timers;
        const core::Clock& clock;
        Log& log;
        std::uint64_t seed;  // of the retry jitter
    };
    using IssuedHandler = std::function<void(const IssuedCertificate&)>;

    // `on_issued` is called with each certificate that is put into use.
    Client(ClientSettings settings, Dependencies dependencies, IssuedHandler on_issued);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Uses the stored certificate while it is valid. Orders a new one if there is none or once two thirds of
    // its validity period have passed. A failed order is retried with backoff, without limit.
    void start();

private:
    using PollHandler = void (Client::*)(const HttpResponse&);

    // The steps of an order, in sequence.
    void begin_order();
    void load_or_create_account_key();
    void request_order();
    void on_order(const HttpResponse& response);
    void request_next_authorization();
    void on_authorization(const HttpResponse& response);
    void answer_challenge(const std::string& domain, const DnsChallenge& challenge);
    void on_authorization_status(const HttpResponse& response);
    void finalize();
    void on_order_status(const HttpResponse& response);
    void on_certificate(const HttpResponse& response);

    // Fetches the state at `url` again after a delay.
    void poll(const char* step, const std::string& url, const HttpResponse& last, PollHandler handler);
    void fail(const AcmeError& error);
    core::Span next_retry_delay();
    void remove_challenge_records();

    bool use_stored_certificate();
    void save(const IssuedCertificate& certificate);
    void install(const IssuedCertificate& certificate);
    void run_after(core::Span delay, std::function<void()> action);

    const ClientSettings settings_;
    Dependencies dependencies_;
    IssuedHandler on_issued_;
    std::mt19937_64 random_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    int consecutive_failures_ = 0;

    PrivateKey account_key_;
    Session session_;

    // State of the order in progress.
    std::string order_url_;
    std::string finalize_url_;
    std::deque<std::string> authorization_urls_;  // not yet fulfilled
    std::string authorization_url_;
    std::vector<std::string> published_names_;  // owner names of the published challenge records
    PrivateKey certificate_key_;
    int polls_ = 0;  // of the current authorization or order
};

}  // namespace silverrail::acme
