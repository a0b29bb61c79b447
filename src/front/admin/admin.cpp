#include "front/admin/admin.h"

#include "front/admin/words.h"

namespace silverrail::front::admin {

static constexpr const char* kNoFailover = "no failover: the peers section names no zones";

std::string Admin::answer(std::string_view line, bool ended) {
    const auto call = parse(line, ended);
    if (const auto* why = std::get_if<std::string>(&call)) {
        log_.line("bad-control-call", "%s", why->c_str());
        return no(*why);
    }
    const auto said = [](const Verdict& v) {
        return v.yes ? yes(v.words) : no(v.words);
    };
    const core::ServerId server{std::get<Call>(call).server};
    switch (std::get<Call>(call).kind) {
        case Call::Kind::health:
            return lifecycle_.ready() ? yes("takes clients") : no(Lifecycle::name(lifecycle_.phase()));
        case Call::Kind::dump:
            return figures(engine_.counters());
        case Call::Kind::offline:
            return said(hands_.out(server));
        case Call::Kind::online:
            return said(hands_.back(server));
        case Call::Kind::members:
            return fleet_.members ? fleet_.members() : no("no peers: this router keeps no view of the fleet");
        case Call::Kind::replica:
            return fleet_.replica ? fleet_.replica() : no("no peers: this router shares nothing");
        case Call::Kind::failover:
            return fleet_.failover ? fleet_.failover() : no(kNoFailover);
        case Call::Kind::pin:
            return fleet_.pin ? said(fleet_.pin(server.address, std::get<Call>(call).how)) : no(kNoFailover);
    }
    return no("unknown call");
}

}  // namespace silverrail::front::admin
