#include "app/dns_part.h"

#include "app/endpoint.h"
#include "net/tls.h"

namespace silverrail::app {

namespace {

using front::dns::DnsFrontEnd;
using front::dns::Name;

Name name_from(const std::string& text) {
    const auto name = front::dns::parse_name(text);
    if (!name)
        throw config::ConfigError("not a name: " + text);
    return *name;
}

// Throws ConfigError.
front::dns::ZoneSettings zone_settings(const config::DnsSettings& settings) {
    front::dns::ZoneSettings zone;
    zone.name = name_from(settings.zone);
    zone.name_server = name_from(settings.server);
    zone.name_server_address = settings.server_address;
    zone.mailbox = name_from(settings.mailbox);
    const bool server_inside =
        zone.name_server != zone.name && front::dns::ends_with(zone.name_server, zone.name);
    if (!server_inside)
        throw config::ConfigError("dns: the server's name is not inside the zone");
    if (!settings.server_address.empty() && front::dns::address_data(settings.server_address).empty())
        throw config::ConfigError("dns: server_address is no address");
    zone.redirect_ttl_s = settings.ttl_s;
    zone.deadline = settings.deadline;
    return zone;
}

}  // namespace

// The records of challenges in the zone that this part serves. What is no DNS name is ignored.
class DnsPart::ZoneChallengeRecords : public acme::ChallengeRecords {
public:
    explicit ZoneChallengeRecords(DnsFrontEnd& front_end) : front_end_(front_end) {}
    void publish(const std::string& name, const std::string& text) override {
        if (const auto parsed = front::dns::parse_name(name))
            front_end_.add_txt_record(*parsed, text);
    }
    void remove(const std::string& name) override {
        if (const auto parsed = front::dns::parse_name(name))
            front_end_.remove_txt_records(*parsed);
    }

private:
    DnsFrontEnd& front_end_;
};

DnsPart::DnsPart(Dependencies dependencies, const config::OperatorSettings& settings)
    : with_(dependencies), dns_(settings.dns), acme_(settings.acme) {}
DnsPart::~DnsPart() = default;

void DnsPart::start() {
    front_end_.emplace(with_.engine, with_.clock, zone_settings(dns_), with_.log);
    server_.emplace(
        with_.io, net::DnsServerLimits{.port = with_.port},
        [this](std::string_view query, const net::DnsQuerySource& source, net::DnsReplyHandler reply) {
            front_end_->handle(query, source, std::move(reply));
        },
        with_.clock, with_.log);
    listen();
    if (acme_.on())
        start_acme();
}

void DnsPart::listen() {
    if (!dns_.udp.empty()) {
        const auto at = endpoint_of(dns_.udp);
        server_->listen_udp({at.address(), at.port()});
        log_listener("udp", server_->udp_local().port());
    }
    if (!dns_.tcp.empty()) {
        server_->listen_tcp(endpoint_of(dns_.tcp));
        log_listener("tcp", server_->tcp_local().port());
    }
    if (!dns_.tls.empty()) {
        server_->listen_tls(endpoint_of(dns_.tls));
        log_listener("tls", server_->tls_local().port());
    }
}

void DnsPart::log_listener(const char* transport, std::uint16_t port) {
    with_.log.line("dns-listen", "%s port %u", transport, static_cast<unsigned>(port));
}

void DnsPart::start_acme() {
    challenge_records_ = std::make_unique<ZoneChallengeRecords>(*front_end_);
    https_.emplace(with_.io, acme_.trust);
    acme_client_.emplace(acme::ClientSettings{acme_.directory, acme_.contact, dns_.server},
                         acme::Client::Dependencies{.store = acme::CredentialStore{acme_.folder},
                                                    .transport = *https_,
                                                    .challenge_records = *challenge_records_,
                                                    .timers = with_.timers,
                                                    .clock = with_.clock,
                                                    .log = with_.log,
                                                    .seed = with_.seed},
                         [this](const acme::IssuedCertificate& issued) { use_certificate(issued); });
    acme_client_->start();
}

void DnsPart::use_certificate(const acme::IssuedCertificate& issued) {
    try {
        server_->use_certificate(net::server_tls_context(issued));
    } catch (const boost::system::system_error& error) {
        with_.log.line("acme", "unusable: %s", error.what());
    }
}

void DnsPart::stop() {
    server_->stop();
}

}  // namespace silverrail::app
