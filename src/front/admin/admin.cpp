#include "front/admin/admin.h"

#include "front/admin/words.h"

namespace silverrail::front::admin {

std::string Admin::answer(std::string_view line, bool ended) {
    const auto call = parse(line, ended);
    if (const auto* why = std::get_if<std::string>(&call)) {
        log_.line("bad-control-call", "%s", why->c_str());
        return no(*why);
    }
    switch (std::get<Call>(call).kind) {
        case Call::Kind::health:
            return lifecycle_.ready() ? yes("takes clients") : no(Lifecycle::name(lifecycle_.phase()));
        case Call::Kind::dump: return figures(engine_.counters());
    }
    return no("unknown call");
}

}  // namespace silverrail::front::admin
