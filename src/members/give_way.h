// Who gives way when connections of clients run short: one decision, without I/O.
#pragma once

#include <chrono>
#include <optional>

namespace silverrail::members {

struct Standing {
    enum class Doing { waiting, answering, lingering };
    Doing doing = Doing::waiting;           // for a request; on its answer; on its close after a last answer
    bool asked_before = false;              // it has brought a whole request
    bool something_came = false;            // of the request that it is waiting for
    std::chrono::milliseconds still_for{};  // since it was opened or answered, or since a byte came
};

// In the order in which they give way; of one kind, the stillest first. Absent: never.
enum class GivesWay { lingering, silent, stalled, idle, newcomer };
std::optional<GivesWay> gives_way(const Standing& standing);

}  // namespace silverrail::members
