#include "front/admin/admin.h"

#include "front/admin/words.h"

namespace silverrail::front::admin {

std::string Admin::answer(std::string_view line, bool ended) {
    const auto call = parse(line, ended);
    if (const auto* why = std::get_if<std::string>(&call)) {
        log_.line("bad-control-call", "%s", why->c_str());
        return no(*why);
    }
    const auto said = [](const Verdict& v) { return v.yes ? yes(v.words) : no(v.words); };
    const core::CacheId box{std::get<Call>(call).box};
    switch (std::get<Call>(call).kind) {
        case Call::Kind::health:
            return lifecycle_.ready() ? yes("takes clients") : no(Lifecycle::name(lifecycle_.phase()));
        case Call::Kind::dump: return figures(engine_.counters());
        case Call::Kind::offline: return said(hands_.out(box));
        case Call::Kind::online: return said(hands_.back(box));
        case Call::Kind::members:
            return members_ ? members_() : no("no peers: this router keeps no view of the fleet");
        case Call::Kind::replica: return replica_ ? replica_() : no("no peers: this router shares nothing");
    }
    return no("unknown call");
}

}  // namespace silverrail::front::admin
