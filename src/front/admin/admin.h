// The control address: answers operators' commands.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "core/engine.h"
#include "front/admin/command_parser.h"
#include "lifecycle.h"

namespace silverrail::front::admin {

// How an operator's command ended.
struct CommandResult {
    bool ok = false;
    std::string text;  // for the operator
};

// Excludes and readmits servers by an operator's command.
class OverrideCommands {
public:
    virtual ~OverrideCommands() = default;
    virtual CommandResult take_offline(const core::ServerId& server) = 0;
    virtual CommandResult bring_online(const core::ServerId& server) = 0;
};

// Commands that the cluster's parts answer; each is empty if the router has no such part.
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
    // The answer to a line; see parse_command().
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
