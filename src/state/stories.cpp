#include "state/stories.h"

#include <algorithm>

namespace silverrail::state {

std::unique_ptr<Story> Stories::fresh() {
    if (spare_.empty())
        return std::make_unique<Story>();
    auto story = std::move(spare_.back());
    spare_.pop_back();
    auto attempts = std::move(story->attempts);
    *story = {};
    attempts.clear();
    story->attempts = std::move(attempts);
    return story;
}

Story* Stories::find(std::uint32_t source, std::uint64_t call) {
    const auto at = open_.find({source, call});
    return at == open_.end() ? nullptr : at->second.get();
}

Story& Stories::story(std::uint32_t source, std::uint64_t call) {
    if (Story* s = find(source, call))
        return *s;
    if (open_.size() >= kMostOpen) {
        // Its end has been lost; which one goes does not matter to the sums, but it is told.
        ++given_up_;
        over_(*open_.begin()->second);
        open_.erase(open_.begin());
    }
    auto& slot = open_[{source, call}];
    slot = fresh();
    slot->source = source;
    slot->call = call;
    return *slot;
}

AttemptStory* Stories::attempt(Story& s, std::uint64_t number) {
    for (AttemptStory& a : s.attempts)
        if (a.number == number)
            return &a;
    if (s.attempts.size() >= kMostAttempts)
        return nullptr;
    s.attempts.emplace_back().number = number;
    return &s.attempts.back();
}

void Stories::drop_if_over(Key key) {
    const auto at = open_.find(key);
    const Story& s = *at->second;
    if (s.closed_at == kNoTime)
        return;
    for (const AttemptStory& a : s.attempts)
        if (a.ended_at == kNoTime)
            return;
    over_(s);
    spare_.push_back(std::move(at->second));
    open_.erase(at);
}

void Stories::take(const Record& record, bool held) {
    const std::uint32_t source = record.source;
    if (const auto* taken = std::get_if<Taken>(&record.body)) {
        // The number of a call that is open: its end is missing. A router counts anew after a restart.
        if (Story* old = find(source, taken->call)) {
            over_(*old);
            open_.erase({source, taken->call});
        }
        Story& s = story(source, taken->call);
        s.taken_at = record.at;
        s.before = held;
        s.taken = *taken;
        s.trace = taken->trace;
        s.client = taken->client;
        s.has_copy = !taken->have.empty();
        s.taken.trace = s.taken.client = s.taken.have = {};
    } else if (const auto* sent = std::get_if<Sent>(&record.body)) {
        AttemptStory* a = attempt(story(source, sent->call), sent->attempt);
        if (!a)
            return;
        a->sent_at = record.at;
        a->target = sent->target;
        a->fills = sent->fills;
        a->source = sent->source;
        a->retention = sent->retention;
        a->oldest = sent->oldest;
        a->timeout = sent->timeout;
        a->only_if_cached = sent->only_if_cached;
    } else if (const auto* byte = std::get_if<FirstByte>(&record.body)) {
        if (AttemptStory* a = attempt(story(source, byte->call), byte->attempt)) {
            a->first_byte_at = record.at;
            a->verdict = byte->verdict;
        }
    } else if (const auto* ended = std::get_if<Ended>(&record.body)) {
        if (AttemptStory* a = attempt(story(source, ended->call), ended->attempt)) {
            a->ended_at = record.at;
            a->attempt_status = ended->attempt_status;
            a->cache_status = ended->cache_status;
            a->took = ended->took;
            a->source_wait = ended->source_wait;
        }
        drop_if_over({source, ended->call});
    } else if (const auto* refused = std::get_if<Refused>(&record.body)) {
        story(source, refused->call).refused_at = record.at;
    } else if (const auto* failed = std::get_if<GivenUp>(&record.body)) {
        story(source, failed->call).given_up = true;
    } else if (const auto* abandoned = std::get_if<ClientClosed>(&record.body)) {
        Story& s = story(source, abandoned->call);
        // The guard of the deadline answers first and tells the module so afterwards.
        if (s.closed_at == kNoTime) {
            s.closed_at = record.at;
            s.abandoned = true;
        }
        drop_if_over({source, abandoned->call});
    } else if (const auto* answered = std::get_if<Answered>(&record.body)) {
        Story& s = story(source, answered->call);
        s.closed_at = record.at;
        s.abandoned = false;
        s.kind = answered->kind;
        s.timed_out = answered->timed_out;
        s.hold_off = answered->hold_off;
        s.bytes = answered->bytes;
        s.made_unix_ms = answered->made_unix_ms;
        s.server = answered->server;
        drop_if_over({source, answered->call});
    }
}

void Stories::end() {
    // In the order in which they came, so that the same trace gives the same listing.
    std::vector<const Story*> rest;
    for (const auto& [key, s] : open_)
        rest.push_back(s.get());
    std::sort(rest.begin(), rest.end(), [](const Story* a, const Story* b) {
        return std::pair{a->source, a->call} < std::pair{b->source, b->call};
    });
    for (const Story* s : rest)
        over_(*s);
    open_.clear();
}

}  // namespace silverrail::state
