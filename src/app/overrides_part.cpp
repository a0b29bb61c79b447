#include "app/overrides_part.h"

#include <utility>

namespace silverrail::app {

using overrides::ServerOverrides;

namespace {
constexpr std::chrono::milliseconds kFilePollInterval{200};
// In the replicated state: this, then the server's id.
const std::string kKeyPrefix = "ban/";
}  // namespace

OverridesPart::OverridesPart(net::asio::io_context& io, core::Engine& engine, const std::string& path,
                             Log& log, ReplicaPart* fleet_state)
    : engine_(engine), log_(log), timer_(io), fleet_state_(fleet_state) {
    if (fleet_state_)
        fleet_state_->add_listener([this](const std::set<std::string>& keys) { apply_replicated(keys); });
    if (path.empty()) {
        log_.line("overrides", "TMPDIR is not set: they are kept in this process only");
        return;
    }
    file_.emplace(path);
    (void)file_->has_changed();
    read_file();
}

void OverridesPart::start() {
    if (file_)
        poll_file();
    // The overrides may be older than this router's peers. Where the replicated state was restored from a
    // store, that is the later one.
    if (fleet_state_ && fleet_state_->started_empty()) {
        for (const auto& server : engine_.overrides().excluded())
            (void)fleet_state_->set(kKeyPrefix + server.address, {});
    }
}

// Guards rule 3 over the fleet: a server that is excluded anywhere is excluded here, until it is readmitted.
void OverridesPart::apply_replicated(const std::set<std::string>& keys) {
    const ServerOverrides before = engine_.overrides();
    const auto apply = [&](ServerOverrides& overrides) {
        for (const auto& key : keys) {
            if (!key.starts_with(kKeyPrefix))
                continue;
            const core::ServerId server{key.substr(kKeyPrefix.size())};
            if (!fleet_state_->is_set(key))
                overrides.readmit(server);
            else if (!overrides.exclude(server))
                log_.line("overrides", "the fleet's ban of %s has no room here", server.address.c_str());
        }
    };
    ServerOverrides after = before;
    apply(after);
    if (after == before)
        return;
    // In force at once, and stored for the router's other processes where that is possible.
    engine_.set_overrides(after);
    log_.line("overrides-replicated", R"({"out":%zu,"before":%zu})", after.excluded().size(),
              before.excluded().size());
    if (!file_)
        return;
    try {
        engine_.set_overrides(file_->update(after, apply));
    } catch (const std::exception& error) {
        log_.line("overrides", "%s", error.what());
    }
}

// Guards rule 3 over an upgrade: a change made at one process is in force in the other within the grace.
void OverridesPart::poll_file() {
    if (file_->has_changed() || unread_)
        read_file();
    if (!unwritten_.empty())
        write_pending();
    timer_.expires_after(kFilePollInterval);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            poll_file();
    });
}

// A file that can't be read readmits no server that is excluded here.
void OverridesPart::read_file() {
    try {
        ServerOverrides stored = file_->read();
        for (const auto& server : unwritten_)
            stored.exclude(server);
        engine_.set_overrides(stored);
        unread_ = false;
    } catch (const std::exception& error) {
        // Read again with the next poll, and logged once.
        if (!std::exchange(unread_, true))
            log_.line("overrides", "%s; what is out here stays out", error.what());
    }
}

// Guards rule 3 over a restart: what was excluded while the disk failed is in force in the next process too.
void OverridesPart::write_pending() {
    try {
        engine_.set_overrides(file_->update(engine_.overrides(), [this](ServerOverrides& overrides) {
            for (const auto& server : unwritten_)
                overrides.exclude(server);
        }));
        log_.line("overrides", "%zu that were owed to the file are kept", unwritten_.size());
        unwritten_.clear();
    } catch (const std::exception& error) {
        log_.line("overrides", "%s; owed to the file", error.what());
    }
}

bool OverridesPart::is_known(const core::ServerId& server) const {
    return engine_.is_listed(server) || engine_.overrides().excludes(server);
}

front::admin::CommandResult OverridesPart::take_offline(const core::ServerId& server) {
    if (!is_known(server))
        return {false, "no such box"};
    ServerOverrides own = engine_.overrides();
    const bool stored = own.excludes(server) && !unwritten_.contains(server);
    if (!own.exclude(server))
        return {false, "too many are out"};
    engine_.set_overrides(own);
    log_.line("server-excluded", "%s by hand, %zu are out", server.address.c_str(), own.excluded().size());
    if (fleet_state_ && !fleet_state_->set(kKeyPrefix + server.address, {}))
        return {false, "out here, but not kept for the fleet"};
    if (!file_)
        return {true, fleet_state_ ? "out" : "out, in this process only"};
    // The replicated entry was renewed all the same: it prevails over a readmission elsewhere.
    if (stored)
        return {true, "out"};
    try {
        engine_.set_overrides(
            file_->update(own, [&](ServerOverrides& overrides) { overrides.exclude(server); }));
        unwritten_.erase(server);
    } catch (const std::exception& error) {
        unwritten_.insert(server);
        log_.line("overrides", "%s", error.what());
        return {false, std::string{"out in this process, but not kept for another: "} + error.what()};
    }
    return {true, "out"};
}

front::admin::CommandResult OverridesPart::bring_online(const core::ServerId& server) {
    if (!is_known(server))
        return {false, "no such box"};
    ServerOverrides own = engine_.overrides();
    own.readmit(server);
    if (file_) {
        try {
            own = file_->update(own, [&](ServerOverrides& overrides) { overrides.readmit(server); });
        } catch (const std::exception& error) {
            log_.line("overrides", "%s", error.what());
            return {false, std::string{"nothing was changed: "} + error.what()};
        }
    }
    unwritten_.erase(server);
    engine_.set_overrides(own);
    if (fleet_state_ && !fleet_state_->clear(kKeyPrefix + server.address))
        return {false, "in use here, but not kept for the fleet"};
    log_.line("server-readmitted", "%s by hand, %zu are out", server.address.c_str(), own.excluded().size());
    return {true, "in use"};
}

}  // namespace silverrail::app
