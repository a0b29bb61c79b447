#include "app/replica_part.h"

#include <filesystem>

namespace silverrail::app {

namespace {

constexpr std::chrono::milliseconds kTick{50};

cluster::ReplicaSettings settings_of(const config::PeersSettings& p) {
    cluster::ReplicaSettings s;
    s.interval = std::chrono::milliseconds{p.replica_ms};
    s.quick = s.interval / 5;
    s.tombstone_keep = p.tombstone_keep_ms;
    return s;
}

// Reports age a minute after they were said; where they are used they count for less.
cluster::ReplicaSettings ageing_of(const config::PeersSettings& p) {
    cluster::ReplicaSettings s;
    s.channel = 1;
    s.interval = std::chrono::milliseconds{p.replica_ms};
    s.quick = cluster::Time{0};  // reports are many, and one that is missed is one of several
    s.value_keep = 60'000;
    s.tombstone_keep = 120'000;
    return s;
}

// An origin is a name and the time at which it was first used: whoever lost its store is another origin, so
// that a number stands for one change only.
std::string origin_of(const ReplicaPart::World& world, const config::PeersSettings& settings) {
    return settings.name + "@" + std::to_string(world.clock.unix_ms());
}

}  // namespace

ReplicaPart::Kept ReplicaPart::open(const std::string& file, const std::string& new_origin, Log& log) {
    if (file.empty()) {
        log.line("replica", R"({"store":"none","why":"TMPDIR is not set"})");
        return {new_origin};
    }
    const auto whole = [&] {
        auto store = std::make_unique<store::ReplicaStore>(file, new_origin);
        auto entries = store->entries();
        auto origins = store->origins();
        auto origin = store->origin();
        const bool fresh = origin == new_origin;
        return Kept{std::move(origin), fresh, std::move(store), std::move(entries), std::move(origins)};
    };
    try {
        return whole();
    } catch (const store::ReplicaStore::Held& e) {
        log.line("replica", R"({"store":"none","why":"%s"})", e.what());
        return {new_origin};
    } catch (const std::exception& e) {
        // Nothing of it is believed; the peers have what it held. Kept aside for whoever looks into it.
        log.line("replica-refused", R"({"why":"%s","aside":"%s.refused"})", e.what(), file.c_str());
        std::error_code ignored;
        std::filesystem::rename(file, file + ".refused", ignored);
        std::filesystem::remove(file + "-wal", ignored);
    }
    try {
        return whole();
    } catch (const std::exception& e) {
        log.line("replica-refused", R"({"why":"%s"})", e.what());
        return {new_origin};
    }
}

ReplicaPart::ReplicaPart(World world, const config::PeersSettings& settings, const std::string& file,
                         std::uint64_t seed)
    : ReplicaPart(world, settings, settings_of(settings), "replica", seed ^ 0x9e3779b97f4a7c15ULL,
                  open(file, origin_of(world, settings), world.log)) {}

ReplicaPart::ReplicaPart(World world, const config::PeersSettings& settings, Ageing, std::uint64_t seed)
    : ReplicaPart(world, settings, ageing_of(settings), "reports", seed ^ 0xd1b54a32d192ed03ULL,
                  Kept{origin_of(world, settings)}) {}

ReplicaPart::ReplicaPart(World world, const config::PeersSettings& settings,
                         const cluster::ReplicaSettings& replica, const char* figures, std::uint64_t seed,
                         Kept kept)
    : world_(world),
      figures_(figures),
      store_(std::move(kept.store)),
      replica_(settings.name, settings.advertise.empty() ? settings.bind : settings.advertise, kept.origin,
               replica, seed, cluster::Time{0}),
      fresh_(kept.fresh),
      timer_(world.io) {
    if (store_)
        replica_.restore(std::move(kept.entries), std::move(kept.origins));
    world_.peers.replicate(replica.channel, [this](const cluster::ReplicaMessage& message) {
        auto out = net::PeerTransport::outgoing(
            replica_.receive(message, world_.peers.now(), world_.clock.unix_ms()));
        // What is not kept is not acknowledged either: the others ask again.
        if (!keep())
            out.clear();
        return out;
    });
}

void ReplicaPart::start() {
    world_.log.line("replica-start", R"({"of":"%s","origin":"%s","keys":%zu,"kept":%s})", figures_,
                    replica_.origin().c_str(), replica_.entries().size(), store_ ? "true" : "false");
    tick();
}

// Writes down what has changed and tells who follows. False: it could not be written; the store is given up,
// as what it holds from here on would have gaps.
bool ReplicaPart::keep() {
    const auto changes = replica_.take_changes();
    bool kept = true;
    if (store_)
        try {
            store_->write(replica_, changes);
        } catch (const std::exception& e) {
            ++failed_writes_;
            kept = false;
            store_.reset();
            world_.log.line("replica-unkept", R"({"why":"%s"})", e.what());
        }
    const auto touched = replica_.take_touched();
    if (!touched.empty())
        for (const auto& tell : touched_)
            tell(touched);
    return kept;
}

void ReplicaPart::tick() {
    auto sends = net::PeerTransport::outgoing(
        replica_.tick(world_.peers.now(), world_.clock.unix_ms(), world_.peers.alive()));
    if (keep())
        world_.peers.send(std::move(sends));
    timer_.expires_after(kTick);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            tick();
    });
}

bool ReplicaPart::set(const std::string& key, const std::string& value) {
    const bool done = replica_.set(key, value, world_.clock.unix_ms());
    return keep() && done;
}

bool ReplicaPart::clear(const std::string& key) {
    const bool done = replica_.clear(key, world_.clock.unix_ms());
    return keep() && done;
}

void ReplicaPart::say(const std::string& reporter, const cluster::Voice::Say& say) {
    const auto key = cluster::report_key(say.subject, reporter);
    if (key.empty())
        return;
    (void)(say.value ? set(key, *say.value) : clear(key));
}

std::string ReplicaPart::digest() const {
    auto numbers = replica_.numbers();
    for (const auto& [origin, number] : replica_.heard())
        numbers.try_emplace(origin, 0);
    std::string out;
    for (const auto& [origin, number] : numbers) {
        const auto heard = replica_.heard().find(origin);
        const auto newest = heard == replica_.heard().end() ? number : std::max(number, heard->second);
        out += origin + " " + std::to_string(number) + " " + std::to_string(newest) + " " +
               std::to_string(newest - number) + "\n";
    }
    return out + "--\n";
}

std::string ReplicaPart::counters() {
    const auto& c = replica_.counts();
    std::uint64_t lag = 0;
    for (const auto& [origin, number] : replica_.heard()) {
        const auto held = replica_.origins().find(origin);
        lag += number - std::min(number, held == replica_.origins().end() ? 0 : held->second.number);
    }
    return figure_lines(figures_, {{"keys", replica_.entries().size()},
                                   {"origins", replica_.origins().size()},
                                   {"applied", c.applied},
                                   {"duplicates", c.duplicates},
                                   {"ahead", c.ahead},
                                   {"refused", c.refused},
                                   {"rounds", c.rounds},
                                   {"updates_sent", c.sent},
                                   {"full_copies", c.full_copies},
                                   {"forgotten", c.forgotten},
                                   {"failed_writes", failed_writes_},
                                   {"lag", lag}});
}

}  // namespace silverrail::app
