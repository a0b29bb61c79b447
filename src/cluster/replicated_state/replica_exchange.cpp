// Anti-entropy: periodic exchanges of digests, versions and missing updates with one peer at a time; and
// gossip of changes just made.
#include <algorithm>
#include <iterator>
#include <utility>

#include "cluster/replicated_state/replica.h"

namespace silverrail::cluster {

namespace {

constexpr Time kFastExchangeDuration{2000};
// The limit of one writer's updates in a message; well below the largest frame.
constexpr std::size_t kMaxWriterBytes = 512 << 10;
// A snapshot transfer is abandoned after this many exchange intervals without a page.
constexpr int kSnapshotTimeoutIntervals = 10;

bool is_valid_update(const ReplicaUpdate& update, ReplicaMessage::Kind kind) {
    const bool has_version = !update.writer.empty() && update.version > 0;
    // A snapshot may contain a key without a writer.
    return is_valid(update.key, update.entry) && update.writer.size() <= kMaxWriterLength &&
           (has_version || kind == ReplicaMessage::Kind::snapshot_page);
}

bool are_valid_versions(const VersionVector& versions) {
    return versions.size() <= ReplicaMessage::kMaxVersions &&
           std::all_of(versions.begin(), versions.end(), [](const auto& item) {
               return !item.first.empty() && item.first.size() <= kMaxWriterLength;
           });
}

std::uint64_t version_of(const VersionVector& versions, const std::string& writer) {
    const auto found = versions.find(writer);
    return found == versions.end() ? 0 : found->second;
}

bool covers(std::uint64_t bucket_mask, const std::string& writer) {
    return (bucket_mask >> digest_bucket(writer) & 1) != 0;
}

}  // namespace

// A writer of which a peer lacks updates.
struct Replica::WriterBehind {
    HybridTimestamp newest_change = 0;
    const std::string* writer = nullptr;
    const WriterLog* log = nullptr;
    std::uint64_t peer_version = 0;
};

Replica::Outgoing Replica::tick(Time now, UnixMs unix_now, const std::vector<std::string>& peers) {
    Outgoing out;
    collect_garbage_if_due(unix_now);
    schedule_fast_exchange_after_change(now);
    const auto gossip = std::exchange(pending_gossip_, {});
    if (peers.empty())
        return out;
    send_gossip(gossip, peers, out);
    if (snapshot_ && now - snapshot_->last_page > kSnapshotTimeoutIntervals * settings_.exchange_interval)
        snapshot_.reset();
    start_exchange(now, peers, out);
    return out;
}

void Replica::schedule_fast_exchange_after_change(Time now) {
    if (!std::exchange(change_merged_, false) || settings_.fast_exchange_interval == Time{0})
        return;
    fast_exchanges_until_ = now + kFastExchangeDuration;
    next_exchange_ = std::min(next_exchange_, now + random_delay(random_, settings_.fast_exchange_interval));
}

// Sends each update to a few random peers; the exchanges reach the others.
void Replica::send_gossip(const std::vector<ReplicaUpdate>& updates, const std::vector<std::string>& peers,
                          Outgoing& out) {
    for (const auto& update : updates) {
        std::set<std::size_t> receivers;
        for (std::size_t i = 0; i < settings_.gossip_fanout; ++i)
            receivers.insert(random_() % peers.size());
        for (const auto receiver : receivers) {
            auto message = make_message(ReplicaMessage::Kind::gossip);
            message.updates.push_back(update);
            out.push_back({peers[receiver], std::move(message)});
        }
    }
}

void Replica::start_exchange(Time now, const std::vector<std::string>& peers, Outgoing& out) {
    if (now < next_exchange_)
        return;
    const auto interval = now < fast_exchanges_until_
                              ? std::min(settings_.fast_exchange_interval, settings_.exchange_interval)
                              : settings_.exchange_interval;
    next_exchange_ = now + interval;
    ++counters_.exchanges;
    auto message = make_message(ReplicaMessage::Kind::digest);
    message.digest = digest_;
    out.push_back({peers[random_() % peers.size()], std::move(message)});
}

ReplicaMessage Replica::make_message(ReplicaMessage::Kind kind) const {
    ReplicaMessage out;
    out.kind = kind;
    out.channel = settings_.channel;
    out.sender = name_;
    out.sender_address = address_;
    return out;
}

void Replica::reply(const ReplicaMessage& to, ReplicaMessage response, Outgoing& out) {
    counters_.updates_sent += response.updates.size();
    out.push_back({to.sender_address, std::move(response)});
}

bool Replica::is_acceptable(const ReplicaMessage& message) const {
    if (message.channel != settings_.channel || message.sender.empty() || message.sender == name_)
        return false;
    if (message.sender.size() > kMaxNameLength || message.sender_address.size() > kMaxAddressLength ||
        message.cursor.size() > kMaxKeyLength || message.updates.size() > ReplicaMessage::kMaxUpdates)
        return false;
    return are_valid_versions(message.versions) && are_valid_versions(message.base_versions) &&
           std::all_of(message.updates.begin(), message.updates.end(),
                       [&](const ReplicaUpdate& update) { return is_valid_update(update, message.kind); });
}

void Replica::update_heard_versions(const VersionVector& versions) {
    for (const auto& [writer, version] : versions) {
        if (heard_versions_.size() >= settings_.max_writers && !heard_versions_.contains(writer))
            continue;
        auto& highest = heard_versions_[writer];
        highest = std::max(highest, version);
    }
}

Replica::Outgoing Replica::receive(const ReplicaMessage& message, Time now, UnixMs unix_now) {
    Outgoing out;
    if (!is_acceptable(message)) {
        ++counters_.rejected;
        return out;
    }
    update_heard_versions(message.versions);
    switch (message.kind) {
        case ReplicaMessage::Kind::digest:
            on_digest(message, out);
            break;
        case ReplicaMessage::Kind::versions:
            on_versions(message, now, out);
            break;
        case ReplicaMessage::Kind::delta_exchange:
            on_delta_exchange(message, now, unix_now, out);
            break;
        case ReplicaMessage::Kind::delta:
            on_delta(message, now, unix_now, out);
            break;
        case ReplicaMessage::Kind::gossip:
            apply_updates(message, unix_now);
            break;
        case ReplicaMessage::Kind::snapshot_request:
            reply(message, snapshot_page(message.cursor), out);
            break;
        case ReplicaMessage::Kind::snapshot_page:
            on_snapshot_page(message, now, unix_now, out);
            break;
    }
    return out;
}

void Replica::on_digest(const ReplicaMessage& message, Outgoing& out) {
    auto response = make_message(ReplicaMessage::Kind::versions);
    for (std::size_t i = 0; i < kDigestBuckets; ++i)
        if (message.digest[i] != digest_[i])
            response.bucket_mask |= std::uint64_t{1} << i;
    if (response.bucket_mask == 0)
        return;
    response.versions = versions_in(response.bucket_mask);
    reply(message, std::move(response), out);
}

void Replica::on_versions(const ReplicaMessage& message, Time now, Outgoing& out) {
    auto response = make_message(ReplicaMessage::Kind::delta_exchange);
    add_missing_updates(message, response);
    response.bucket_mask = message.bucket_mask;
    response.versions = versions_in(message.bucket_mask);
    if (!response.complete)
        next_exchange_ = now;
    reply(message, std::move(response), out);
}

void Replica::on_delta_exchange(const ReplicaMessage& message, Time now, UnixMs unix_now, Outgoing& out) {
    apply_updates(message, unix_now);
    auto response = make_message(ReplicaMessage::Kind::delta);
    add_missing_updates(message, response);
    if (!response.updates.empty() || response.snapshot_needed)
        reply(message, std::move(response), out);
    request_snapshot_if_needed(message, now, out);
}

void Replica::on_delta(const ReplicaMessage& message, Time now, UnixMs unix_now, Outgoing& out) {
    apply_updates(message, unix_now);
    if (!message.complete)
        next_exchange_ = now;
    request_snapshot_if_needed(message, now, out);
}

VersionVector Replica::versions() const {
    return versions_in(~std::uint64_t{0});
}

VersionVector Replica::versions_in(std::uint64_t bucket_mask) const {
    VersionVector out;
    for (const auto& [writer, log] : writer_logs_)
        if (log.version > 0 && covers(bucket_mask, writer))
            out.emplace(writer, log.version);
    return out;
}

// Adds the updates of the writers with the newest changes first, of as many writers as the message holds, at
// least one. A writer's updates are sent all or none: if it changed a key twice, the log has only the later
// version, so the version of a partial batch would claim a change that was not sent.
void Replica::add_missing_updates(const ReplicaMessage& request, ReplicaMessage& delta) const {
    std::size_t delta_bytes = 0;
    for (const auto& behind : writers_behind(request, delta.snapshot_needed)) {
        auto updates = updates_after(*behind.writer, *behind.log, behind.peer_version);
        std::size_t bytes = 0;
        for (const auto& update : updates)
            bytes += approximate_size(update);
        if (updates.size() > ReplicaMessage::kMaxUpdates || bytes > kMaxWriterBytes) {
            delta.snapshot_needed = true;
            continue;
        }
        const bool too_much = delta_bytes + bytes > settings_.max_exchange_bytes ||
                              delta.updates.size() + updates.size() > ReplicaMessage::kMaxUpdates;
        if (!delta.updates.empty() && too_much) {
            delta.complete = false;
            return;
        }
        delta_bytes += bytes;
        delta.base_versions[*behind.writer] = behind.peer_version;
        std::move(updates.begin(), updates.end(), std::back_inserter(delta.updates));
    }
}

std::vector<Replica::WriterBehind> Replica::writers_behind(const ReplicaMessage& request,
                                                           bool& snapshot_needed) const {
    std::vector<WriterBehind> out;
    for (const auto& [writer, log] : writer_logs_) {
        if (!covers(request.bucket_mask, writer))
            continue;
        const auto peer_version = version_of(request.versions, writer);
        if (peer_version >= log.version)
            continue;
        // Where values age out, the peer's copies of the removed values expire by its own clock.
        if (settings_.value_retention > 0 && log.empty())
            continue;
        if (peer_version < log.collected_version)
            snapshot_needed = true;
        else if (!log.empty())
            out.push_back(
                {entries_.at(log.keys_by_version.rbegin()->second).changed, &writer, &log, peer_version});
    }
    std::sort(out.begin(), out.end(), [](const WriterBehind& a, const WriterBehind& b) {
        return a.newest_change != b.newest_change ? a.newest_change > b.newest_change : *a.writer < *b.writer;
    });
    return out;
}

std::vector<ReplicaUpdate> Replica::updates_after(const std::string& writer, const WriterLog& log,
                                                  std::uint64_t version) const {
    std::vector<ReplicaUpdate> out;
    for (auto it = log.keys_by_version.upper_bound(version); it != log.keys_by_version.end(); ++it)
        out.push_back({writer, it->first, it->second, entries_.at(it->second)});
    return out;
}

}  // namespace silverrail::cluster
