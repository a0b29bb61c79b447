#include "trace/replay.h"

#include <cmath>
#include <utility>

namespace silverrail::trace {

using namespace silverrail::routing;

namespace {

using Difference = Replay::Difference;

constexpr std::size_t kMostClasses = 65536;  // calls whose class is remembered, for naming a difference

Time time_of(std::int64_t ns) {
    return Time{Span{ns}};
}

std::optional<double> figure(double v) {
    return std::isnan(v) ? std::nullopt : std::optional{v};
}

std::uint64_t request_of(const Action& action) {
    return std::visit(
        []<class A>(const A& a) -> std::uint64_t {
            if constexpr (std::is_same_v<A, SetTimer>)
                return 0;
            else
                return static_cast<std::uint64_t>(a.request);
        },
        action);
}

std::string milliseconds(Span span) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f ms", std::chrono::duration<double, std::milli>(span).count());
    return text;
}

std::string words(const Action* action) {
    if (!action)
        return "nothing";
    struct {
        std::string operator()(const Send& s) const {
            std::string text = "send to " + s.target.address;
            if (s.fill) {
                text += s.fill->source == s.target ? ", no fill" : ", filled from " + s.fill->source.address;
                text += ", rank " + std::to_string(static_cast<int>(s.fill->retention));
                if (s.fill->max_age > Span{})
                    text += ", no older than " + milliseconds(s.fill->max_age);
                if (s.fill->coalesce)
                    text += ", join";
                if (s.fill->revalidate)
                    text += ", renew";
                if (s.fill->only_if_cached)
                    text += ", held only";
            } else {
                text += ", a plain look";
            }
            if (s.timeout > Span{})
                text += ", for " + milliseconds(s.timeout);
            return text;
        }
        std::string operator()(const Cancel& c) const {
            return "cancel attempt " + std::to_string(c.attempt);
        }
        std::string operator()(const Reject& r) const {
            return "refuse for " + milliseconds(r.retry_after);
        }
        std::string operator()(const Fail&) const {
            return "fail";
        }
        std::string operator()(const SetTimer& t) const {
            return "timer " + std::to_string(static_cast<std::uint64_t>(t.id)) + " after " +
                   milliseconds(t.after);
        }
    } visitor;
    return std::visit(visitor, *action);
}

bool same_fill(const std::optional<Fill>& a, const std::optional<Fill>& b) {
    if (a.has_value() != b.has_value())
        return false;
    return !a || (a->source == b->source && a->retention == b->retention && a->max_age == b->max_age &&
                  a->coalesce == b->coalesce && a->revalidate == b->revalidate &&
                  a->only_if_cached == b->only_if_cached);
}

// Absent: they are the same.
std::optional<Difference> difference(const Action& then, const Action& now) {
    const bool then_sends = std::holds_alternative<Send>(then);
    const bool now_sends = std::holds_alternative<Send>(now);
    const auto turns_away = [](const Action& a) {
        return std::holds_alternative<Reject>(a) || std::holds_alternative<Fail>(a);
    };
    if (then_sends && now_sends) {
        const Send& a = std::get<Send>(then);
        const Send& b = std::get<Send>(now);
        if (a.request != b.request || a.target != b.target)
            return Difference::other_target;
        if (!same_fill(a.fill, b.fill))
            return Difference::other_fill;
        if (a.timeout != b.timeout)
            return Difference::other_timeout;
        return std::nullopt;
    }
    if (then_sends && turns_away(now))
        return Difference::stops_instead;
    if (now_sends && turns_away(then))
        return Difference::sends_instead;
    if (then.index() != now.index()) {
        if (turns_away(then) && turns_away(now))
            return Difference::other_refusal;
        return Difference::other_count;
    }
    if (const auto* a = std::get_if<Cancel>(&then)) {
        const Cancel& b = std::get<Cancel>(now);
        if (a->request != b.request || a->attempt != b.attempt)
            return Difference::other_cancel;
    } else if (const auto* r = std::get_if<Reject>(&then)) {
        const Reject& b = std::get<Reject>(now);
        if (r->request != b.request || r->retry_after != b.retry_after)
            return Difference::other_refusal;
    } else if (const auto* f = std::get_if<Fail>(&then)) {
        if (f->request != std::get<Fail>(now).request)
            return Difference::other_refusal;
    } else if (const auto* t = std::get_if<SetTimer>(&then)) {
        const SetTimer& b = std::get<SetTimer>(now);
        if (t->id != b.id || t->after != b.after)
            return Difference::other_timer;
    }
    return std::nullopt;
}

}  // namespace

const char* Replay::name_of(Difference difference) {
    static constexpr std::array<const char*, kDifferences> kNames{"other target",
                                                                  "other fill",
                                                                  "other time-out",
                                                                  "sends instead of turning away",
                                                                  "turns away instead of sending",
                                                                  "other refusal",
                                                                  "other cancel",
                                                                  "other timer",
                                                                  "said more or less"};
    return kNames[static_cast<std::size_t>(difference)];
}

Replay::Replay(SettingsOf settings_of, bool go_on) : settings_of_(std::move(settings_of)), go_on_(go_on) {}

bool Replay::take(const model::Record& record) {
    if (stopped_ || (first_ && !go_on_))
        return false;
    if (const auto* start = std::get_if<model::RouterStarted>(&record.body)) {
        if (const auto before = routers_.find(record.router_index); before != routers_.end())
            compare(record.router_index, before->second);
        Router r;
        r.settings = settings_of_(start->settings);
        r.module = std::make_unique<routing::Router>(r.settings, start->seed);
        routers_.insert_or_assign(record.router_index, std::move(r));
        return true;
    }
    const auto at = routers_.find(record.router_index);
    if (at == routers_.end()) {
        if (std::holds_alternative<model::ClockSample>(record.body))
            return true;
        stopped_ = "it begins after its router's start: what the module knew then is not in it";
        return false;
    }
    Router& r = at->second;
    const auto say = [&r](Action action) {
        r.recorded.push_back(std::move(action));
    };
    const auto id = [](std::uint64_t request) {
        return RequestId{request};
    };
    if (const auto* t = std::get_if<model::RequestReceived>(&record.body)) {
        if (t->request == 0)
            return true;  // the module was not told
        if (t->class_index >= r.settings.classes.size()) {
            stopped_ = "a call of a class that the settings do not know";
            return false;
        }
        Request q;
        q.id = id(t->request);
        q.class_index = t->class_index;
        q.object = ObjectId{t->object};
        q.group = t->group_known ? GroupId{t->group} : GroupId{~std::uint64_t{0}};
        q.segment = static_cast<std::uint32_t>(t->part);
        q.size_kb = t->size_kb;
        q.deadline = time_of(record.at + t->time_to_deadline);
        q.redirected = t->redirected;
        compare(record.router_index, r);
        if (r.classes.size() >= kMostClasses)
            r.classes.erase(r.classes.begin());
        r.classes[t->request] = t->class_index;
        tell(record.router_index, r, q, record.at, t->request);
    } else if (const auto* e = std::get_if<model::AttemptEnded>(&record.body)) {
        Outcome o;
        o.request = id(e->request);
        o.attempt = static_cast<std::uint32_t>(e->attempt);
        o.attempt_status = static_cast<AttemptStatus>(e->attempt_status);
        o.cache_status = static_cast<CacheStatus>(e->cache_status);
        o.request_completed = e->over;
        o.duration = Span{e->duration};
        o.source_wait = Span{e->fill_wait};
        o.load = {figure(e->in_flight), figure(e->utilisation), figure(e->hit_share),
                  figure(e->link_utilisation)};
        tell(record.router_index, r, o, record.at, e->request);
    } else if (const auto* a = std::get_if<model::ClientClosed>(&record.body)) {
        tell(record.router_index, r, routing::ClientClosed{id(a->request)}, record.at, a->request);
    } else if (const auto* f = std::get_if<model::TimerFired>(&record.body)) {
        tell(record.router_index, r, Timer{TimerId{f->timer}}, record.at, 0);
    } else if (const auto* p = std::get_if<model::PurgeReceived>(&record.body)) {
        routing::Purge purge{std::nullopt, GroupId{p->group}, Span{p->age}};
        if (!p->whole_group)
            purge.object = ObjectId{p->object};
        tell(record.router_index, r, purge, record.at, 0);
    } else if (const auto* l = std::get_if<model::ServerListChanged>(&record.body)) {
        compare(record.router_index, r);
        r.list = {l->complete, {}};
        r.entries = l->entries;
        if (r.entries == 0)
            tell(record.router_index, r, std::exchange(r.list, {}), record.at, 0);
    } else if (const auto* n = std::get_if<model::ServerListEntry>(&record.body)) {
        if (r.entries == 0)
            return true;
        ListedServer c;
        c.id.address = n->id;
        c.condition = static_cast<Condition>(n->condition);
        c.weight = n->weight;
        c.cell = CellId{n->cell};
        c.zone = n->zone;
        c.kind = n->kind;
        if (n->started_at != model::kNoTime)
            c.started_at = time_of(n->started_at);
        r.list.servers.push_back(std::move(c));
        if (--r.entries == 0)
            tell(record.router_index, r, std::exchange(r.list, {}), record.at, 0);
    } else if (const auto* s = std::get_if<model::AttemptSent>(&record.body)) {
        Send send{id(s->request), ServerId{std::string{s->target}}, Span{s->timeout}, std::nullopt};
        if (s->fills)
            send.fill = Fill{ServerId{std::string{s->fill_source}},
                             static_cast<RetentionPriority>(s->retention),
                             Span{s->max_age},
                             s->join,
                             s->revalidate,
                             s->only_if_cached};
        say(std::move(send));
    } else if (const auto* c = std::get_if<model::AttemptCancelled>(&record.body)) {
        say(Cancel{id(c->request), static_cast<std::uint32_t>(c->attempt)});
    } else if (const auto* f2 = std::get_if<model::RequestRejected>(&record.body)) {
        say(Reject{id(f2->request), Span{f2->retry_after}});
    } else if (const auto* g = std::get_if<model::RequestFailed>(&record.body)) {
        say(Fail{id(g->request)});
    } else if (const auto* t2 = std::get_if<model::TimerSet>(&record.body)) {
        say(SetTimer{TimerId{t2->timer}, Span{t2->after}});
    } else if (const auto* gap = std::get_if<model::Gap>(&record.body)) {
        // What was said to the last event may be among what is missing: it can't be compared.
        r.comparing = false;
        stopped_ =
            std::to_string(gap->records) + " records are missing here: what the module was told is not whole";
        return false;
    }
    return !(first_ && !go_on_);
}

void Replay::end(bool whole) {
    for (auto& [source, r] : routers_)
        if (whole)
            compare(source, r);
}

void Replay::tell(std::uint32_t source, Router& r, const Event& event, std::int64_t at,
                  std::uint64_t request) {
    compare(source, r);
    if (first_ && !go_on_)
        return;
    ++events_;
    r.at = at;
    r.request = request;
    r.said = r.module->on(event, time_of(at));
    r.comparing = true;
}

// The event before this one is through: everything that was said to it has been read.
void Replay::compare(std::uint32_t source, Router& r) {
    if (!r.comparing) {
        r.recorded.clear();
        return;
    }
    r.comparing = false;
    const std::size_t both = std::min(r.said.size(), r.recorded.size());
    decisions_ += r.recorded.size();
    bool found = false;
    for (std::size_t i = 0; i < both && !found; ++i)
        if (const auto d = difference(r.recorded[i], r.said[i])) {
            differ(source, r, *d, &r.recorded[i], &r.said[i]);
            found = true;
        }
    if (!found && r.said.size() != r.recorded.size())
        differ(source, r, Difference::other_count, both < r.recorded.size() ? &r.recorded[both] : nullptr,
               both < r.said.size() ? &r.said[both] : nullptr);
    r.recorded.clear();
    r.said.clear();
}

void Replay::differ(std::uint32_t source, Router& r, Difference d, const Action* then, const Action* now) {
    ++differences_;
    std::uint64_t request = r.request;
    if (then && request_of(*then) != 0)
        request = request_of(*then);
    else if (now && request_of(*now) != 0)
        request = request_of(*now);
    const auto at = r.classes.find(request);
    const std::size_t class_index = at == r.classes.end() ? r.settings.classes.size() : at->second;
    const std::string name =
        class_index < r.settings.classes.size() ? r.settings.classes[class_index].name : "(none)";
    ++sums_[{name, d}];
    if (!first_)
        first_ = Found{d, events_, r.at, source, request, class_index, words(then), words(now)};
}

}  // namespace silverrail::trace
