// Runs operators' commands received on the control address.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "core/engine.h"
#include "front/admin/command_parser.h"
#include "lifecycle.h"

namespace silverrail::front::admin {

// The outcome of an operator's command.
struct CommandResult {
    bool ok = false;
    std::string message;  // for the operator
};

// Takes servers out of rotation and puts them back on an operator's command.
class OverrideCommands {
public:
    virtual ~OverrideCommands() = default;
    virtual CommandResult take_offline(const core::ServerId& server) = 0;
    virtual CommandResult bring_online(const core::ServerId& server) = 0;
};

// Handlers of the commands about the cluster. A handler is empty if that feature is not configured.
struct ClusterCommands {
    std::function<std::string()> members{};
    std::function<std::string()> replica{};
    std::function<std::string()> failover{};
    std::function<CommandResult(const std::string& zone, const std::string& mode)> pin{};
};

class Admin {
public:
    Admin(core::Engine& engine, OverrideCommands& overrides, const Lifecycle& lifecycle, Log& log,
          ClusterCommands cluster = {})
        : engine_(engine),
          overrides_(overrides),
          lifecycle_(lifecycle),
          log_(log),
          cluster_(std::move(cluster)) {}
    // Runs the command in `line` and returns the response. For the parameters see parse_command().
    std::string answer(std::string_view line, bool terminated);

private:
    std::string run(const Command& command);
    std::string health() const;

    core::Engine& engine_;
    OverrideCommands& overrides_;
    const Lifecycle& lifecycle_;
    Log& log_;
    ClusterCommands cluster_;
};

}  // namespace silverrail::front::admin
