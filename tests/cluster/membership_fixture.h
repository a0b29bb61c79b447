// Shared fixture of the membership tests: the router "a", messages from its peers, and simulated time.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "cluster/membership/membership.h"

namespace silverrail::cluster {

using namespace std::chrono_literals;
using Kind = MembershipMessage::Kind;
using EventKind = MembershipEvent::Kind;
using Sent = std::vector<OutgoingMembershipMessage>;

inline MemberIdentity identity_of(const std::string& name) {
    return {name, name + ":7946", "z1", "r1"};
}

inline MembershipSettings fast_settings() {
    MembershipSettings settings;
    settings.probe_interval = 100ms;
    settings.probe_timeout = 40ms;
    settings.push_pull_interval = 10'000ms;
    settings.dead_retention = 5'000ms;
    return settings;
}

inline MembershipMessage message_from(const std::string& name, Kind kind, std::vector<MemberRecord> records,
                                      std::uint32_t sequence = 1) {
    MembershipMessage message;
    message.kind = kind;
    message.sender = name;
    message.sender_start = 1;
    message.sender_address = name + ":7946";
    message.sequence = sequence;
    message.records = std::move(records);
    return message;
}

inline MemberRecord record(const std::string& name, std::uint64_t start, std::uint64_t incarnation,
                           MemberState state, const std::string& reported_by = "") {
    return {identity_of(name), start, incarnation, state, reported_by};
}

// The router "a", started at `start`, that knows no other member.
inline Membership lone_membership(std::uint64_t start, const MembershipSettings& settings = fast_settings()) {
    return {identity_of("a"), start, settings, 7, {}, 0ms};
}

// The router "a", with the given members alive in its view.
inline Membership membership_with(const std::vector<std::string>& names,
                                  const MembershipSettings& settings = fast_settings()) {
    Membership membership{identity_of("a"), 1, settings, 11, {}, 0ms};
    std::vector<MemberRecord> records;
    for (const auto& name : names)
        records.push_back(record(name, 1, 0, MemberState::alive));
    membership.receive(message_from("x", Kind::pull, records), 0ms);
    membership.take_events();
    return membership;
}

inline void receive_records(Membership& membership, std::vector<MemberRecord> records, Time now,
                            const std::string& sender = "x") {
    membership.receive(message_from(sender, Kind::ping, std::move(records)), now);
}

inline bool has_event(const std::vector<MembershipEvent>& events, EventKind kind, const std::string& member) {
    for (const auto& event : events)
        if (event.kind == kind && event.member == member)
            return true;
    return false;
}

inline MemberState state_of(const Membership& membership, const std::string& name) {
    return membership.members().at(name).record.state;
}

// Ticks every millisecond from `first` to `last` and returns the messages sent.
inline Sent run_ticks(Membership& membership, Time first, Time last) {
    Sent all;
    for (Time now = first; now <= last; now += 1ms)
        for (auto& outgoing : membership.tick(now))
            all.push_back(std::move(outgoing));
    return all;
}

inline Sent of_kind(const Sent& sent, Kind kind) {
    Sent out;
    for (const auto& outgoing : sent)
        if (outgoing.message.kind == kind)
            out.push_back(outgoing);
    return out;
}

}  // namespace silverrail::cluster
