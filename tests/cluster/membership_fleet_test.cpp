// Several membership state machines that exchange messages in memory.
#include <cstdio>
#include <deque>
#include <map>
#include <set>

#include "../silverrail/check.h"
#include "membership_fixture.h"

using namespace silverrail::cluster;

namespace {

// Six members. Messages are delivered immediately, except to members that are down or stopped.
class SmallFleet {
public:
    SmallFleet() {
        for (std::size_t i = 0; i < kMembers; ++i) {
            const auto name = std::string{"m"}.append(std::to_string(i));
            fleet_.emplace(name, Membership{{name, name, "z", "r"}, 1, fast_settings(), i + 1, {"m0"}, 0ms});
        }
    }

    Membership& at(const std::string& name) {
        return fleet_.at(name);
    }
    void kill(const std::string& name) {
        down_.insert(name);
    }
    void stop(const std::string& name) {
        stopped_.insert(name);
    }
    void resume_all() {
        stopped_.clear();
    }
    void leave(const std::string& name) {
        for (auto& outgoing : at(name).leave())
            in_flight_.push_back(std::move(outgoing));
        kill(name);
    }

    void run_for(Time span) {
        for (const auto end = now_ + span; now_ < end; now_ += 5ms)
            step();
    }
    bool run_until_all_see(const std::string& name, MemberState state, Time timeout) {
        for (const auto end = now_ + timeout; now_ < end && !all_see(name, state); now_ += 5ms)
            step();
        return all_see(name, state);
    }
    bool all_see(const std::string& name, MemberState state) const {
        for (const auto& [member, membership] : fleet_)
            if (!down_.contains(member) && member != name &&
                (!membership.members().contains(name) || state_of(membership, name) != state))
                return false;
        return true;
    }
    template <class Check>
    void check_running(Check check) const {
        for (const auto& [member, membership] : fleet_)
            if (!down_.contains(member))
                check(membership);
    }

    static constexpr std::size_t kMembers = 6;

private:
    bool is_running(const std::string& name) const {
        return fleet_.contains(name) && !down_.contains(name) && !stopped_.contains(name);
    }
    void step() {
        for (auto& [name, membership] : fleet_)
            if (is_running(name))
                for (auto& outgoing : membership.tick(now_))
                    in_flight_.push_back(std::move(outgoing));
        for (std::size_t hops = 0; !in_flight_.empty() && hops < 10'000; ++hops) {
            const auto outgoing = std::move(in_flight_.front());
            in_flight_.pop_front();
            if (!is_running(outgoing.address))
                continue;
            for (auto& answer : at(outgoing.address).receive(outgoing.message, now_))
                in_flight_.push_back(std::move(answer));
        }
    }

    std::map<std::string, Membership> fleet_;
    std::set<std::string> down_, stopped_;
    std::deque<OutgoingMembershipMessage> in_flight_;
    Time now_{0};
};

void all_views_agree_after_joins_a_crash_a_stall_and_a_leave() {
    SmallFleet fleet;
    CHECK(fleet.run_until_all_see("m5", MemberState::alive, 3'000ms));
    fleet.check_running(
        [](const Membership& membership) { CHECK(membership.members().size() == SmallFleet::kMembers - 1); });

    fleet.kill("m3");
    CHECK(fleet.run_until_all_see("m3", MemberState::dead, 10'000ms));
    fleet.check_running([](const Membership& membership) { CHECK(membership.counters().deaths <= 1); });

    // Stopped for less than the minimum suspicion timeout: it stays alive in all views, and declares no other
    // member dead.
    fleet.stop("m4");
    fleet.run_for(300ms);
    fleet.resume_all();
    const auto deaths = fleet.at("m4").counters().deaths;
    fleet.run_for(2'000ms);
    CHECK(fleet.all_see("m4", MemberState::alive));
    CHECK(fleet.at("m4").counters().deaths == deaths && fleet.at("m4").counters().stalls == 1);

    fleet.leave("m2");
    fleet.run_for(2'000ms);
    CHECK(fleet.all_see("m2", MemberState::left));
}

}  // namespace

int main() {
    all_views_agree_after_joins_a_crash_a_stall_and_a_leave();
    std::puts("membership of a fleet: all views agree after joins, a crash, a stall and a leave");
}
