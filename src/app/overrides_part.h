// Operators' overrides of servers: in force in the core, stored in a file that the router's processes share,
// and replicated to the fleet's other routers.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "app/part.h"
#include "app/replica_part.h"
#include "core/engine.h"
#include "front/admin/admin.h"
#include "net/asio.h"
#include "store/overrides_file.h"

namespace silverrail::app {

class OverridesPart : public Part, public front::admin::OverrideCommands {
public:
    // `path` empty: the overrides are known to this process only. The file's contents are in force from here
    // on. `fleet_state`: replicated to and from all other routers; null: the router has no peers.
    OverridesPart(net::asio::io_context& io, core::Engine& engine, const std::string& path, Log& log,
                  ReplicaPart* fleet_state = nullptr);
    void start() override;
    void stop() override {}
    std::string counters() override {
        return counter_lines(
            "bans", {{"out", engine_.overrides().excluded().size()}, {"unwritten", unwritten_.size()}});
    }
    front::admin::CommandResult take_offline(const core::ServerId& server) override;
    front::admin::CommandResult bring_online(const core::ServerId& server) override;

private:
    void poll_file();
    void read_file();
    void write_pending();
    void apply_replicated(const std::set<std::string>& keys);
    bool is_known(const core::ServerId& server) const;  // listed, or excluded

    core::Engine& engine_;
    Log& log_;
    net::asio::steady_timer timer_;
    std::optional<store::OverridesFile> file_;
    ReplicaPart* fleet_state_;
    std::set<core::ServerId> unwritten_;  // excluded here, and still to be written to the file
    bool unread_ = false;                 // the last attempt to read the file failed
};

}  // namespace silverrail::app
