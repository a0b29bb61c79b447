#include "core/discovery_updates.h"

#include <map>
#include <utility>

namespace silverrail::core {

namespace {
// A server may be listed some time after its start, as discovery and the server itself may be slow.
constexpr Span kMaxListingDelay = std::chrono::seconds{60};

using routing::Condition;

bool is_plausible(Span age, Span max_age) {
    return max_age >= Span::max() - kMaxListingDelay || age <= max_age + kMaxListingDelay;
}
}  // namespace

void DiscoveryUpdates::apply(ServerChange change, Span max_age) {
    ++state_.counters.lists;
    const Time now = state_.clock.now();
    for (Server& server : change.servers) {
        if (server.started_ms > 0)
            server.entry.started_at = started_at(server, now, max_age);
    }
    for (const ServerId& id : state_.servers.apply(change, now))
        state_.sender.discard_connections(id);
    notify_routing(change);
}

// Guards rule 4 (slow start): a start counts from the same moment however often it is listed, and from its
// first listing where its age can't be right.
Time DiscoveryUpdates::started_at(const Server& server, Time now, Span max_age) {
    const Server* known = state_.servers.find(server.entry.id);
    if (known && known->started_ms == server.started_ms && known->entry.started_at)
        return *known->entry.started_at;
    const Span age = state_.read_unix_time(now).min_age(now, server.started_ms);
    if (is_plausible(age, max_age))
        return now - age;
    ++state_.counters.clock_doubts;
    return now;
}

void DiscoveryUpdates::set_overrides(const overrides::ServerOverrides& overrides) {
    change_exclusions([&] { state_.servers.set_overrides(overrides); });
}

void DiscoveryUpdates::set_reported_outliers(std::set<ServerId> ids) {
    change_exclusions([&] { state_.servers.set_reported_outliers(std::move(ids)); });
}

void DiscoveryUpdates::set_zone_factors(const ZoneFactors& factors) {
    change_exclusions([&] { state_.servers.set_zone_factors(factors); });
}

// Notifies the decision module of every server that it is to see otherwise than before the change.
void DiscoveryUpdates::change_exclusions(const std::function<void()>& change) {
    std::map<ServerId, routing::ListedServer> before;
    for (const auto& [id, server] : state_.servers.servers())
        before.emplace(id, state_.servers.router_view(server));
    change();
    ServerChange changed;
    for (const auto& [id, server] : state_.servers.servers()) {
        if (auto update = restated(server, before.at(id)))
            changed.servers.push_back(std::move(*update));
    }
    if (!changed.servers.empty())
        notify_routing(changed);
}

// Absent: the module sees it as before. The connections of a server that is excluded now are dropped.
std::optional<Server> DiscoveryUpdates::restated(const Server& server, const routing::ListedServer& before) {
    const auto after = state_.servers.router_view(server);
    const bool excluded = after.condition != before.condition && after.condition != Condition::ready;
    const bool readmitted = after.condition != before.condition && after.condition == Condition::ready;
    if (!excluded && !readmitted && after.zone == before.zone && after.weight == before.weight)
        return std::nullopt;
    if (excluded)
        state_.sender.discard_connections(server.entry.id);
    Server update = server;
    // Guards rule 4 (slow start): it may have been restarted meanwhile, whatever the list says of its start.
    if (readmitted)
        update.entry.started_at = state_.clock.now();
    return update;
}

void DiscoveryUpdates::notify_routing(const ServerChange& change) {
    routing::ServerList list{change.complete, {}};
    for (const Server& server : change.servers)
        list.servers.push_back(state_.servers.router_view(server));
    routing_.notify(std::move(list), {.change = &change});
}

void DiscoveryUpdates::apply(const PurgeNotice& purge, Span max_age) {
    ++state_.counters.purges;
    const Time now = state_.clock.now();
    (void)state_.read_unix_time(now);
    state_.unix_time.observe_stamp(now, purge.issued_ms, UnixTime::Source::trusted);
    // Guards rule 5 (no purged copy): a new purge is as old as can be proven. Of those known at the start
    // most are long past, by this clock; the check at the first byte goes by what is proven there too.
    Span age = state_.unix_time.min_age(now, purge.issued_ms);
    if (age > max_age)
        ++state_.counters.clock_doubts;
    if (max_age < Span::max())
        age = state_.unix_time.proven_age(now, purge.issued_ms);
    state_.purges.add(purge, now);
    cache_.purge(purge);
    routing_.notify(routing::Purge{purge.object, purge.group, age}, {.purge = &purge});
}

}  // namespace silverrail::core
