#include "lab/synthetic_trace/discovery_model.h"

#include "lab/sample_deployment.h"
#include "lab/synthetic_trace/object_catalog.h"

namespace silverrail::lab {

using namespace std::chrono_literals;
using routing::Condition;

namespace {

constexpr auto kFirstPurge = 1s;
constexpr std::uint64_t kGroupPurgeOneIn = 8;
// About 2. A plan's traces are the same, byte by byte, only with all of its digits.
constexpr double kPurgeUniformDivisor = 2.0000001;
constexpr auto kFirstOutage = 20s;
constexpr auto kUnlistedAfter = 4s;
constexpr auto kBackAfter = 15s;
constexpr auto kOutageInterval = 45s;
constexpr std::int64_t kNsPerMs = 1'000'000;

}  // namespace

void DiscoveryModel::start() {
    if (plan_.purges_per_s > 0)
        scheduler_.schedule_at(kFirstPurge, [this] { publish_purge(); });
    scheduler_.schedule_at(kFirstOutage, [this] { begin_outage(0); });
}

void DiscoveryModel::publish_purge() {
    const core::PurgeNotice purge = draw_purge();
    for (DiscoveryListener* listener : listeners_)
        listener->on_purge(purge);
    const double uniform = 2 * random_.uniform() / kPurgeUniformDivisor;
    scheduler_.schedule_after(exponential_delay(uniform, plan_.purges_per_s), [this] { publish_purge(); });
}

core::PurgeNotice DiscoveryModel::draw_purge() {
    core::PurgeNotice purge;
    purge.issued_ms = unix_ms();
    const std::uint64_t rank = popularity_rank(random_.uniform());
    if (random_.next() % kGroupPurgeOneIn == 0) {
        purge.group = group_of(random_.next());
        return purge;
    }
    const std::uint64_t class_index = random_.next() % 2;
    const std::uint64_t object = object_number(rank, class_index);
    purge.object = routing::ObjectId{object};
    purge.group = group_of(object);
    return purge;
}

void DiscoveryModel::begin_outage(std::size_t server_index) {
    SimulatedServer& server = servers_.all()[server_index];
    const bool drains_first = server_index % 2 == 0;
    if (drains_first)
        publish(server_index, Condition::draining);
    else
        server.down = true;
    scheduler_.schedule_after(kUnlistedAfter, [this, server_index, &server] {
        server.down = true;
        publish(server_index, Condition::gone);
    });
    scheduler_.schedule_after(kBackAfter, [this, server_index, &server] {
        server.down = false;
        server.listing.started_ms = unix_ms();
        publish(server_index, Condition::ready);
    });
    scheduler_.schedule_after(kOutageInterval, [this, server_index] {
        begin_outage((server_index + 1) % SimulatedServers::kCaches);
    });
}

void DiscoveryModel::publish(std::size_t server_index, Condition condition) {
    const core::ServerChange change{false,
                                    {registry_server(servers_.all()[server_index].listing, condition)}};
    for (DiscoveryListener* listener : listeners_)
        listener->on_server_change(change);
}

std::int64_t DiscoveryModel::unix_ms() const {
    return (plan_.begin_unix_ns + scheduler_.now().count()) / kNsPerMs;
}

}  // namespace silverrail::lab
