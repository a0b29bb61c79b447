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

// Whoever takes boxes out and back.
class Hands {
public:
    virtual ~Hands() = default;
    virtual Verdict out(const core::CacheId& box) = 0;
    virtual Verdict back(const core::CacheId& box) = 0;
};

class Admin {
public:
    // `members`, `replica`: the answers to MEMBERS and REPLICA; empty where the router has no peers.
    Admin(core::Engine& engine, Hands& hands, const Lifecycle& lifecycle, Log& log,
          std::function<std::string()> members = {}, std::function<std::string()> replica = {})
        : engine_(engine),
          hands_(hands),
          lifecycle_(lifecycle),
          log_(log),
          members_(std::move(members)),
          replica_(std::move(replica)) {}
    std::string answer(std::string_view line, bool ended);

private:
    core::Engine& engine_;
    Hands& hands_;
    const Lifecycle& lifecycle_;
    Log& log_;
    std::function<std::string()> members_;
    std::function<std::string()> replica_;
};

}  // namespace silverrail::front::admin
