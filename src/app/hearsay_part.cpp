#include "app/hearsay_part.h"

namespace silverrail::app {

namespace {
constexpr std::chrono::milliseconds kTick{100};
// A server that is gone is told of for as long as another's list may well be late.
constexpr auto kGoneToldFor = std::chrono::seconds{60};
}  // namespace

HearsayPart::HearsayPart(World world, const config::PeersSettings& settings, std::uint64_t seed)
    : world_(world),
      name_(settings.name),
      hearsay_(settings.name, {.age = settings.hearsay_ms}, seed ^ 0xa0761d6478bd642fULL),
      timer_(world.io) {}

std::vector<cluster::SeenServer> HearsayPart::servers() const {
    using routing::Condition;
    std::vector<cluster::SeenServer> out;
    const auto now = world_.clock.now();
    world_.engine.for_each_server([&](const core::Server& server, bool avoided) {
        const bool gone = server.entry.condition == Condition::gone;
        if (gone && (!server.unavailable_since || now > *server.unavailable_since + kGoneToldFor))
            return;
        out.push_back({server.entry.id.address, server.entry.zone, server.started_ms, avoided,
                       server.entry.condition != Condition::ready});
    });
    return out;
}

void HearsayPart::tick() {
    const auto step = hearsay_.tick(world_.peers.now(), world_.clock.unix_ms(), servers(),
                                    world_.reports.entries(), world_.peers.alive_zones());
    for (const auto& say : step.say)
        world_.reports.say(name_, say);
    if (step.changed) {
        std::set<core::ServerId> ids;
        for (const auto& id : step.out)
            ids.insert(core::ServerId{id});
        world_.engine.set_reported_outliers(std::move(ids));
        world_.log.line("hearsay", R"({"held_out":%zu,"one":"%s"})", step.out.size(),
                        step.out.empty() ? "" : step.out.begin()->c_str());
    }
    timer_.expires_after(kTick);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            tick();
    });
}

std::string HearsayPart::counters() {
    const auto& c = hearsay_.counts();
    return figure_lines("hearsay", {{"out", hearsay_.out()},
                                    {"said", c.said},
                                    {"taken_back", c.taken_back},
                                    {"held_out", c.held_out},
                                    {"let_in", c.let_in},
                                    {"panics", c.panics}});
}

}  // namespace silverrail::app
