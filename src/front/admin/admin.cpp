#include "front/admin/admin.h"

namespace silverrail::front::admin {

namespace {

constexpr const char* kNoMembers = "no peers: this router keeps no view of the fleet";
constexpr const char* kNoReplica = "no peers: this router shares nothing";
constexpr const char* kNoFailover = "no failover: the peers section names no zones";

std::string result_line(const CommandResult& result) {
    return result.ok ? acknowledge(result.text) : reject(result.text);
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
            return counters_text(engine_.counters());
        case Command::Kind::offline:
            return result_line(overrides_.take_offline(core::ServerId{command.target}));
        case Command::Kind::online:
            return result_line(overrides_.bring_online(core::ServerId{command.target}));
        case Command::Kind::members:
            return cluster_.members ? cluster_.members() : reject(kNoMembers);
        case Command::Kind::replica:
            return cluster_.replica ? cluster_.replica() : reject(kNoReplica);
        case Command::Kind::failover:
            return cluster_.failover ? cluster_.failover() : reject(kNoFailover);
        case Command::Kind::pin:
            return cluster_.pin ? result_line(cluster_.pin(command.target, command.mode))
                                : reject(kNoFailover);
    }
    return reject("unknown call");
}

std::string Admin::health() const {
    return lifecycle_.ready() ? acknowledge("takes clients") : reject(Lifecycle::name(lifecycle_.phase()));
}

}  // namespace silverrail::front::admin
