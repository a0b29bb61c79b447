#include "cluster/replica.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "cluster/hash.h"

namespace silverrail::cluster {

namespace {

constexpr Time kQuickFor{2000};
// Of one origin's updates in a message; well below what a frame holds.
constexpr std::size_t kMostBytes = 512 << 10;

std::size_t bucket_of(const std::string& origin) {
    return fnv(kFnvBasis, origin) % kBuckets;
}

std::uint64_t mark(const std::string& origin, std::uint64_t number) {
    return number == 0 ? 0 : fnv(fnv(kFnvBasis, origin), number);
}

bool fits(const std::string& key, const Entry& e) {
    return !key.empty() && key.size() <= kLongestKey && e.changed > 0 && e.marks.size() <= kMostMarks &&
           std::all_of(e.marks.begin(), e.marks.end(), [&e](const auto& item) {
               const auto& [origin, mark] = item;
               return !origin.empty() && origin.size() <= kLongestOrigin &&
                      mark.value.size() <= kLongestValue && mark.stamp <= e.changed &&
                      (mark.set > 0 || mark.cleared > 0) &&
                      (mark.live() ? mark.stamp > 0 : mark.value.empty());
           });
}

std::size_t bytes_of(const Update& u) {
    std::size_t bytes = u.key.size() + u.origin.size() + 24;
    for (const auto& [origin, mark] : u.entry.marks)
        bytes += origin.size() + mark.value.size() + 24;
    return bytes;
}

}  // namespace

const char* name_of(ReplicaMessage::Kind kind) {
    switch (kind) {
        case ReplicaMessage::Kind::sum:
            return "sum";
        case ReplicaMessage::Kind::numbers:
            return "numbers";
        case ReplicaMessage::Kind::give:
            return "give";
        case ReplicaMessage::Kind::take:
            return "take";
        case ReplicaMessage::Kind::news:
            return "news";
        case ReplicaMessage::Kind::want:
            return "want";
        case ReplicaMessage::Kind::page:
            return "page";
    }
    return "?";
}

const Mark* Entry::winner() const {
    const Mark* out = nullptr;
    for (const auto& [origin, mark] : marks)
        if (mark.live() && (!out || mark.stamp >= out->stamp))
            out = &mark;
    return out;
}

// What is undone says nothing more but up to where.
static void undo(Mark& mark) {
    mark = {mark.set, std::max(mark.set, mark.cleared), 0, {}};
}

Entry join(const Entry& a, const Entry& b) {
    Entry out = a;
    out.changed = std::max(a.changed, b.changed);
    for (const auto& [origin, theirs] : b.marks) {
        auto& mark = out.marks[origin];
        const auto cleared = std::max(mark.cleared, theirs.cleared);
        if (theirs.set > mark.set)
            mark = theirs;
        mark.cleared = cleared;
        if (!mark.live())
            undo(mark);
    }
    return out;
}

Replica::Replica(std::string name, std::string address, std::string origin, ReplicaSettings settings,
                 std::uint64_t seed, Time now)
    : name_(std::move(name)),
      address_(std::move(address)),
      origin_(std::move(origin)),
      settings_(settings),
      random_(seed),
      next_round_(now + within(random_, settings.interval)) {
    origins_[origin_];
}

void Replica::restore(std::map<std::string, Entry> entries, std::map<std::string, Origin> origins) {
    entries_ = std::move(entries);
    origins_ = std::move(origins);
    origins_[origin_];
    summarise();
    for (const auto& [key, entry] : entries_) {
        last_ = std::max(last_, entry.changed);
        touch(key);
    }
}

void Replica::summarise() {
    summary_ = {};
    for (const auto& [name, origin] : origins_)
        summary_[bucket_of(name)] ^= counted(name, origin);
}

// What an origin adds to the summary.
std::uint64_t Replica::counted(const std::string& name, const Origin& origin) const {
    return settings_.value_keep > 0 && origin.log.empty() ? 0 : mark(name, origin.number);
}

bool Replica::in_force(const std::string& key) const {
    return value(key) != nullptr;
}

const std::string* Replica::value(const std::string& key) const {
    const auto found = entries_.find(key);
    const auto* mark = found == entries_.end() ? nullptr : found->second.winner();
    return mark ? &mark->value : nullptr;
}

Numbers Replica::numbers() const {
    return numbers_in(~std::uint64_t{0});
}

Numbers Replica::numbers_in(std::uint64_t mask) const {
    Numbers out;
    for (const auto& [name, origin] : origins_)
        if (origin.number > 0 && (mask >> bucket_of(name) & 1))
            out.emplace(name, origin.number);
    return out;
}

Replica::Changes Replica::take_changes() {
    return std::exchange(changes_, {});
}
std::set<std::string> Replica::take_touched() {
    return std::exchange(touched_, {});
}

ReplicaMessage Replica::message(ReplicaMessage::Kind kind) const {
    ReplicaMessage out;
    out.kind = kind;
    out.channel = settings_.channel;
    out.from = name_;
    out.from_address = address_;
    return out;
}

// A hybrid logical clock: the wall clock where it is ahead, else one more than the last stamp seen.
Stamp Replica::stamp(UnixMs unix_now) {
    last_ = std::max(last_ + 1, static_cast<Stamp>(unix_now) << 16);
    return last_;
}

bool Replica::known(const std::string& origin, std::uint64_t number) const {
    const auto found = origins_.find(origin);
    return found != origins_.end() && number <= found->second.number;
}

Replica::Merged Replica::merge(const std::string& key, const Entry& incoming) {
    Merged out;
    last_ = std::max(last_, incoming.changed);
    const auto found = entries_.find(key);
    // Guards against what was undone and forgotten here: it was seen, and no mark of it is held.
    Entry entry = incoming;
    out.partial = std::erase_if(entry.marks, [&](const auto& item) {
                      return known(item.first, std::max(item.second.set, item.second.cleared)) &&
                             (found == entries_.end() || !found->second.marks.contains(item.first));
                  }) > 0;
    if (entry.marks.empty())
        return out;
    Entry joined = found == entries_.end() ? entry : join(found->second, entry);
    if (joined.marks.size() > kMostMarks ||
        (found == entries_.end() && entries_.size() >= settings_.most_entries)) {
        out.held = false;
        return out;
    }
    if (found != entries_.end() && joined == found->second)
        return out;
    entries_[key] = std::move(joined);
    changes_.keys.insert(key);
    touch(key);
    heard_change_ = true;
    out.changed = true;
    return out;
}

void Replica::advance(const std::string& name, Origin& origin, std::uint64_t number) {
    if (number <= origin.number)
        return;
    origin.number = number;
    origin.advanced = unix_of(last_);
    changes_.origins.insert(name);
}

void Replica::number(const std::string& name, std::uint64_t number, const std::string& key, bool partial) {
    auto& origin = origins_[name];
    auto& sum = summary_[bucket_of(name)];
    sum ^= counted(name, origin);
    record(name, origin, number, key, partial);
    sum ^= counted(name, origin);
}

void Replica::record(const std::string& name, Origin& origin, std::uint64_t number, const std::string& key,
                     bool partial) {
    const bool gone = !entries_.contains(key);
    if (gone || partial) {
        origin.forgotten = std::max(origin.forgotten, number);
        changes_.origins.insert(name);
    }
    if (gone)
        return advance(name, origin, number);
    const auto [at, fresh] = origin.where.try_emplace(key, number);
    if (!fresh) {
        if (at->second >= number)
            return;
        origin.log.erase(at->second);  // a later change of the same key by the same origin stands for it
        at->second = number;
    }
    origin.log[number] = key;
    changes_.log.emplace(name, key);
    advance(name, origin, number);
}

bool Replica::change(const std::string& key, const Entry& entry) {
    if (!cluster::fits(key, entry) || !merge(key, entry).held)
        return false;
    const auto next = origins_[origin_].number + 1;
    number(origin_, next, key, false);
    news_.push_back({origin_, next, key, entries_.at(key)});
    return true;
}

bool Replica::set(const std::string& key, const std::string& value, UnixMs unix_now) {
    Entry entry;
    if (const auto found = entries_.find(key); found != entries_.end())
        entry = found->second;
    for (auto& [origin, mark] : entry.marks)
        undo(mark);
    entry.changed = stamp(unix_now);
    auto& own = entry.marks[origin_];
    own = {origins_[origin_].number + 1, own.cleared, entry.changed, value};
    return change(key, entry);
}

bool Replica::clear(const std::string& key, UnixMs unix_now) {
    const auto found = entries_.find(key);
    if (found == entries_.end() || !found->second.in_force())
        return true;  // nothing to undo
    Entry entry = found->second;
    entry.changed = stamp(unix_now);
    for (auto& [origin, mark] : entry.marks)
        undo(mark);
    return change(key, entry);
}

bool Replica::too_far_ahead(const Entry& entry, UnixMs unix_now) const {
    return unix_of(entry.changed) > unix_now + settings_.most_ahead;
}

// Applies what came in. An update counts as held only if nothing between it and what is held was left out.
void Replica::take(const ReplicaMessage& in, UnixMs unix_now) {
    std::set<std::string> stopped;  // origins of which nothing further of this message counts
    std::vector<std::pair<const Update*, bool>> counted;
    for (const auto& u : in.updates) {
        const auto known = origins_.find(u.origin);
        if (known == origins_.end() && origins_.size() >= settings_.most_origins) {
            ++counts_.refused;
            continue;
        }
        // Guards against a replay: what was held once may have been cleared and forgotten since.
        if (known != origins_.end() && u.number <= known->second.number) {
            ++counts_.duplicates;
            continue;
        }
        if (stopped.contains(u.origin))
            continue;
        if (too_far_ahead(u.entry, unix_now)) {
            // Not held, so it comes again, when our clock may have caught up.
            ++counts_.ahead;
            stopped.insert(u.origin);
            continue;
        }
        const auto merged = merge(u.key, u.entry);
        if (!merged.held) {
            ++counts_.refused;
            stopped.insert(u.origin);
            continue;
        }
        ++counts_.applied;
        if (in.kind == ReplicaMessage::Kind::news) {
            if (merged.changed && news_.size() < 256)
                news_.push_back(u);  // told on, once
            continue;
        }
        const auto base = in.after.find(u.origin);
        const auto have = known == origins_.end() ? 0 : known->second.number;
        if (base == in.after.end() || base->second > have) {
            stopped.insert(u.origin);  // something before it is missing here: applied, not counted
            continue;
        }
        counted.emplace_back(&u, merged.partial);
    }
    // Only now: until all of an origin's changes are in, its numbers vouch for none of them.
    for (const auto& [u, partial] : counted)
        number(u->origin, u->number, u->key, partial);
}

// What the other lacks, of the origins in the mask: of each in the order of its numbers, so that the highest
// stands for all; the origin with the newest change first, as many origins as the round's budget holds, at
// least one.
void Replica::give(const ReplicaMessage& in, ReplicaMessage& out) const {
    std::vector<std::pair<Stamp, const std::pair<const std::string, Origin>*>> order;
    for (const auto& item : origins_) {
        const auto& [name, origin] = item;
        if (!(in.mask >> bucket_of(name) & 1))
            continue;
        const auto theirs = in.numbers.find(name);
        const auto have = theirs == in.numbers.end() ? 0 : theirs->second;
        if (have >= origin.number)
            continue;
        // Of what ages nothing is left of it here, and the other's copies end by the clock.
        if (settings_.value_keep > 0 && origin.log.empty())
            continue;
        if (have < origin.forgotten) {
            out.too_old = true;
            continue;
        }
        if (!origin.log.empty())
            order.emplace_back(entries_.at(origin.log.rbegin()->second).changed, &item);
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second->first < b.second->first;
    });
    std::size_t bytes = 0;
    for (const auto& [stamp, item] : order) {
        const auto theirs = in.numbers.find(item->first);
        const auto have = theirs == in.numbers.end() ? 0 : theirs->second;
        // An origin whole or not at all: a change whose key the origin changed again later stands at the
        // later number only, so that half of the numbers would claim what was not sent.
        std::vector<Update> whole;
        std::size_t size = 0;
        for (auto at = item->second.log.upper_bound(have); at != item->second.log.end(); ++at) {
            whole.push_back({item->first, at->first, at->second, entries_.at(at->second)});
            size += bytes_of(whole.back());
        }
        if (whole.size() > ReplicaMessage::kMostUpdates || size > kMostBytes) {
            out.too_old = true;  // fetched by pages
            continue;
        }
        if (!out.updates.empty() && (bytes + size > settings_.round_bytes ||
                                     out.updates.size() + whole.size() > ReplicaMessage::kMostUpdates)) {
            out.last = false;
            return;
        }
        bytes += size;
        out.after[item->first] = have;
        std::move(whole.begin(), whole.end(), std::back_inserter(out.updates));
    }
}

// Marks undone for long, and live ones where values have a time, go; the numbers that a key had are marked as
// forgotten when it goes, so that whoever has not seen them is given a full copy instead of a gap.
void Replica::forget(UnixMs unix_now) {
    for (auto it = entries_.begin(); it != entries_.end();) {
        auto& entry = it->second;
        const auto age = unix_now - unix_of(entry.changed);
        bool undone = false, any = false;
        std::erase_if(entry.marks, [&](const auto& item) {
            const auto& [origin, mark] = item;
            // Everybody lets go of an aged value by the clock. What is undone goes only once its set was seen
            // here: coming later, it would be in force; where values age it would be past its time.
            const bool ages = settings_.value_keep > 0;
            const bool go = mark.live()
                                ? ages && unix_now - unix_of(mark.stamp) > settings_.value_keep
                                : age > settings_.tombstone_keep &&
                                      (known(origin, mark.cleared) || (ages && age > settings_.value_keep));
            any |= go;
            undone |= go && !mark.live();
            return go;
        });
        if (any) {
            changes_.keys.insert(it->first);
            touch(it->first);
        }
        const bool gone = entry.marks.empty();
        for (auto& [name, origin] : origins_) {
            if (!gone && !undone)
                break;
            const auto at = origin.where.find(it->first);
            if (at == origin.where.end())
                continue;
            origin.forgotten = std::max(origin.forgotten, at->second);
            if (gone) {
                changes_.log.emplace(name, it->first);
                origin.log.erase(at->second);
                origin.where.erase(at);
            }
            changes_.origins.insert(name);
        }
        if (!gone) {
            ++it;
            continue;
        }
        ++counts_.forgotten;
        it = entries_.erase(it);
    }
    if (settings_.value_keep == 0)
        return;
    // Guards the bound on origins: of runs that ended nothing else would ever go.
    std::erase_if(origins_, [&](const auto& item) {
        const auto& [name, origin] = item;
        return name != origin_ && origin.log.empty() && unix_now - origin.advanced > settings_.origin_keep;
    });
    std::erase_if(heard_, [this](const auto& item) { return !origins_.contains(item.first); });
    summarise();
}

std::vector<ReplicaSend> Replica::tick(Time now, UnixMs unix_now, const std::vector<std::string>& peers) {
    std::vector<ReplicaSend> out;
    if (unix_now >= next_forget_) {
        forget(unix_now);
        next_forget_ =
            unix_now + std::max<UnixMs>(1, std::min(settings_.tombstone_keep / 20, UnixMs{60'000}));
    }
    if (std::exchange(heard_change_, false) && settings_.quick > Time{0}) {
        quick_until_ = now + kQuickFor;
        next_round_ = std::min(next_round_, now + within(random_, settings_.quick));
    }
    const auto news = std::exchange(news_, {});
    if (peers.empty())
        return out;
    for (const auto& update : news) {
        // Each to a few, drawn anew; who is missed is reached by the rounds.
        std::set<std::size_t> to;
        for (std::size_t i = 0; i < settings_.news_fanout; ++i)
            to.insert(random_() % peers.size());
        for (const auto i : to) {
            auto m = message(ReplicaMessage::Kind::news);
            m.updates.push_back(update);
            out.push_back({peers[i], std::move(m)});
        }
    }
    if (copy_ && now - copy_->since > 10 * settings_.interval)
        copy_.reset();  // its giver is gone
    if (now >= next_round_) {
        next_round_ =
            now + (now < quick_until_ ? std::min(settings_.quick, settings_.interval) : settings_.interval);
        ++counts_.rounds;
        auto sum = message(ReplicaMessage::Kind::sum);
        sum.summary = summary_;
        out.push_back({peers[random_() % peers.size()], std::move(sum)});
    }
    return out;
}

std::vector<ReplicaSend> Replica::receive(const ReplicaMessage& in, Time now, UnixMs unix_now) {
    std::vector<ReplicaSend> out;
    const auto bad_update = [&in](const Update& u) {
        // In a page a key may stand without an origin.
        const bool numbered = !u.origin.empty() && u.number > 0;
        return !cluster::fits(u.key, u.entry) || u.origin.size() > kLongestOrigin ||
               (!numbered && in.kind != ReplicaMessage::Kind::page);
    };
    const auto bad_numbers = [](const Numbers& numbers) {
        return numbers.size() > ReplicaMessage::kMostNumbers ||
               std::any_of(numbers.begin(), numbers.end(),
                           [](const auto& n) { return n.first.empty() || n.first.size() > kLongestOrigin; });
    };
    if (in.channel != settings_.channel || in.from.empty() || in.from == name_ ||
        in.from.size() > kLongestName || in.from_address.size() > kLongestAddress ||
        in.cursor.size() > kLongestKey || in.updates.size() > ReplicaMessage::kMostUpdates ||
        bad_numbers(in.numbers) || bad_numbers(in.after) ||
        std::any_of(in.updates.begin(), in.updates.end(), bad_update)) {
        ++counts_.refused;
        return out;
    }
    for (const auto& [origin, number] : in.numbers) {
        if (heard_.size() >= settings_.most_origins && !heard_.contains(origin))
            continue;
        auto& highest = heard_[origin];
        highest = std::max(highest, number);
    }
    const auto answer = [&](ReplicaMessage m) {
        counts_.sent += m.updates.size();
        out.push_back({in.from_address, std::move(m)});
    };
    const auto fetch_if_too_old = [&] {
        if (!in.too_old || copy_)
            return;
        copy_ = Copy{in.from, {}, {}, {}, {}, now};
        answer(message(ReplicaMessage::Kind::want));
    };
    switch (in.kind) {
        case ReplicaMessage::Kind::sum: {
            auto m = message(ReplicaMessage::Kind::numbers);
            for (std::size_t i = 0; i < kBuckets; ++i)
                if (in.summary[i] != summary_[i])
                    m.mask |= std::uint64_t{1} << i;
            if (m.mask == 0)
                return out;
            m.numbers = numbers_in(m.mask);
            answer(std::move(m));
            return out;
        }
        case ReplicaMessage::Kind::numbers: {
            auto m = message(ReplicaMessage::Kind::give);
            give(in, m);
            m.mask = in.mask;
            m.numbers = numbers_in(in.mask);
            if (!m.last)
                next_round_ = now;
            answer(std::move(m));
            return out;
        }
        case ReplicaMessage::Kind::give: {
            take(in, unix_now);
            auto m = message(ReplicaMessage::Kind::take);
            give(in, m);
            // The other's too_old is for us to act on, ours for it.
            if (!m.updates.empty() || m.too_old)
                answer(std::move(m));
            fetch_if_too_old();
            return out;
        }
        case ReplicaMessage::Kind::take:
            take(in, unix_now);
            if (!in.last)
                next_round_ = now;
            fetch_if_too_old();
            return out;
        case ReplicaMessage::Kind::news:
            take(in, unix_now);
            return out;
        case ReplicaMessage::Kind::want:
            answer(page(in.cursor));
            return out;
        case ReplicaMessage::Kind::page:
            if (copy_ && in.from == copy_->from && in.cursor == copy_->cursor) {
                copy_->since = now;
                take_page(in, unix_now, out);
            }
            return out;
    }
    return out;
}

// A page of all there is, in the order of keys: each key under every origin whose log names it.
ReplicaMessage Replica::page(const std::string& cursor) const {
    auto m = message(ReplicaMessage::Kind::page);
    m.cursor = cursor;
    if (cursor.empty())
        m.numbers = numbers();
    // With each page: who takes them begins anew if it changed meanwhile.
    for (const auto& [name, origin] : origins_)
        if (origin.forgotten > 0)
            m.after.emplace(name, origin.forgotten);
    std::size_t bytes = 0;
    for (auto it = entries_.upper_bound(cursor); it != entries_.end(); ++it) {
        std::vector<Update> of_key;
        for (const auto& [name, origin] : origins_)
            if (const auto at = origin.where.find(it->first); at != origin.where.end())
                of_key.push_back({name, at->second, it->first, it->second});
        if (of_key.empty())
            of_key.push_back({{}, 0, it->first, it->second});
        for (const auto& u : of_key)
            bytes += bytes_of(u);
        if (!m.updates.empty() && (bytes > settings_.round_bytes ||
                                   m.updates.size() + of_key.size() > ReplicaMessage::kMostUpdates)) {
            m.last = false;
            break;
        }
        for (auto& u : of_key)
            m.updates.push_back(std::move(u));
    }
    return m;
}

void Replica::take_page(const ReplicaMessage& in, UnixMs unix_now, std::vector<ReplicaSend>& out) {
    if (in.cursor.empty()) {
        copy_->numbers = in.numbers;
        copy_->forgotten = in.after;
    } else if (copy_->forgotten != in.after) {
        // The giver forgot something between two pages: it may be missing although the numbers of the first
        // page do not vouch for it. From the start again in a later round.
        copy_.reset();
        return;
    }
    for (const auto& u : in.updates) {
        if (too_far_ahead(u.entry, unix_now) || copy_->updates.size() >= 4 * settings_.most_entries) {
            ++counts_.ahead;  // not to be had whole now: again in a later round
            copy_.reset();
            return;
        }
        copy_->updates.push_back(u);
    }
    if (!in.last && !in.updates.empty()) {
        copy_->cursor = in.updates.back().key;
        auto want = message(ReplicaMessage::Kind::want);
        want.cursor = copy_->cursor;
        out.push_back({in.from_address, std::move(want)});
        return;
    }
    replace();
}

// The full copy takes the place of all we held, but for what its giver had not seen: what we hold and it does
// not, although it has seen it set, was cleared and forgotten while we were away; and the other way round.
void Replica::replace() {
    const Copy copy = std::move(*copy_);
    copy_.reset();
    std::map<std::string, const Entry*> theirs;
    std::set<std::string> partial;
    for (const auto& u : copy.updates) {
        theirs[u.key] = &u.entry;
        if (merge(u.key, u.entry).partial)
            partial.insert(u.key);  // what we have seen and forgotten ourselves
    }
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto there = theirs.find(it->first);
        std::erase_if(it->second.marks, [&](const auto& item) {
            const auto seen = copy.numbers.find(item.first);
            return (there == theirs.end() || !there->second->marks.contains(item.first)) &&
                   seen != copy.numbers.end() && item.second.set <= seen->second;
        });
        touch(it->first);
        it = it->second.marks.empty() ? entries_.erase(it) : std::next(it);
    }
    for (const auto& [name, number] : copy.numbers) {
        if (origins_.size() >= settings_.most_origins && !origins_.contains(name))
            continue;
        auto& origin = origins_[name];
        if (number > origin.number)
            origin.advanced = unix_of(last_);
        origin.number = std::max(origin.number, number);
    }
    for (const auto& u : copy.updates) {
        const auto origin = origins_.find(u.origin);
        // What the giver learned while it gave comes by its number, in a round.
        if (origin != origins_.end() && u.number <= origin->second.number && entries_.contains(u.key))
            number(u.origin, u.number, u.key, partial.contains(u.key));
    }
    for (auto& [name, origin] : origins_) {
        if (const auto f = copy.forgotten.find(name); f != copy.forgotten.end())
            origin.forgotten = std::max(origin.forgotten, f->second);
        for (const auto& [number, key] : origin.log)
            if (!entries_.contains(key))
                origin.forgotten = std::max(origin.forgotten, number);
        std::erase_if(origin.log, [this](const auto& item) { return !entries_.contains(item.second); });
        std::erase_if(origin.where, [this](const auto& item) { return !entries_.contains(item.first); });
    }
    summarise();
    changes_.all = true;
    ++counts_.full_copies;
}

}  // namespace silverrail::cluster
