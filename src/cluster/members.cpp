#include "cluster/members.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cluster/hash.h"

namespace silverrail::cluster {

const char* name_of(State state) {
    switch (state) {
        case State::alive:
            return "alive";
        case State::suspect:
            return "suspect";
        case State::dead:
            return "dead";
        case State::left:
            return "left";
    }
    return "?";
}

const char* name_of(Message::Kind kind) {
    switch (kind) {
        case Message::Kind::ping:
            return "ping";
        case Message::Kind::ack:
            return "ack";
        case Message::Kind::ping_req:
            return "ping_req";
        case Message::Kind::nack:
            return "nack";
        case Message::Kind::push:
            return "push";
        case Message::Kind::pull:
            return "pull";
        case Message::Kind::gossip:
            return "gossip";
    }
    return "?";
}

const char* name_of(Event::Kind kind) {
    switch (kind) {
        case Event::Kind::join:
            return "join";
        case Event::Kind::suspect:
            return "suspect";
        case Event::Kind::refute:
            return "refute";
        case Event::Kind::dead:
            return "dead";
        case Event::Kind::left:
            return "left";
        case Event::Kind::rejoin:
            return "rejoin";
        case Event::Kind::alive_again:
            return "alive_again";
        case Event::Kind::forgotten:
            return "forgotten";
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
      random_(seed),
      seeds_(std::move(seeds)),
      last_call_(now),
      // Members that start together would probe in step: the first probe falls anywhere in the first period.
      next_probe_(now + within(random_, settings.probe_interval)),
      next_push_(now),
      next_gossip_(now),
      next_recheck_(now) {
    tally(self_, true);
    spread(self_);
}

namespace {

// Views that hold different members, or so many at different incarnations (after a cut, when everybody
// refutes) that datagrams alone would take long: worth exchanging again at once. A few refutes under way are
// not.
bool far_apart(const Digest& a, const Digest& b) {
    std::size_t differ = 0;
    for (std::size_t i = 0; i < kBuckets; ++i)
        differ += a.buckets[i] != b.buckets[i];
    return a.roster != b.roster || differ > kBuckets / 2;
}

std::size_t bucket_of(const std::string& name) {
    return fnv(kFnvBasis, name) % kBuckets;
}

}  // namespace

// Counts a record in or out of the sums by state and the digest.
void Members::tally(const Record& r, bool in) {
    by_state_[static_cast<std::size_t>(r.state)] += in ? 1 : std::size_t(-1);
    if (r.state == State::alive || r.state == State::suspect) {
        const auto run = fnv(fnv(kFnvBasis, r.who.name), r.start);
        digest_.roster ^= run;
        digest_.buckets[bucket_of(r.who.name)] ^= fnv(run, r.incarnation);
    }
}

std::vector<Record> Members::differing(const Digest& other) const {
    std::vector<Record> out;
    const auto add = [&](const Record& r) {
        const auto b = bucket_of(r.who.name);
        if (digest_.buckets[b] != other.buckets[b])
            out.push_back(r);
    };
    add(self_);
    for (const auto& [name, member] : members_)
        add(member.record);
    return out;
}

std::vector<Event> Members::take_events() {
    return std::exchange(events_, {});
}

std::vector<Record> Members::records() const {
    std::vector<Record> out{self_};
    for (const auto& [name, member] : members_)
        out.push_back(member.record);
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

// Somebody new or back is seldom alone (a roll-out, a healed cut): the next exchange of views comes within
// one and a half probe intervals, so that all have all of them after about log n exchanges. Where views agree
// it costs two digests.
void Members::soon(Time now) {
    const auto span = settings_.probe_interval;
    next_push_ = std::min(next_push_, now + span / 2 + within(random_, span));
}

void Members::event(Event::Kind kind, const Record& record) {
    if (events_.size() < 1024)
        events_.push_back({kind, record.who.name, record.incarnation, record.by});
}

void Members::spread(const Record& record) {
    const auto [at, fresh] = ranks_.try_emplace(record.who.name);
    if (!fresh)
        rumours_.erase(at->second);
    at->second = {0, --later_};
    rumours_.emplace(at->second, record);
}

void Members::piggyback(Message& out) {
    const auto n = static_cast<double>(members_.size() + 1);
    const auto limit = settings_.retransmit_mult * static_cast<std::size_t>(std::ceil(std::log10(n + 1)));
    const auto room =
        settings_.gossip_per_message - std::min(out.records.size(), settings_.gossip_per_message);
    std::vector<std::pair<RetentionPriority, Record>> told;
    for (auto it = rumours_.begin(); it != rumours_.end() && told.size() < room;) {
        if (!out.records.empty() && out.records.front().who.name == it->second.who.name) {
            ++it;  // the buddy's suspicion is in it already
            continue;
        }
        told.emplace_back(it->first, std::move(it->second));
        it = rumours_.erase(it);
    }
    for (auto& [retention, record] : told) {
        out.records.push_back(record);
        if (++retention.told >= std::max<std::size_t>(limit, 1)) {
            ranks_.erase(record.who.name);
        } else {
            ranks_[record.who.name] = retention;
            rumours_.emplace(retention, std::move(record));
        }
    }
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
    if (!member.record.who.name.empty())
        tally(member.record, false);
    member.record = record;
    tally(record, true);
    member.since = now;
    member.confirmers.clear();
    if (record.state == State::alive)
        waiting_.erase(record.who.name);
    else
        waiting_.insert(record.who.name);
    if (record.state == State::suspect) {
        member.confirmers.insert(record.by);
        member.deadline = now + suspicion_ceiling();
    } else if (record.state == State::dead || record.state == State::left) {
        member.deadline = now + settings_.dead_keep;
    }
    if (record.state != State::alive)
        earliest_ = std::min(earliest_, member.deadline);
}

void Members::about_self(const Record& record) {
    if (record.start < self_.start) {
        // Somebody still speaks of the run before this one: telling of this run supersedes it.
        spread(self_);
        return;
    }
    if (record.state == State::alive || self_.state == State::left)
        return;
    if (record.incarnation < self_.incarnation) {
        // Refuted already, but whoever sent this has not heard it.
        spread(self_);
        return;
    }
    // Suspected or declared dead at our incarnation: refute by raising it (SWIM), and take it as a sign that
    // we may be the slow one (Lifeguard).
    tally(self_, false);
    self_.incarnation = record.incarnation + 1;
    tally(self_, true);
    spread(self_);
    event(Event::Kind::refute, self_);
    raise_health();
}

void Members::apply(Record record, Time now, bool from_push) {
    if (record.who.name == self_.who.name)
        return about_self(record);
    // A whole view carries old opinions: a death it tells of is taken for a suspicion, which the member can
    // still refute (memberlist does the same).
    if (from_push && record.state == State::dead)
        record.state = State::suspect;
    const auto found = members_.find(record.who.name);
    if (found == members_.end()) {
        if (record.state != State::alive)
            return;  // nobody joins by being suspected
        if (members_.size() >= settings_.most_members) {
            ++counts_.refused;
            return;
        }
        auto& member = members_[record.who.name];
        set(member, record, now);
        event(Event::Kind::join, record);
        soon(now);
        spread(record);
        return;
    }
    auto& member = found->second;
    const Record& now_held = member.record;
    if (record.start < now_held.start)
        return;
    if (record.start > now_held.start) {
        // The same name, a later run: a new member, whatever the old one's incarnation was.
        set(member, record, now);
        event(Event::Kind::rejoin, record);
        soon(now);
        spread(record);
        return;
    }
    const bool ahead = record.incarnation > now_held.incarnation;
    const bool level = record.incarnation == now_held.incarnation;
    switch (record.state) {
        case State::alive: {
            if (!ahead) {
                if (level && now_held.state == State::alive)
                    member.record.who = record.who;
                return;
            }
            const auto was = now_held.state;
            set(member, record, now);
            if (was == State::suspect) {
                ++counts_.refuted;
                event(Event::Kind::refute, record);
            } else if (was == State::dead || was == State::left) {
                event(Event::Kind::alive_again, record);
                soon(now);
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
                earliest_ = std::min(earliest_, member.deadline);
                spread(record);
            }
            return;
        }
        case State::dead:
        case State::left: {
            const bool open = now_held.state == State::alive || now_held.state == State::suspect;
            if (!open || !(ahead || level))
                return;
            set(member, record, now);
            if (record.state == State::dead)
                ++counts_.deaths;
            event(record.state == State::dead ? Event::Kind::dead : Event::Kind::left, record);
            spread(record);
            return;
        }
    }
}

// At most `n` different members alive, drawn at random, without `except`.
std::vector<const Members::Member*> Members::some(std::size_t n, const std::string& except) {
    std::vector<const Member*> out;
    const auto take = [&](const std::string& name) {
        const auto found = members_.find(name);
        if (found != members_.end() && name != except && found->second.record.state == State::alive &&
            std::find(out.begin(), out.end(), &found->second) == out.end())
            out.push_back(&found->second);
    };
    // Drawn from the round of probes, as a rule; looked for one by one only where that finds too few.
    for (std::size_t tries = 0; tries < 4 * n && !round_.empty() && out.size() < n; ++tries)
        take(round_[random_() % round_.size()]);
    if (out.size() >= n)
        return out;
    std::vector<const std::string*> names;
    for (const auto& [name, member] : members_)
        if (member.record.state == State::alive)
            names.push_back(&name);
    std::shuffle(names.begin(), names.end(), random_);
    for (std::size_t i = 0; i < names.size() && out.size() < n; ++i)
        take(*names[i]);
    return out;
}

void Members::end_probe(Time, std::vector<Send>&) {
    if (!probe_ || probe_->done) {
        probe_.reset();
        return;
    }
    // Lifeguard: helpers that did not even send a nack point at our own slowness, not the target's.
    if (probe_->nacks < probe_->nacks_expected)
        raise_health();
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
    while (next_ < round_.size() && !probeable(round_[next_]))
        ++next_;
    if (next_ >= round_.size()) {
        // SWIM's round: every member once, in an order drawn anew each time.
        round_.clear();
        for (const auto& [name, member] : members_)
            if (probeable(name))
                round_.push_back(name);
        std::shuffle(round_.begin(), round_.end(), random_);
        next_ = 0;
    }
    if (round_.empty())
        return;
    const auto& target = members_.at(round_[next_++]);
    auto ping = message(Message::Kind::ping, ++seq_);
    ping.target = target.record.who.name;
    // Lifeguard's buddy: a suspect learns of it from the probe itself, and can refute at once.
    if (target.record.state == State::suspect)
        ping.records.push_back(target.record);
    piggyback(ping);
    probe_ = Probe{target.record.who.name, seq_, now, false, 0, 0, false};
    ++counts_.probes;
    out.push_back({target.record.who.address, std::move(ping)});
}

// A refute may have passed us by, and our round of probes is long in a large fleet: each period one suspect
// is told of its suspicion by us, whatever the round is at. Its answer tells of the refute; silence changes
// nothing.
void Members::recheck(std::vector<Send>& out) {
    std::vector<const Record*> suspects;
    for (const auto& name : waiting_)
        if (const auto& record = members_.at(name).record; record.state == State::suspect)
            suspects.push_back(&record);
    if (suspects.empty())
        return;
    const Record& one = *suspects[random_() % suspects.size()];
    auto ping = message(Message::Kind::ping, ++seq_);
    ping.target = one.who.name;
    ping.records.push_back(one);
    out.push_back({one.who.address, std::move(ping)});
}

void Members::push_pull(std::vector<Send>& out) {
    std::vector<std::string> to;
    if (const auto one = some(1, ""); !one.empty())
        to.push_back(one.front()->record.who.address);
    else if (!seeds_.empty())
        to.push_back(seeds_[random_() % seeds_.size()]);
    // The way back from a partition: both halves hold the other dead, so one of those is asked too.
    std::vector<const std::string*> dead;
    for (const auto& name : waiting_)
        if (const auto& record = members_.at(name).record; record.state == State::dead)
            dead.push_back(&record.who.address);
    if (!dead.empty())
        to.push_back(*dead[random_() % dead.size()]);
    for (const auto& address : to) {
        if (address == self_.who.address)
            continue;
        auto push = message(Message::Kind::push, ++seq_);
        push.digest = digest_;
        ++counts_.pushes;
        out.push_back({address, std::move(push)});
    }
}

std::vector<Send> Members::tick(Time now) {
    std::vector<Send> out;
    if (self_.state == State::left)
        return out;
    if (now - last_call_ > 2 * settings_.probe_interval) {
        // We were not running: what went unanswered meanwhile says nothing of the others.
        const auto gap = now - last_call_;
        ++counts_.stalls;
        raise_health();
        probe_.reset();
        relays_.clear();
        for (const auto& name : waiting_)
            if (auto& member = members_.at(name); member.record.state == State::suspect)
                member.deadline += gap;
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
    const bool due = earliest_ <= now;
    if (due)
        earliest_ = Time::max();
    for (auto it = waiting_.begin(); due && it != waiting_.end();) {
        auto& member = members_.at(*it);
        if (member.deadline > now) {
            earliest_ = std::min(earliest_, member.deadline);
            ++it;
        } else if (member.record.state == State::suspect) {
            Record death = member.record;
            death.state = State::dead;
            death.by = self_.who.name;
            set(member, death, now);
            ++counts_.deaths;
            event(Event::Kind::dead, death);
            spread(death);
            ++it;
        } else {
            event(Event::Kind::forgotten, member.record);
            tally(member.record, false);
            if (const auto retention = ranks_.find(*it); retention != ranks_.end()) {
                rumours_.erase(retention->second);
                ranks_.erase(retention);
            }
            members_.erase(*it);
            it = waiting_.erase(it);
        }
    }

    if (probe_ && !probe_->done && !probe_->asked_others &&
        now >= probe_->sent + stretched(settings_.probe_timeout)) {
        // No direct answer: ask k others to try, each answering either way.
        const auto helpers = some(settings_.indirect_probes, probe_->target);
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
        if (pending_suspicion_)
            apply(*std::exchange(pending_suspicion_, std::nullopt), now, false);
        start_probe(now, out);
        next_probe_ = now + stretched(settings_.probe_interval);
    }
    if (now >= next_recheck_) {
        recheck(out);
        next_recheck_ = now + settings_.probe_interval;
    }
    if (now >= next_gossip_) {
        // What is new does not wait for the next probe; where nothing is, nothing is sent.
        if (!rumours_.empty())
            for (const auto* member : some(settings_.gossip_fanout, "")) {
                auto news = message(Message::Kind::gossip, 0);
                piggyback(news);
                if (!news.records.empty())
                    out.push_back({member->record.who.address, std::move(news)});
            }
        next_gossip_ = now + settings_.probe_interval / 5;
    }
    if (now >= next_push_) {
        push_pull(out);
        // Alone, the seed did not answer or had no room: again soon. Else spread around the period, so that
        // members that started together do not stay in step.
        const auto span = members_.empty() ? settings_.probe_interval : settings_.push_pull_interval;
        next_push_ = now + span * 3 / 4 + within(random_, span / 2);
    }
    return out;
}

std::vector<Send> Members::receive(const Message& in, Time now) {
    std::vector<Send> out;
    if (self_.state == State::left)
        return out;
    if (in.from.empty() || in.from.size() > kLongestName || in.from_address.size() > kLongestAddress ||
        in.target.size() > kLongestName || in.target_address.size() > kLongestAddress ||
        in.records.size() > Message::kMostRecords || in.from == self_.who.name ||
        !std::all_of(in.records.begin(), in.records.end(), [this](const Record& r) { return fits(r); })) {
        ++counts_.refused;
        return out;
    }
    const bool whole = in.kind == Message::Kind::push || in.kind == Message::Kind::pull;
    for (const auto& record : in.records)
        apply(record, now, whole);
    switch (in.kind) {
        case Message::Kind::ping: {
            if (in.target != self_.who.name)
                return out;
            auto ack = message(Message::Kind::ack, in.seq);
            // Who asks is there: if we hold it suspect or dead, it learns so at once and can refute.
            const auto asker = members_.find(in.from);
            if (asker != members_.end() && asker->second.record.start == in.from_start &&
                (asker->second.record.state == State::suspect || asker->second.record.state == State::dead))
                ack.records.push_back(asker->second.record);
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
            if (relays_.size() >= 256 || in.target_address.empty())
                return out;
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
        case Message::Kind::gossip:
            return out;
        case Message::Kind::push: {
            if (!in.digest)
                return out;
            if (far_apart(digest_, *in.digest))
                soon(now);
            auto pull = message(Message::Kind::pull, in.seq);
            pull.digest = digest_;
            pull.records = differing(*in.digest);
            out.push_back({in.from_address, std::move(pull)});
            return out;
        }
        case Message::Kind::pull: {
            if (!in.digest)
                return out;
            if (far_apart(digest_, *in.digest))
                soon(now);
            // What still differs after theirs was applied is what they lack.
            if (digest_ == *in.digest)
                return out;
            auto push = message(Message::Kind::push, ++seq_);
            push.records = differing(*in.digest);
            if (!push.records.empty())
                out.push_back({in.from_address, std::move(push)});
            return out;
        }
    }
    return out;
}

std::vector<Send> Members::leave(Time now) {
    std::vector<Send> out;
    if (self_.state == State::left)
        return out;
    tally(self_, false);
    self_.state = State::left;
    tally(self_, true);
    spread(self_);
    for (const auto* member : some(settings_.indirect_probes + 1, "")) {
        auto ping = message(Message::Kind::ping, ++seq_);
        ping.target = member->record.who.name;
        ping.records.push_back(self_);
        out.push_back({member->record.who.address, std::move(ping)});
    }
    (void)now;
    return out;
}

}  // namespace silverrail::cluster
