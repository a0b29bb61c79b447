// The second address as operators see it: a call in, an answer out.
#pragma once

#include "core/engine.h"
#include "lifecycle.h"

namespace silverrail::front::admin {

class Admin {
public:
    Admin(core::Engine& engine, const Lifecycle& lifecycle, Log& log)
        : engine_(engine), lifecycle_(lifecycle), log_(log) {}
    std::string answer(std::string_view line, bool ended);

private:
    core::Engine& engine_;
    const Lifecycle& lifecycle_;
    Log& log_;
};

}  // namespace silverrail::front::admin
