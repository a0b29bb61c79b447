#include "core/discovery_updates.h"

#include <map>
#include <utility>

namespace silverrail::core {

namespace {
// Discovery may list a server this long after its start, as either of them may be slow.
constexpr Span kMaxListingDelay = std::chrono::seconds{60};
// Discovery may number a purge this long after others that were issued later.
constexpr Span kMaxNumberingDelay = std::chrono::milliseconds{500};

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
    const ServerChange ended = ended_processes(change);
    for (const ServerId& id : state_.servers.apply(change, now))
        state_.sender.discard_connections(id);
    if (!ended.servers.empty())
        notify_routing(ended);
    notify_routing(change);
}

// The decision module knows servers by id and start. So that it does not take a process for the one before,
// the latter is reported as gone first.
ServerChange DiscoveryUpdates::ended_processes(const ServerChange& change) const {
    ServerChange ended;
    for (const Server& listed : change.servers) {
        const Server* known = state_.servers.find(listed.entry.id);
        if (!known || known->entry.condition == Condition::gone || !state_.servers.is_new_process(listed))
            continue;
        ended.servers.push_back(*known);
        ended.servers.back().entry.condition = Condition::gone;
    }
    return ended;
}

// Guards rule 4 (slow start): a server's start time does not change when the server is listed again. If its
// age is implausible, the time of the first listing is used.
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

// Notifies the decision module of every server whose router view differs after `change`.
void DiscoveryUpdates::change_exclusions(const std::function<void()>& change) {
    std::map<ServerId, routing::ListedServer> before;
    for (const auto& [id, server] : state_.servers.servers())
        before.emplace(id, state_.servers.router_view(server));
    change();
    ServerChange changed;
    for (const auto& [id, server] : state_.servers.servers()) {
        if (auto update = changed_server(server, before.at(id)))
            changed.servers.push_back(std::move(*update));
    }
    if (!changed.servers.empty())
        notify_routing(changed);
}

// Absent: the server's router view has not changed. Discards the connections of a newly excluded server.
std::optional<Server> DiscoveryUpdates::changed_server(const Server& server,
                                                       const routing::ListedServer& before) {
    const auto after = state_.servers.router_view(server);
    const bool excluded = after.condition != before.condition && after.condition != Condition::ready;
    const bool readmitted = after.condition != before.condition && after.condition == Condition::ready;
    if (!excluded && !readmitted && after.zone == before.zone && after.weight == before.weight)
        return std::nullopt;
    if (excluded)
        state_.sender.discard_connections(server.entry.id);
    Server update = server;
    // Guards rule 4 (slow start): it may have restarted while excluded, whatever start time is listed.
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
    state_.unix_time.observe_timestamp(now, purge.issued_ms, UnixTime::Trust::trusted);
    // Guards rule 5 (no purged copy): a new purge counts with the least age that timestamps prove. Purges
    // that were already known when the watch began are mostly long over, so they count with their age by this
    // clock; the check at the first byte uses the proven age for those, too.
    Span age = state_.unix_time.min_age(now, purge.issued_ms);
    if (age > max_age)
        ++state_.counters.clock_doubts;
    const bool known_at_start = max_age == Span::max();
    if (!known_at_start) {
        age = state_.unix_time.proven_age(now, purge.issued_ms);
        note_if_late(age, now);
        confirm_earlier_purges(purge, now);
    }
    state_.purges.add(purge, now);
    cache_.purge(purge);
    routing_.notify(routing::Purge{purge.object, purge.group, age}, {.purge = &purge});
}

// Guards rule 5 (no purged copy): events arrive in order, so a purge that is told so late shows that the
// stream is behind, and that others which must have taken effect by now may still come.
void DiscoveryUpdates::note_if_late(Span age, Time now) {
    if (age <= cache::PurgeCoverage::kToldWithin + state_.settings.purge_effective_within)
        return;
    ++state_.counters.purges_late;
    if (auto* coverage = cache_.coverage())
        coverage->set_overdue(now);
}

// Guards rule 5 (no purged copy): nothing else in the stream tells how far behind discovery is. Events arrive
// in order, so those that were numbered before this purge have arrived.
void DiscoveryUpdates::confirm_earlier_purges(const PurgeNotice& purge, Time now) {
    auto* coverage = cache_.coverage();
    const auto max_age = state_.unix_time.max_age(now, purge.issued_ms);
    if (coverage && max_age)
        coverage->confirm(now - *max_age - kMaxNumberingDelay);
}

}  // namespace silverrail::core
