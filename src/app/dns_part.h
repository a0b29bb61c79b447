// The DNS server in the running program, and its certificate by ACME.
#pragma once

#include <optional>

#include "acme/client.h"
#include "app/part.h"
#include "config/operator_settings.h"
#include "front/dns/front.h"
#include "net/clock.h"
#include "net/dns_server.h"
#include "net/https_client.h"

namespace silverrail::app {

class DnsPart : public Part {
public:
    struct Dependencies {
        net::asio::io_context& io;
        core::Engine& engine;
        const core::Clock& clock;
        core::Timers& timers;
        Log& log;
        std::uint64_t seed;
    };
    DnsPart(Dependencies dependencies, const config::OperatorSettings& settings);
    ~DnsPart() override;
    void start() override;
    void stop() override;

private:
    class Proofs;
    void start_acme();

    Dependencies with_;
    const config::DnsSettings dns_;
    const config::AcmeSettings acme_;
    std::optional<front::dns::Front> front_;
    std::optional<net::DnsServer> server_;
    std::unique_ptr<Proofs> proofs_;
    std::optional<net::HttpsClient> https_;
    std::optional<acme::Client> client_;
};

}  // namespace silverrail::app
