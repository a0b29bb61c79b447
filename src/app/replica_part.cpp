#include "app/replica_part.h"

#include <algorithm>
#include <filesystem>
#include <utility>

namespace silverrail::app {

namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::uint8_t kReportsChannel = 1;
constexpr cluster::UnixMs kReportRetentionMs = 60'000;
constexpr cluster::UnixMs kReportTombstoneRetentionMs = 120'000;

// Each state machine draws its own numbers from the program's seed.
constexpr std::uint64_t kStateSeed = 0x9e3779b97f4a7c15ULL;
constexpr std::uint64_t kReportsSeed = 0xd1b54a32d192ed03ULL;

cluster::ReplicaSettings state_settings(const config::PeersSettings& peers) {
    cluster::ReplicaSettings out;
    out.exchange_interval = std::chrono::milliseconds{peers.replica_ms};
    out.fast_exchange_interval = out.exchange_interval / 5;
    out.tombstone_retention = peers.tombstone_keep_ms;
    return out;
}

cluster::ReplicaSettings report_settings(const config::PeersSettings& peers) {
    cluster::ReplicaSettings out;
    out.channel = kReportsChannel;
    out.exchange_interval = std::chrono::milliseconds{peers.replica_ms};
    out.fast_exchange_interval = cluster::Time{0};  // off: one missed report of several matters little
    out.value_retention = kReportRetentionMs;
    out.tombstone_retention = kReportTombstoneRetentionMs;
    return out;
}

// An origin is a router's name and the time of its first use: a router that lost its store is a new origin,
// so that a version always stands for one change.
std::string new_origin(const ReplicaPart::Dependencies& dependencies, const config::PeersSettings& settings) {
    return settings.name + "@" + std::to_string(dependencies.clock.unix_ms());
}

void set_aside(const std::string& file) {
    std::error_code ignored;
    std::filesystem::rename(file, file + ".refused", ignored);
    std::filesystem::remove(file + "-wal", ignored);
}

}  // namespace

ReplicaPart::Stored ReplicaPart::read_store(const std::string& file, const std::string& new_origin) {
    const auto began = std::chrono::steady_clock::now();
    Stored out;
    out.store = std::make_unique<store::ReplicaStore>(file, new_origin);
    out.entries = out.store->entries();
    out.origins = out.store->writer_logs();
    out.origin = out.store->writer();
    out.empty = out.origin == new_origin;
    out.opening_time =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began);
    return out;
}

ReplicaPart::Stored ReplicaPart::open_store(const std::string& file, const std::string& new_origin,
                                            Log& log) {
    if (file.empty()) {
        log.line("replica-store-none", R"({"store":"none","why":"TMPDIR is not set"})");
        return {new_origin};
    }
    try {
        return read_store(file, new_origin);
    } catch (const store::ReplicaStore::Locked& e) {
        log.line("replica-store-none", R"({"store":"none","why":"%s"})", e.what());
        return {new_origin};
    } catch (const std::exception& e) {
        // Nothing of the file is used; the peers have the state.
        log.line("replica-store-rejected", R"({"why":"%s","aside":"%s.refused"})", e.what(), file.c_str());
        set_aside(file);
    }
    try {
        return read_store(file, new_origin);
    } catch (const std::exception& e) {
        log.line("replica-store-rejected", R"({"why":"%s"})", e.what());
        return {new_origin};
    }
}

ReplicaPart::ReplicaPart(const Dependencies& dependencies, const config::PeersSettings& settings,
                         const std::string& file, std::uint64_t seed)
    : ReplicaPart(dependencies, settings, state_settings(settings), "replica", seed ^ kStateSeed,
                  open_store(file, new_origin(dependencies, settings), dependencies.log)) {}

ReplicaPart::ReplicaPart(const Dependencies& dependencies, const config::PeersSettings& settings, Reports,
                         std::uint64_t seed)
    : ReplicaPart(dependencies, settings, report_settings(settings), "reports", seed ^ kReportsSeed,
                  Stored{new_origin(dependencies, settings)}) {}

ReplicaPart::ReplicaPart(const Dependencies& dependencies, const config::PeersSettings& settings,
                         const cluster::ReplicaSettings& replica, const char* counter_prefix,
                         std::uint64_t seed, Stored stored)
    : with_(dependencies),
      counter_prefix_(counter_prefix),
      store_(std::move(stored.store)),
      replica_(settings.name, settings.advertise.empty() ? settings.bind : settings.advertise, stored.origin,
               replica, seed, cluster::Time{0}),
      started_empty_(stored.empty),
      opening_time_(stored.opening_time),
      timer_(dependencies.io) {
    if (store_)
        replica_.restore(std::move(stored.entries), std::move(stored.origins));
    with_.membership.set_replica_handler(replica.channel, [this](const cluster::ReplicaMessage& message) {
        auto out = net::PeerTransport::outgoing(
            replica_.receive(message, with_.membership.now(), with_.clock.unix_ms()));
        // A change that is not stored is not acknowledged, so that the peers send it again.
        if (!store_changes())
            out.clear();
        return out;
    });
}

void ReplicaPart::start() {
    with_.log.line("replica-start", R"({"of":"%s","origin":"%s","keys":%zu,"kept":%s,"opened_ms":%lld})",
                   counter_prefix_, replica_.writer().c_str(), replica_.entries().size(),
                   store_ ? "true" : "false", static_cast<long long>(opening_time_.count()));
    tick();
}

// Stores what has changed and notifies the listeners. Returns false if it could not be written; the store is
// then closed for good, as its contents would have gaps.
bool ReplicaPart::store_changes() {
    const auto changes = replica_.take_unsaved_changes();
    bool stored = true;
    if (store_)
        try {
            store_->write(replica_, changes);
        } catch (const std::exception& e) {
            ++failed_writes_;
            stored = false;
            store_.reset();
            with_.log.line("replica-store-failed", R"({"why":"%s"})", e.what());
        }
    const auto touched = replica_.take_touched_keys();
    if (!touched.empty())
        for (const auto& listener : listeners_)
            listener(touched);
    return stored;
}

void ReplicaPart::tick() {
    const auto messages = net::PeerTransport::outgoing(
        replica_.tick(with_.membership.now(), with_.clock.unix_ms(), with_.membership.alive_addresses()));
    if (store_changes())
        with_.membership.send(messages);
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            tick();
    });
}

bool ReplicaPart::set(const std::string& key, const std::string& value) {
    const bool applied = replica_.set(key, value, with_.clock.unix_ms());
    return store_changes() && applied;
}

bool ReplicaPart::clear(const std::string& key) {
    const bool applied = replica_.clear(key, with_.clock.unix_ms());
    return store_changes() && applied;
}

void ReplicaPart::publish(const std::string& reporter, const cluster::ReportUpdate& update) {
    const auto key = cluster::report_key(update.subject, reporter);
    if (key.empty())
        return;
    (void)(update.value ? set(key, *update.value) : clear(key));
}

std::string ReplicaPart::status() const {
    const auto& heard_versions = replica_.heard_versions();
    auto versions = replica_.versions();
    for (const auto& [origin, heard] : heard_versions)
        versions.try_emplace(origin, 0);
    std::string out;
    for (const auto& [origin, version] : versions) {
        const auto heard = heard_versions.find(origin);
        const auto newest = heard == heard_versions.end() ? version : std::max(version, heard->second);
        out += origin + " " + std::to_string(version) + " " + std::to_string(newest) + " " +
               std::to_string(newest - version) + "\n";
    }
    return out + "--\n";
}

std::string ReplicaPart::counters() {
    const auto& counters = replica_.counters();
    std::uint64_t lag = 0;
    for (const auto& [origin, heard] : replica_.heard_versions()) {
        const auto log = replica_.writer_logs().find(origin);
        lag += heard - std::min(heard, log == replica_.writer_logs().end() ? 0 : log->second.version);
    }
    return counter_lines(counter_prefix_, {{"keys", replica_.entries().size()},
                                           {"origins", replica_.writer_logs().size()},
                                           {"applied", counters.applied},
                                           {"duplicates", counters.duplicates},
                                           {"ahead", counters.ahead},
                                           {"refused", counters.rejected},
                                           {"rounds", counters.exchanges},
                                           {"updates_sent", counters.updates_sent},
                                           {"full_copies", counters.snapshots},
                                           {"forgotten", counters.collected},
                                           {"failed_writes", failed_writes_},
                                           {"lag", lag}});
}

}  // namespace silverrail::app
