// Servers taken out by hand: in force in the core, kept in the file, and heard of from the router's other
// processes.
#pragma once

#include <optional>

#include "app/part.h"
#include "app/replica_part.h"
#include "core/engine.h"
#include "front/admin/admin.h"
#include "net/asio.h"
#include "store/ban_file.h"

namespace silverrail::app {

class BansPart : public Part, public front::admin::ServerOverrides {
public:
    // `file` empty: kept in this process only. What the file holds is in force from here on. `fleet`, where
    // the router has peers: what is said here is said to all of them, and what they say holds here.
    BansPart(net::asio::io_context& io, core::Engine& engine, const std::string& file, Log& log,
             ReplicaPart* fleet = nullptr);
    void start() override;
    void stop() override {}
    std::string counters() override {
        return figure_lines("bans", {{"out", engine_.bans().ids().size()}, {"unwritten", unwritten_.size()}});
    }
    front::admin::CommandResult take_offline(const core::ServerId& server) override;
    front::admin::CommandResult bring_online(const core::ServerId& server) override;

private:
    void look();
    void read();
    void write_what_is_owed();
    void heard(const std::set<std::string>& keys);
    bool known(const core::ServerId& server) const;  // listed, or out

    core::Engine& engine_;
    Log& log_;
    net::asio::steady_timer timer_;
    std::optional<store::BanFile> file_;
    ReplicaPart* fleet_;
    std::set<core::ServerId> unwritten_;  // out here, and owed to the file
    bool unread_ = false;                 // the file could not be read when it was to be
};

}  // namespace silverrail::app
