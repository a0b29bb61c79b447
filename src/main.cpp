// Wires the program together: configuration, core, upstream, fronts, bulletin, phases.
#include <algorithm>
#include <csignal>
#include <cstdlib>

#include "acme/client.h"
#include "cli/trace.h"
#include "config/config.h"
#include "config/fronts.h"
#include "core/engine.h"
#include "front/dns/front.h"
#include "front/platform/platform.h"
#include "lifecycle.h"
#include "net/bulletin.h"
#include "net/clock.h"
#include "net/dns_server.h"
#include "net/http_server.h"
#include "net/https_client.h"
#include "net/upstream.h"

namespace silverrail {
namespace {

using namespace std::chrono_literals;

// Clients hold a third of the descriptors at most; some are kept for listeners, files and the bulletin.
constexpr std::size_t kReserved = 48;
// After SIGTERM new connections come for up to 0.4 s, and requests on open ones for 0.2 s more.
constexpr auto kDrainFor = 700ms;

const char* variable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

// Guards the start: a signal that comes before there is somebody to take it waits until there is.
void hold_signals(int how) {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) sigaddset(&set, signal);
    ::pthread_sigmask(how, &set, nullptr);
}

net::tcp::endpoint endpoint_of(const std::string& text) {
    const auto e = config::parse_endpoint(text);
    if (!e) throw config::ConfigError("not an address and a port: " + text);
    return {net::asio::ip::make_address(e->host), e->port};
}

net::UpstreamLimits upstream_limits(const config::Config& c, const config::Fronts& fronts) {
    net::UpstreamLimits limits;
    const std::size_t clients = c.sockets / 3 + (fronts.dns.on() ? net::DnsLimits{}.connections + 3 : 0);
    limits.sockets = c.sockets > clients + kReserved + 16 ? c.sockets - clients - kReserved : 16;
    if (c.connect_timeout > winchflow::Span{}) limits.connect_timeout = c.connect_timeout;
    // A connection that both sides may close at the same moment is not worth keeping.
    if (c.conn_idle > winchflow::Span{}) limits.idle = c.conn_idle * 2 / 3;
    return limits;
}

// The DNS front as deploy/fronts.json sets it up.
front::dns::ZoneSettings zone_settings(const config::DnsSettings& c) {
    const auto name = [](const std::string& text) {
        const auto parsed = front::dns::parse_name(text);
        if (!parsed) throw config::ConfigError("not a name: " + text);
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

class FrontProofs : public acme::Proofs {
public:
    explicit FrontProofs(front::dns::Front& front) : front_(front) {}
    void show(const std::string& name, const std::string& text) override {
        if (const auto n = front::dns::parse_name(name)) front_.set_text(*n, text);
    }
    void clear(const std::string& name) override {
        if (const auto n = front::dns::parse_name(name)) front_.clear_texts(*n);
    }

private:
    front::dns::Front& front_;
};

class Program {
public:
    // `file` is read anew on SIGHUP.
    Program(std::string file, config::Config config, config::Fronts fronts)
        : file_(std::move(file)),
          config_(std::move(config)),
          fronts_(std::move(fronts)),
          timers_(io_),
          upstream_(io_, upstream_limits(config_, fronts_), clock_, log_),
          engine_(config_.settings, config_.seed, config_.sockets, clock_, timers_, upstream_, log_),
          platform_(engine_, clock_, lifecycle_, log_),
          server_(
              io_, endpoint_of(config_.listen), server_limits(),
              [this](auto session, auto request) { platform_.handle(session, std::move(request)); }, log_),
          signals_(io_, SIGTERM, SIGINT, SIGUSR1),
          hangup_(io_, SIGHUP),
          poll_(io_) {
        lifecycle_.on_change([this](Lifecycle::Phase phase) { entered(phase); });
    }

    int run() {
        for (const Json::Value& item : config_.known) take(item);
        if (!config_.bulletin.empty()) {
            bulletin_.emplace(
                io_, endpoint_of(config_.bulletin), config_.known_no,
                [this](std::int64_t, std::string_view data) {
                    if (const auto json = config::parse_json(data))
                        take(*json);
                    else
                        log_.line("bad-event", "%.*s", static_cast<int>(data.size()), data.data());
                },
                log_);
            bulletin_->start();
        }
        server_.when_out_of_descriptors([this] { upstream_.shed(32); });
        server_.start();
        if (fronts_.dns.on()) start_dns();
        if (fronts_.acme.on()) start_acme();
        wait_for_signal();
        wait_for_hangup();
        hold_signals(SIG_UNBLOCK);
        lifecycle_.enter(Lifecycle::Phase::ready);
        io_.run();
        print_counters();
        return 0;
    }

private:
    void start_dns() {
        dns_.emplace(engine_, clock_, zone_settings(fronts_.dns), log_);
        dns_server_.emplace(
            io_, net::DnsLimits{},
            [this](std::string_view query, const net::DnsFrom& from, net::DnsReply reply) {
                dns_->handle(query, from, std::move(reply));
            },
            clock_, log_);
        if (!fronts_.dns.udp.empty()) {
            const auto at = endpoint_of(fronts_.dns.udp);
            dns_server_->listen_udp({at.address(), at.port()});
            log_.line("dns-listen", "udp port %u", static_cast<unsigned>(dns_server_->udp_local().port()));
        }
        if (!fronts_.dns.tcp.empty()) {
            dns_server_->listen_tcp(endpoint_of(fronts_.dns.tcp));
            log_.line("dns-listen", "tcp port %u", static_cast<unsigned>(dns_server_->tcp_local().port()));
        }
        if (!fronts_.dns.tls.empty()) {
            dns_server_->listen_tls(endpoint_of(fronts_.dns.tls));
            log_.line("dns-listen", "tls port %u", static_cast<unsigned>(dns_server_->tls_local().port()));
        }
    }
    void start_acme() {
        const config::AcmeSettings& a = fronts_.acme;
        proofs_.emplace(*dns_);
        https_.emplace(io_, a.trust);
        acme_.emplace(
            acme::ClientSettings{a.directory, a.contact, fronts_.dns.server}, acme::Store{a.folder}, *https_,
            *proofs_, timers_, clock_, config_.seed,
            [this](const acme::Issued& issued) {
                try {
                    dns_server_->use_certificate(net::tls_context(issued));
                } catch (const boost::system::system_error& e) {
                    log_.line("acme", "unusable: %s", e.what());
                }
            },
            log_);
        acme_->start();
    }
    net::HttpLimits server_limits() const {
        net::HttpLimits limits;
        limits.connections = config_.sockets / 3 + kReserved / 2;
        return limits;
    }
    void take(const Json::Value& item) {
        auto event = config::parse_event(item, clock_.now(), clock_.unix_ms());
        if (!event) return log_.line("bad-event", "not one that is known");
        std::visit([this](const auto& what) { engine_.apply(what); }, event->what);
    }
    void wait_for_signal() {
        signals_.async_wait([this](const net::error_code& error, int signal) {
            if (error) return;
            if (signal == SIGUSR1)
                print_counters();
            else
                lifecycle_.enter(Lifecycle::Phase::draining);
            wait_for_signal();
        });
    }
    void wait_for_hangup() {
        hangup_.async_wait([this](const net::error_code& error, int) {
            if (error) return;
            reload();
            wait_for_hangup();
        });
    }
    // The new file replaces nothing before it has been read whole and found good.
    void reload() {
        try {
            config::Config fresh = config::load_config(file_);
            for (const auto& name : config::need_restart(config_, fresh))
                log_.line("reload", "%s has changed: not applied, takes a restart", name.c_str());
            if (fresh.bulletin == config_.bulletin || !bulletin_)
                return log_.line("reload", "read; the bulletin stays");
            bulletin_->move_to(endpoint_of(fresh.bulletin));
            config_.bulletin = fresh.bulletin;
            log_.line("reload", "the bulletin is now at %s", config_.bulletin.c_str());
        } catch (const std::exception& e) { log_.line("reload-failed", "%s; nothing was changed", e.what()); }
    }
    void entered(Lifecycle::Phase phase) {
        log_.line("phase", "%s, %zu open calls, %zu client connections",
                  std::string{Lifecycle::name(phase)}.c_str(), engine_.open(), server_.connections());
        if (phase == Lifecycle::Phase::draining) {
            poll_.expires_after(kDrainFor);
            poll_.async_wait([this](const net::error_code& error) {
                if (!error) lifecycle_.enter(Lifecycle::Phase::finishing);
            });
        } else if (phase == Lifecycle::Phase::finishing) {
            server_.stop();
            if (dns_server_) dns_server_->stop();
            finish();
        } else if (phase == Lifecycle::Phase::stopped) {
            io_.stop();
        }
    }
    // Ends once every call has its answer and every answer is written.
    void finish() {
        if (engine_.open() == 0 && server_.connections() == 0) {
            lifecycle_.enter(Lifecycle::Phase::stopped);
            return;
        }
        poll_.expires_after(10ms);
        poll_.async_wait([this](const net::error_code& error) {
            if (!error) finish();
        });
    }
    void print_counters() {
        std::string text = engine_.counters().text();
        std::replace(text.begin(), text.end(), '\n', ' ');
        log_.line("counters", "%s", text.c_str());
    }

    const std::string file_;
    config::Config config_;
    config::Fronts fronts_;
    Log log_;
    net::asio::io_context io_{1};
    net::SystemClock clock_;
    net::TimerQueue timers_;
    net::Upstream upstream_;
    Lifecycle lifecycle_;
    core::Engine engine_;
    front::Platform platform_;
    net::HttpServer server_;
    std::optional<front::dns::Front> dns_;
    std::optional<net::DnsServer> dns_server_;
    std::optional<FrontProofs> proofs_;
    std::optional<net::HttpsClient> https_;
    std::optional<acme::Client> acme_;
    net::asio::signal_set signals_;
    net::asio::signal_set hangup_;
    net::asio::steady_timer poll_;
    std::optional<net::Bulletin> bulletin_;
};

}  // namespace
}  // namespace silverrail

namespace silverrail {
namespace {
int serve() {
    try {
        std::signal(SIGPIPE, SIG_IGN);
        hold_signals(SIG_BLOCK);
        const std::string file = variable("EDGE_CONFIG");
        auto config = config::load_config(file);
        if (const std::string listen = variable("EDGE_LISTEN"); !listen.empty()) config.listen = listen;
        const std::string fronts = variable("SILVERRAIL_FRONTS");
        Program program{file, std::move(config),
                        config::load_fronts(fronts.empty() ? "deploy/fronts.json" : fronts)};
        return program.run();
    } catch (const std::exception& e) {
        Log{}.line("fatal", "%s", e.what());
        return 1;
    }
}
}  // namespace
}  // namespace silverrail

int main(int argc, char** argv) {
    CLI::App app{"silverrail, a request router. Without a sub-command it serves."};
    app.name("silverrail");
    app.require_subcommand(0, 1);
    int code = 0;
    bool serves = true;
    app.add_subcommand("serve", "serves, as EDGE_CONFIG says");
    silverrail::cli::add_trace(app, code);
    app.callback([&] { serves = app.get_subcommands().empty() || app.got_subcommand("serve"); });
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) { return app.exit(e) == 0 ? 0 : 2; }
    return serves ? silverrail::serve() : code;
}
