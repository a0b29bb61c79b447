// The DNS server in the running program, and its certificate by ACME.
#pragma once

#include <optional>

#include "acme/client.h"
#include "app/part.h"
#include "config/operator_settings.h"
#include "front/dns/dns_front_end.h"
#include "net/clock.h"
#include "net/dns_server.h"
#include "net/https_client.h"

namespace silverrail::app {

class DnsPart : public Part {
public:
    // Whatever the part uses of the program; all of it outlives the part.
    struct Dependencies {
        net::asio::io_context& io;
        core::Engine& engine;
        const core::Clock& clock;
        core::Timers& timers;
        Log& log;
        std::uint64_t seed;  // of the ACME client's backoff
        net::Port port;      // shared: another process of this router may serve at the same addresses
    };
    DnsPart(Dependencies dependencies, const config::OperatorSettings& settings);
    ~DnsPart() override;
    // Throws ConfigError if the zone's settings are wrong, boost::system::system_error if it cannot listen.
    void start() override;
    void stop() override;

private:
    class ZoneChallengeRecords;
    void listen();
    void log_listener(const char* transport, std::uint16_t port);
    void start_acme();
    void use_certificate(const acme::IssuedCertificate& issued);

    Dependencies with_;
    const config::DnsSettings dns_;
    const config::AcmeSettings acme_;
    std::optional<front::dns::DnsFrontEnd> front_end_;
    std::optional<net::DnsServer> server_;
    std::unique_ptr<ZoneChallengeRecords> challenge_records_;
    std::optional<net::HttpsClient> https_;
    std::optional<acme::Client> acme_client_;
};

}  // namespace silverrail::app
