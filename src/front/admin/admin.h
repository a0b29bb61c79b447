// The second address as operators see it: a call in, an answer out.
#pragma once

#include <functional>

#include "core/engine.h"
#include "lifecycle.h"

namespace silverrail::front::admin {

struct Verdict {
    bool yes = false;
    std::string words;
};

// Whoever takes servers out and back.
class Hands {
public:
    virtual ~Hands() = default;
    virtual Verdict out(const core::ServerId& server) = 0;
    virtual Verdict back(const core::ServerId& server) = 0;
};

// What the fleet answers: MEMBERS, REPLICA, FAILOVER and PIN; each empty where the router has no such part.
struct Fleet {
    std::function<std::string()> members{}, replica{}, failover{};
    std::function<Verdict(const std::string& zone, const std::string& how)> pin{};
};

class Admin {
public:
    Admin(core::Engine& engine, Hands& hands, const Lifecycle& lifecycle, Log& log, Fleet fleet = {})
        : engine_(engine), hands_(hands), lifecycle_(lifecycle), log_(log), fleet_(std::move(fleet)) {}
    std::string answer(std::string_view line, bool ended);

private:
    core::Engine& engine_;
    Hands& hands_;
    const Lifecycle& lifecycle_;
    Log& log_;
    Fleet fleet_;
};

}  // namespace silverrail::front::admin
