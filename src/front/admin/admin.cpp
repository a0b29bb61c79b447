#include "front/admin/admin.h"

namespace silverrail::front::admin {

namespace {

constexpr const char* kNoMembership = "no peers configured: this router does not track fleet membership";
constexpr const char* kNoReplica = "no peers configured: this router does not replicate state";
constexpr const char* kNoFailover = "failover not configured: the peers section lists no zones";

std::string response_line(const CommandResult& result) {
    return result.ok ? acknowledge(result.message) : reject(result.message);
}

}  // namespace

std::string Admin::answer(std::string_view line, bool terminated) {
    const auto parsed = parse_command(line, terminated);
    if (const auto* error = std::get_if<CommandError>(&parsed)) {
        log_.line("bad-control-command", "%s", error->reason.c_str());
        return reject(error->reason);
    }
    return run(std::get<Command>(parsed));
}

std::string Admin::run(const Command& command) {
    switch (command.kind) {
        case Command::Kind::health:
            return health();
        case Command::Kind::dump:
            return format_counters(engine_.counters());
        case Command::Kind::offline:
            return response_line(overrides_.take_offline(core::ServerId{command.target}));
        case Command::Kind::online:
            return response_line(overrides_.bring_online(core::ServerId{command.target}));
        case Command::Kind::members:
            return cluster_.members ? cluster_.members() : reject(kNoMembership);
        case Command::Kind::replica:
            return cluster_.replica ? cluster_.replica() : reject(kNoReplica);
        case Command::Kind::failover:
            return cluster_.failover ? cluster_.failover() : reject(kNoFailover);
        case Command::Kind::pin:
            return cluster_.pin ? response_line(cluster_.pin(command.target, command.mode))
                                : reject(kNoFailover);
    }
    return reject("unknown command");
}

std::string Admin::health() const {
    return lifecycle_.ready() ? acknowledge("takes clients") : reject(Lifecycle::name(lifecycle_.phase()));
}

}  // namespace silverrail::front::admin
