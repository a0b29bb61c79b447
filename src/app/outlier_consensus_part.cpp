#include "app/outlier_consensus_part.h"

#include <set>

namespace silverrail::app {

namespace {

constexpr std::chrono::milliseconds kTickInterval{100};
// A server that is gone goes on being reported while the lists of other routers may lag behind.
constexpr auto kReportGoneFor = std::chrono::seconds{60};
// Each state machine draws its own numbers from the program's seed.
constexpr std::uint64_t kSeed = 0xa0761d6478bd642fULL;

}  // namespace

OutlierConsensusPart::OutlierConsensusPart(const Dependencies& dependencies,
                                           const config::PeersSettings& settings, std::uint64_t seed)
    : with_(dependencies),
      router_name_(settings.name),
      consensus_(settings.name, {.max_report_age = settings.report_lifetime_ms}, seed ^ kSeed),
      timer_(dependencies.io) {}

std::vector<cluster::ServerObservation> OutlierConsensusPart::observe_servers() const {
    using routing::Condition;
    std::vector<cluster::ServerObservation> out;
    const auto now = with_.clock.now();
    with_.engine.for_each_server([&](const core::Server& server, bool outlier) {
        const bool gone = server.entry.condition == Condition::gone;
        if (gone && (!server.unavailable_since || now > *server.unavailable_since + kReportGoneFor))
            return;
        out.push_back({server.entry.id.address, server.entry.zone, server.started_ms, outlier,
                       server.entry.condition != Condition::ready});
    });
    return out;
}

void OutlierConsensusPart::tick() {
    const auto result = consensus_.tick(with_.membership.now(), with_.clock.unix_ms(), observe_servers(),
                                        with_.reports.entries(), with_.membership.alive_zones());
    for (const auto& update : result.reports)
        with_.reports.publish(router_name_, update);
    if (result.changed)
        eject(result.ejected);
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            tick();
    });
}

void OutlierConsensusPart::eject(const std::set<std::string>& ids) {
    std::set<core::ServerId> servers;
    for (const auto& id : ids)
        servers.insert(core::ServerId{id});
    with_.engine.set_reported_outliers(std::move(servers));
    with_.log.line("outlier-consensus", R"({"held_out":%zu,"one":"%s"})", ids.size(),
                   ids.empty() ? "" : ids.begin()->c_str());
}

std::string OutlierConsensusPart::counters() {
    const auto& counters = consensus_.counters();
    return counter_lines("hearsay", {{"out", consensus_.ejected_count()},
                                     {"said", counters.published},
                                     {"taken_back", counters.withdrawn},
                                     {"held_out", counters.ejected},
                                     {"let_in", counters.restored},
                                     {"panics", counters.panics}});
}

}  // namespace silverrail::app
