#include "app/dns_part.h"

#include "app/endpoint.h"
#include "net/tls.h"

namespace silverrail::app {

namespace {

front::dns::ZoneSettings zone_settings(const config::DnsSettings& c) {
    const auto name = [](const std::string& text) {
        const auto parsed = front::dns::parse_name(text);
        if (!parsed)
            throw config::ConfigError("not a name: " + text);
        return *parsed;
    };
    front::dns::ZoneSettings z;
    z.zone = name(c.zone);
    z.server = name(c.server);
    z.server_address = c.server_address;
    z.mailbox = name(c.mailbox);
    if (z.server.size() <= z.zone.size() || !std::equal(z.zone.rbegin(), z.zone.rend(), z.server.rbegin()))
        throw config::ConfigError("dns: the server's name is not inside the zone");
    if (!c.server_address.empty() && front::dns::address_data(c.server_address).empty())
        throw config::ConfigError("dns: server_address is no address");
    z.ttl = c.ttl_s;
    z.deadline = c.deadline;
    return z;
}

}  // namespace

class DnsPart::Proofs : public acme::Proofs {
public:
    explicit Proofs(front::dns::Front& front) : front_(front) {}
    void show(const std::string& name, const std::string& text) override {
        if (const auto n = front::dns::parse_name(name))
            front_.set_text(*n, text);
    }
    void clear(const std::string& name) override {
        if (const auto n = front::dns::parse_name(name))
            front_.clear_texts(*n);
    }

private:
    front::dns::Front& front_;
};

DnsPart::DnsPart(Dependencies dependencies, const config::OperatorSettings& settings)
    : with_(dependencies), dns_(settings.dns), acme_(settings.acme) {}
DnsPart::~DnsPart() = default;

void DnsPart::start() {
    front_.emplace(with_.engine, with_.clock, zone_settings(dns_), with_.log);
    server_.emplace(
        with_.io, net::DnsLimits{},
        [this](std::string_view query, const net::DnsFrom& from, net::DnsReply reply) {
            front_->handle(query, from, std::move(reply));
        },
        with_.clock, with_.log);
    const auto listens = [this](const char* how, std::uint16_t port) {
        with_.log.line("dns-listen", "%s port %u", how, static_cast<unsigned>(port));
    };
    if (!dns_.udp.empty()) {
        const auto at = endpoint_of(dns_.udp);
        server_->listen_udp({at.address(), at.port()});
        listens("udp", server_->udp_local().port());
    }
    if (!dns_.tcp.empty()) {
        server_->listen_tcp(endpoint_of(dns_.tcp));
        listens("tcp", server_->tcp_local().port());
    }
    if (!dns_.tls.empty()) {
        server_->listen_tls(endpoint_of(dns_.tls));
        listens("tls", server_->tls_local().port());
    }
    if (acme_.on())
        start_acme();
}

void DnsPart::start_acme() {
    proofs_ = std::make_unique<Proofs>(*front_);
    https_.emplace(with_.io, acme_.trust);
    client_.emplace(
        acme::ClientSettings{acme_.directory, acme_.contact, dns_.server}, acme::Store{acme_.folder}, *https_,
        *proofs_, with_.timers, with_.clock, with_.seed,
        [this](const acme::Issued& issued) {
            try {
                server_->use_certificate(net::tls_context(issued));
            } catch (const boost::system::system_error& e) {
                with_.log.line("acme", "unusable: %s", e.what());
            }
        },
        with_.log);
    client_->start();
}

void DnsPart::stop() {
    server_->stop();
}

}  // namespace silverrail::app
