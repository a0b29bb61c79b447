#include "cluster/members.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace silverrail::cluster {

const char* name_of(State state) {
    switch (state) {
        case State::alive: return "alive";
        case State::suspect: return "suspect";
        case State::dead: return "dead";
        case State::left: return "left";
    }
    return "?";
}

const char* name_of(Message::Kind kind) {
    switch (kind) {
        case Message::Kind::ping: return "ping";
        case Message::Kind::ack: return "ack";
        case Message::Kind::ping_req: return "ping_req";
        case Message::Kind::nack: return "nack";
        case Message::Kind::push: return "push";
        case Message::Kind::pull: return "pull";
    }
    return "?";
}

const char* name_of(Event::Kind kind) {
    switch (kind) {
        case Event::Kind::join: return "join";
        case Event::Kind::suspect: return "suspect";
        case Event::Kind::refute: return "refute";
        case Event::Kind::dead: return "dead";
        case Event::Kind::left: return "left";
        case Event::Kind::rejoin: return "rejoin";
        case Event::Kind::alive_again: return "alive_again";
        case Event::Kind::forgotten: return "forgotten";
    }
    return "?";
}

bool newer(std::uint64_t start, std::uint64_t incarnation, std::uint64_t than_start,
           std::uint64_t than_incarnation) {
    return start != than_start ? start > than_start : incarnation > than_incarnation;
}

Members::Members(Identity self, std::uint64_t start, Settings settings, std::uint64_t seed,
                 std::vector<std::string> seeds, Time now)
    : self_{std::move(self), start, 0, State::alive, {}},
      settings_(settings),
      dice_(seed),
      seeds_(std::move(seeds)),
      last_call_(now),
      // Members that start together would probe in step: the first probe falls anywhere in the first period.
      next_probe_(now + Time{static_cast<Time::rep>(dice_() % static_cast<std::uint64_t>(std::max<Time::rep>(
                                                                  1, settings.probe_interval.count())))}),
      next_push_(now) {
    spread(self_);
}

std::size_t Members::count(State state) const {
    std::size_t n = self_.state == state ? 1 : 0;
    for (const auto& [name, member] : members_) n += member.record.state == state ? 1 : 0;
    return n;
}

std::vector<Event> Members::take_events() { return std::exchange(events_, {}); }

std::vector<Record> Members::records() const {
    std::vector<Record> out{self_};
    for (const auto& [name, member] : members_) out.push_back(member.record);
    return out;
}

Time Members::suspicion_floor() const {
    const double n = static_cast<double>(count(State::alive) + count(State::suspect));
    const double factor = settings_.suspicion_mult * std::max(1.0, std::log10(std::max(1.0, n)));
    return Time{static_cast<Time::rep>(factor * static_cast<double>(settings_.probe_interval.count()))};
}

Time Members::suspicion_ceiling() const {
    return Time{static_cast<Time::rep>(settings_.suspicion_max_mult *
                                       static_cast<double>(suspicion_floor().count()))};
}

bool Members::fits(const Record& record) const {
    const auto& who = record.who;
    if (who.name.empty() || who.name.size() > kLongestName || who.address.size() > kLongestAddress ||
        who.zone.size() > kLongestPlace || who.region.size() > kLongestPlace ||
        record.by.size() > kLongestName)
        return false;
    // Only the member raises its own incarnation, and only this process is of this start: a record of us that
    // is ahead of us was made up by somebody.
    if (who.name == self_.who.name && newer(record.start, record.incarnation, self_.start, self_.incarnation))
        return false;
    return true;
}

void Members::event(Event::Kind kind, const Record& record) {
    if (events_.size() < 1024) events_.push_back({kind, record.who.name, record.incarnation, record.by});
}

void Members::spread(const Record& record) { rumours_[record.who.name] = {record, 0}; }

void Members::piggyback(Message& out) {
    const auto n = static_cast<double>(members_.size() + 1);
    const auto limit = settings_.retransmit_mult * static_cast<std::size_t>(std::ceil(std::log10(n + 1)));
    std::vector<Rumour*> fewest;
    for (auto& [name, rumour] : rumours_) fewest.push_back(&rumour);
    const auto take = std::min(fewest.size(), settings_.gossip_per_message);
    std::partial_sort(fewest.begin(), fewest.begin() + static_cast<std::ptrdiff_t>(take), fewest.end(),
                      [](const Rumour* a, const Rumour* b) { return a->told < b->told; });
    for (std::size_t i = 0; i < take; ++i) {
        if (out.records.size() >= settings_.gossip_per_message) break;
        if (!out.records.empty() && out.records.front().who.name == fewest[i]->record.who.name) continue;
        out.records.push_back(fewest[i]->record);
        ++fewest[i]->told;
    }
    std::erase_if(rumours_,
                  [limit](const auto& item) { return item.second.told >= std::max<std::size_t>(limit, 1); });
}

Message Members::message(Message::Kind kind, std::uint32_t seq) {
    Message out;
    out.kind = kind;
    out.from = self_.who.name;
    out.from_start = self_.start;
    out.from_address = self_.who.address;
    out.seq = seq;
    return out;
}

void Members::set(Member& member, const Record& record, Time now) {
    member.record = record;
    member.since = now;
    member.confirmers.clear();
    if (record.state == State::suspect) {
        member.confirmers.insert(record.by);
        member.deadline = now + suspicion_ceiling();
    } else if (record.state == State::dead || record.state == State::left) {
        member.deadline = now + settings_.dead_keep;
    }
}

void Members::about_self(const Record& record) {
    if (record.start < self_.start) {
        // Somebody still speaks of the run before this one: telling of this run supersedes it.
        spread(self_);
        return;
    }
    if (record.state == State::alive || self_.state == State::left || record.incarnation < self_.incarnation)
        return;
    // Suspected or declared dead at our incarnation: refute by raising it (SWIM), and take it as a sign that
    // we may be the slow one (Lifeguard).
    self_.incarnation = record.incarnation + 1;
    spread(self_);
    event(Event::Kind::refute, self_);
    raise_health();
}

void Members::apply(Record record, Time now, bool from_push) {
    if (record.who.name == self_.who.name) return about_self(record);
    // A whole view carries old opinions: a death it tells of is taken for a suspicion, which the member can
    // still refute (memberlist does the same).
    if (from_push && record.state == State::dead) record.state = State::suspect;
    const auto found = members_.find(record.who.name);
    if (found == members_.end()) {
        if (record.state != State::alive) return;  // nobody joins by being suspected
        if (members_.size() >= settings_.most_members) {
            ++counts_.refused;
            return;
        }
        auto& member = members_[record.who.name];
        set(member, record, now);
        event(Event::Kind::join, record);
        spread(record);
        return;
    }
    auto& member = found->second;
    const Record& now_held = member.record;
    if (record.start < now_held.start) return;
    if (record.start > now_held.start) {
        // The same name, a later run: a new member, whatever the old one's incarnation was.
        set(member, record, now);
        event(Event::Kind::rejoin, record);
        spread(record);
        return;
    }
    const bool ahead = record.incarnation > now_held.incarnation;
    const bool level = record.incarnation == now_held.incarnation;
    switch (record.state) {
        case State::alive: {
            if (!ahead) {
                if (level && now_held.state == State::alive) member.record.who = record.who;
                return;
            }
            const auto was = now_held.state;
            set(member, record, now);
            if (was == State::suspect) {
                ++counts_.refuted;
                event(Event::Kind::refute, record);
            } else if (was == State::dead || was == State::left) {
                event(Event::Kind::alive_again, record);
            }
            spread(record);
            return;
        }
        case State::suspect: {
            if (now_held.state == State::alive && (ahead || level)) {
                set(member, record, now);
                ++counts_.suspicions;
                event(Event::Kind::suspect, record);
                spread(record);
            } else if (now_held.state == State::suspect && ahead) {
                set(member, record, now);
                spread(record);
            } else if (now_held.state == State::suspect && level && !member.confirmers.contains(record.by) &&
                       member.confirmers.size() <= settings_.suspicion_confirmations) {
                // Lifeguard: each independent suspicion shortens the wait, down to the floor.
                member.confirmers.insert(record.by);
                const double c = static_cast<double>(member.confirmers.size() - 1);
                const double k =
                    static_cast<double>(std::max<std::size_t>(1, settings_.suspicion_confirmations));
                const auto floor = suspicion_floor(), ceiling = suspicion_ceiling();
                const double share = std::min(1.0, std::log(c + 1) / std::log(k + 1));
                const auto wait =
                    ceiling -
                    Time{static_cast<Time::rep>(share * static_cast<double>((ceiling - floor).count()))};
                member.deadline = member.since + std::max(floor, wait);
                spread(record);
            }
            return;
        }
        case State::dead:
        case State::left: {
            const bool open = now_held.state == State::alive || now_held.state == State::suspect;
            if (!open || !(ahead || level)) return;
            set(member, record, now);
            if (record.state == State::dead) ++counts_.deaths;
            event(record.state == State::dead ? Event::Kind::dead : Event::Kind::left, record);
            spread(record);
            return;
        }
    }
}

std::optional<std::string> Members::pick(const std::vector<std::string>& from) {
    if (from.empty()) return std::nullopt;
    return from[dice_() % from.size()];
}

void Members::end_probe(Time, std::vector<Send>&) {
    if (!probe_ || probe_->done) {
        probe_.reset();
        return;
    }
    // Lifeguard: helpers that did not even send a nack point at our own slowness, not the target's.
    if (probe_->nacks < probe_->nacks_expected) raise_health();
    raise_health();
    const auto found = members_.find(probe_->target);
    // A suspect that fails our probe too is an independent confirmation (Lifeguard), so it is said again by
    // us.
    if (found != members_.end() &&
        (found->second.record.state == State::alive || found->second.record.state == State::suspect)) {
        Record suspicion = found->second.record;
        suspicion.state = State::suspect;
        suspicion.by = self_.who.name;
        pending_suspicion_ = suspicion;
    }
    probe_.reset();
}

void Members::start_probe(Time now, std::vector<Send>& out) {
    const auto probeable = [this](const std::string& name) {
        const auto found = members_.find(name);
        return found != members_.end() &&
               (found->second.record.state == State::alive || found->second.record.state == State::suspect);
    };
    while (next_ < round_.size() && !probeable(round_[next_])) ++next_;
    if (next_ >= round_.size()) {
        // SWIM's round: every member once, in an order drawn anew each time.
        round_.clear();
        for (const auto& [name, member] : members_)
            if (probeable(name)) round_.push_back(name);
        std::shuffle(round_.begin(), round_.end(), dice_);
        next_ = 0;
    }
    if (round_.empty()) return;
    const auto& target = members_.at(round_[next_++]);
    auto ping = message(Message::Kind::ping, ++seq_);
    ping.target = target.record.who.name;
    // Lifeguard's buddy: a suspect learns of it from the probe itself, and can refute at once.
    if (target.record.state == State::suspect) ping.records.push_back(target.record);
    piggyback(ping);
    probe_ = Probe{target.record.who.name, seq_, now, false, 0, 0, false};
    ++counts_.probes;
    out.push_back({target.record.who.address, std::move(ping)});
}

void Members::push_pull(Time, std::vector<Send>& out) {
    std::vector<std::string> alive, dead;
    for (const auto& [name, member] : members_) {
        if (member.record.state == State::alive || member.record.state == State::suspect)
            alive.push_back(member.record.who.address);
        else if (member.record.state == State::dead)
            dead.push_back(member.record.who.address);
    }
    std::vector<std::string> to;
    if (auto one = pick(alive))
        to.push_back(*one);
    else if (auto seed = pick(seeds_))
        to.push_back(*seed);
    // The way back from a partition: both halves hold the other dead, so one of those is asked too.
    if (auto one = pick(dead)) to.push_back(*one);
    for (const auto& address : to) {
        if (address == self_.who.address) continue;
        auto push = message(Message::Kind::push, ++seq_);
        push.records = records();
        ++counts_.pushes;
        out.push_back({address, std::move(push)});
    }
}

std::vector<Send> Members::tick(Time now) {
    std::vector<Send> out;
    if (self_.state == State::left) return out;
    if (now - last_call_ > 2 * settings_.probe_interval) {
        // We were not running: what went unanswered meanwhile says nothing of the others.
        const auto gap = now - last_call_;
        ++counts_.stalls;
        raise_health();
        probe_.reset();
        relays_.clear();
        for (auto& [name, member] : members_)
            if (member.record.state == State::suspect) member.deadline += gap;
        next_probe_ = std::max(next_probe_, now);
    }
    last_call_ = now;

    for (auto it = relays_.begin(); it != relays_.end();) {
        if (it->second.deadline > now) {
            ++it;
            continue;
        }
        out.push_back({it->second.asker_address, message(Message::Kind::nack, it->second.asker_seq)});
        it = relays_.erase(it);
    }
    for (auto it = members_.begin(); it != members_.end();) {
        auto& member = it->second;
        const auto state = member.record.state;
        if (state == State::suspect && member.deadline <= now) {
            Record death = member.record;
            death.state = State::dead;
            death.by = self_.who.name;
            set(member, death, now);
            ++counts_.deaths;
            event(Event::Kind::dead, death);
            spread(death);
        } else if ((state == State::dead || state == State::left) && member.deadline <= now) {
            event(Event::Kind::forgotten, member.record);
            rumours_.erase(it->first);
            it = members_.erase(it);
            continue;
        }
        ++it;
    }

    if (probe_ && !probe_->done && !probe_->asked_others &&
        now >= probe_->sent + stretched(settings_.probe_timeout)) {
        // No direct answer: ask k others to try, each answering either way.
        std::vector<const Member*> helpers;
        for (const auto& [name, member] : members_)
            if (name != probe_->target && member.record.state == State::alive) helpers.push_back(&member);
        std::shuffle(helpers.begin(), helpers.end(), dice_);
        helpers.resize(std::min(helpers.size(), settings_.indirect_probes));
        const auto& target = members_.find(probe_->target);
        if (target != members_.end()) {
            for (const auto* helper : helpers) {
                auto ask = message(Message::Kind::ping_req, probe_->seq);
                ask.target = probe_->target;
                ask.target_address = target->second.record.who.address;
                piggyback(ask);
                out.push_back({helper->record.who.address, std::move(ask)});
                ++counts_.indirect;
            }
            probe_->nacks_expected = helpers.size();
        }
        probe_->asked_others = true;
    }
    if (now >= next_probe_) {
        end_probe(now, out);
        if (pending_suspicion_) apply(*std::exchange(pending_suspicion_, std::nullopt), now, false);
        start_probe(now, out);
        next_probe_ = now + stretched(settings_.probe_interval);
    }
    if (now >= next_push_) {
        push_pull(now, out);
        next_push_ = now + settings_.push_pull_interval;
    }
    return out;
}

std::vector<Send> Members::receive(const Message& in, Time now) {
    std::vector<Send> out;
    if (self_.state == State::left) return out;
    if (in.from.empty() || in.from.size() > kLongestName || in.from_address.size() > kLongestAddress ||
        in.target.size() > kLongestName || in.target_address.size() > kLongestAddress ||
        in.records.size() > Message::kMostRecords || in.from == self_.who.name ||
        !std::all_of(in.records.begin(), in.records.end(), [this](const Record& r) { return fits(r); })) {
        ++counts_.refused;
        return out;
    }
    const bool whole = in.kind == Message::Kind::push || in.kind == Message::Kind::pull;
    for (const auto& record : in.records) apply(record, now, whole);
    switch (in.kind) {
        case Message::Kind::ping: {
            if (in.target != self_.who.name) return out;
            auto ack = message(Message::Kind::ack, in.seq);
            piggyback(ack);
            out.push_back({in.from_address, std::move(ack)});
            return out;
        }
        case Message::Kind::ack: {
            if (probe_ && !probe_->done && in.seq == probe_->seq) {
                probe_->done = true;
                ++counts_.acks;
                lower_health();
            } else if (const auto relay = relays_.find(in.seq); relay != relays_.end()) {
                auto ack = message(Message::Kind::ack, relay->second.asker_seq);
                piggyback(ack);
                out.push_back({relay->second.asker_address, std::move(ack)});
                relays_.erase(relay);
            }
            return out;
        }
        case Message::Kind::ping_req: {
            if (relays_.size() >= 256 || in.target_address.empty()) return out;
            relays_[++seq_] = {in.from_address, in.seq, now + stretched(settings_.probe_timeout)};
            auto ping = message(Message::Kind::ping, seq_);
            ping.target = in.target;
            piggyback(ping);
            out.push_back({in.target_address, std::move(ping)});
            return out;
        }
        case Message::Kind::nack:
            if (probe_ && in.seq == probe_->seq) {
                ++probe_->nacks;
                ++counts_.nacks;
            }
            return out;
        case Message::Kind::push: {
            auto pull = message(Message::Kind::pull, in.seq);
            pull.records = records();
            out.push_back({in.from_address, std::move(pull)});
            return out;
        }
        case Message::Kind::pull: return out;
    }
    return out;
}

std::vector<Send> Members::leave(Time now) {
    std::vector<Send> out;
    if (self_.state == State::left) return out;
    self_.state = State::left;
    spread(self_);
    std::vector<std::string> alive;
    for (const auto& [name, member] : members_)
        if (member.record.state == State::alive) alive.push_back(name);
    std::shuffle(alive.begin(), alive.end(), dice_);
    alive.resize(std::min<std::size_t>(alive.size(), settings_.indirect_probes + 1));
    for (const auto& name : alive) {
        auto ping = message(Message::Kind::ping, ++seq_);
        ping.target = name;
        ping.records.push_back(self_);
        out.push_back({members_.at(name).record.who.address, std::move(ping)});
    }
    (void)now;
    return out;
}

}  // namespace silverrail::cluster
