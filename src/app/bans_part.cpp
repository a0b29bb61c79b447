#include "app/bans_part.h"

namespace silverrail::app {

namespace {
constexpr std::chrono::milliseconds kLook{200};
const std::string kKey = "ban/";  // then the server's id
}  // namespace

BansPart::BansPart(net::asio::io_context& io, core::Engine& engine, const std::string& file, Log& log,
                   ReplicaPart* fleet)
    : engine_(engine), log_(log), timer_(io), fleet_(fleet) {
    if (fleet_)
        fleet_->add_listener([this](const std::set<std::string>& keys) { heard(keys); });
    if (file.empty()) {
        log_.line("bans", "TMPDIR is not set: they are kept in this process only");
        return;
    }
    file_.emplace(file);
    (void)file_->changed();
    read();
}

void BansPart::start() {
    if (file_)
        look();
    // Said before there was a fleet to tell. With a store of its own the fleet's word is the later one.
    if (fleet_ && fleet_->started_empty())
        for (const auto& server : engine_.bans().ids())
            (void)fleet_->set(kKey + server.address, {});
}

// Guards rule 3 over the fleet: a server that is out anywhere is out here, and back here when it is back.
void BansPart::heard(const std::set<std::string>& keys) {
    members::Bans before = engine_.bans();
    const auto apply = [&](members::Bans& bans) {
        for (const auto& key : keys) {
            if (!key.starts_with(kKey))
                continue;
            const core::ServerId server{key.substr(kKey.size())};
            if (!fleet_->is_set(key))
                bans.remove(server);
            else if (!bans.add(server))
                log_.line("bans", "the fleet's ban of %s has no room here", server.address.c_str());
        }
    };
    members::Bans own = before;
    apply(own);
    if (own == before)
        return;
    // In force at once; kept for the router's other processes where that is possible.
    engine_.set_bans(own);
    log_.line("bans-heard", R"({"out":%zu,"before":%zu})", own.ids().size(), before.ids().size());
    if (file_)
        try {
            engine_.set_bans(file_->change(own, apply));
        } catch (const std::exception& e) {
            log_.line("bans", "%s", e.what());
        }
}

// Guards rule 3 over an upgrade: a call to the one process binds the other within the grace.
void BansPart::look() {
    if (file_->changed() || unread_)
        read();
    if (!unwritten_.empty())
        write_what_is_owed();
    timer_.expires_after(kLook);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            look();
    });
}

// What is not readable lifts no ban that is in force here.
void BansPart::read() {
    try {
        members::Bans bans = file_->read();
        for (const auto& server : unwritten_)
            bans.add(server);
        engine_.set_bans(bans);
        unread_ = false;
    } catch (const std::exception& e) {
        // Read again with the next look; said once.
        if (!std::exchange(unread_, true))
            log_.line("bans", "%s; what is out here stays out", e.what());
    }
}

// Guards rule 3 over a restart: what was taken out while the disk failed holds for the next process, too.
void BansPart::write_what_is_owed() {
    try {
        engine_.set_bans(file_->change(engine_.bans(), [this](members::Bans& bans) {
            for (const auto& server : unwritten_)
                bans.add(server);
        }));
        log_.line("bans", "%zu that were owed to the file are kept", unwritten_.size());
        unwritten_.clear();
    } catch (const std::exception& e) {
        log_.line("bans", "%s; owed to the file", e.what());
    }
}

bool BansPart::known(const core::ServerId& server) const {
    return engine_.lists(server) || engine_.bans().contains(server);
}

front::admin::CommandResult BansPart::take_offline(const core::ServerId& server) {
    if (!known(server))
        return {false, "no such box"};
    members::Bans own = engine_.bans();
    const bool kept = own.contains(server) && !unwritten_.contains(server);
    if (!own.add(server))
        return {false, "too many are out"};
    engine_.set_bans(own);
    log_.line("box-out", "%s by hand, %zu are out", server.address.c_str(), own.ids().size());
    if (fleet_ && !fleet_->set(kKey + server.address, {}))
        return {false, "out here, but not kept for the fleet"};
    if (!file_)
        return {true, fleet_ ? "out" : "out, in this process only"};
    // Nothing needs writing. The fleet was told all the same: said again, it stands against a call back
    // elsewhere.
    if (kept)
        return {true, "out"};
    try {
        engine_.set_bans(file_->change(own, [&](members::Bans& bans) { bans.add(server); }));
        unwritten_.erase(server);
    } catch (const std::exception& e) {
        unwritten_.insert(server);
        log_.line("bans", "%s", e.what());
        return {false, std::string{"out in this process, but not kept for another: "} + e.what()};
    }
    return {true, "out"};
}

front::admin::CommandResult BansPart::bring_online(const core::ServerId& server) {
    if (!known(server))
        return {false, "no such box"};
    members::Bans own = engine_.bans();
    own.remove(server);
    if (file_)
        try {
            own = file_->change(own, [&](members::Bans& bans) { bans.remove(server); });
        } catch (const std::exception& e) {
            log_.line("bans", "%s", e.what());
            return {false, std::string{"nothing was changed: "} + e.what()};
        }
    unwritten_.erase(server);
    engine_.set_bans(own);
    if (fleet_ && !fleet_->clear(kKey + server.address))
        return {false, "in use here, but not kept for the fleet"};
    log_.line("box-back", "%s by hand, %zu are out", server.address.c_str(), own.ids().size());
    return {true, "in use"};
}

}  // namespace silverrail::app
