#include "members/give_way.h"

namespace silverrail::members {

namespace {
using namespace std::chrono_literals;
// Usual clients ask soon after they connect; one that takes 2 s to send its request may begin late.
constexpr auto kNewcomer = 1s;
// Pieces of any size are progress; a pause of this length is not.
constexpr auto kStalled = 1s;
}  // namespace

std::optional<GivesWay> gives_way(const Standing& s) {
    if (s.doing == Standing::Doing::answering)
        return std::nullopt;
    if (s.doing == Standing::Doing::lingering)
        return GivesWay::lingering;
    if (s.something_came)
        return s.still_for > kStalled ? std::optional{GivesWay::stalled} : std::nullopt;
    if (s.asked_before)
        return GivesWay::idle;
    return s.still_for < kNewcomer ? GivesWay::newcomer : GivesWay::silent;
}

}  // namespace silverrail::members
