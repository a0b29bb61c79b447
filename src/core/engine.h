// Leads calls through the stages and owns the invariant: one final answer per call, by its deadline.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>

#include "core/admit.h"
#include "core/book.h"
#include "core/guard.h"
#include "core/hold.h"
#include "core/observer.h"
#include "core/relay.h"
#include "core/route.h"
#include "core/send.h"
#include "core/take_in.h"
#include "core/unix_time.h"
#include "log/log.h"

namespace silverrail::core {

class Engine : private AttemptEvents {
public:
    Engine(routing::Settings settings, std::uint64_t seed, std::size_t most_open, const Clock& clock,
           Timers& timers, AttemptSender& sender, Log& log);

    // From here on copies of its own answer calls, where the limits are on. Not before told_of_purges(true).
    void keep_copies(copies::Limits limits) {
        hold_.set(limits);
    }
    // Is it sure that every purge is heard of in time?
    void told_of_purges(bool surely) {
        hold_.told_of_purges(surely);
    }

    // So many processes count as this one router from here on; copies of its own get so many bytes in this
    // one.
    void share_with(std::size_t processes, std::size_t copies_bytes);

    // Told of everything from here on; absent: nobody. It must outlive the engine or be taken away.
    void watch(Observer* observer);

    // The sink gets exactly one answer, now or later, unless the call is abandoned first. Absent: it has
    // been answered already.
    std::optional<RequestId> take(Call call, std::shared_ptr<ReplySink> sink);
    void abandon(RequestId id);  // the client has gone; nothing is owed any more
    // The process ends before they could: every call that is open is failed now.
    void fail_all();

    // News from discovery, in its order. `oldest`: how long ago they can have come about at most, by when
    // discovery was last heard to the end; more than that is taken for a clock that is wrong.
    void apply(ServerChange change, Span oldest = Span::max());
    void apply(const PurgeNotice& purge, Span oldest = Span::max());

    // Takes out by hand what `bans` names and was not out, and back what it names no more.
    void set_bans(const members::Bans& bans);
    const members::Bans& bans() const {
        return fleet_.bans();
    }
    // Keeps away from these on the word of other routers, and from no others that it kept away from so.
    void hold_out(std::set<ServerId> ids);
    // From here on requests go to the zones that are named, in these parts.
    void steer(const Steering& steering);
    // Every server that is known, with: is it avoided by this router itself?
    void each_server(const std::function<void(const Server&, bool avoided)>& see) const;
    bool is_cache_server(const Server& server) const {
        return fleet_.is_cache_server(server);
    }
    const std::string& zone() const {
        return fleet_.zone();
    }
    const routing::Settings& settings() const {
        return settings_;
    }
    // Attempts ordered to caches of other zones, by zone.
    const std::map<std::string, std::uint64_t>& sent_away() const {
        return sent_away_;
    }
    bool lists(const ServerId& server) const;

    std::size_t open() const {
        return open_.size();
    }
    bool knows_class(const std::string& name) const;
    // Never to run twice: nothing that repeats by itself may carry it.
    bool unsafe_class(const std::string& name) const;
    // Is any server of this zone listed with an address of that family?
    bool lists_address(bool v6) const;
    const Counters& counters();
    routing::Router::Sizes sizes() const {
        return route_.sizes();
    }

private:
    std::optional<Span> before_first_byte(const AttemptKey& key) override;
    void written() override {
        ++counters_.backend_calls;
    }
    void ended(const AttemptKey& key, AttemptEnd end) override;

    // Both clocks are read now.
    const UnixTime& unix_time(Time now);
    Time started(const Server& server, Time now, Span oldest);
    void tell_list(const ServerChange& change);
    void restate(const std::function<void()>& change);
    void tell(routing::Event event);
    void observe(const routing::Event& event, const std::vector<routing::Action>& actions);
    void turn_away(OpenCall& open, const Call& call, std::optional<std::size_t> class_index, Answer answer);
    void act(const routing::Send& send);
    void act(const routing::Cancel& cancel);
    void act(const routing::Reject& refuse);
    void act(const routing::Fail& fail);
    void act(const routing::SetTimer& timer);
    void refer(OpenCall& open, const Order& order);
    Guard::Facts facts_at_first_byte(const OpenCall& call, const OpenAttempt& attempt, Time now) const;
    void answer(OpenCall& open, Answer answer);
    void tell_of_violation();
    void tell_why(const char* event, const OpenCall& open) const;
    void timed_out(const AttemptKey& key);
    void deadline(RequestId id);
    void fail_now(RequestId id, bool timed_out);
    void let_go(RequestId id);
    void finish(RequestId id, Answer reply);
    void withdraw(RequestId id);  // cancels what is out
    void drop_if_done(RequestId id);

    routing::Settings settings_;
    const Clock& clock_;
    Timers& timers_;
    AttemptSender& sender_;
    Log& log_;
    Counters counters_;
    Fleet fleet_;
    Purges purges_;
    UnixTime unix_time_;
    OpenCalls open_;
    TakeIn take_in_;
    Admit admit_;
    Hold hold_;
    Route route_;
    Send send_;
    Relay relay_;
    Book book_;
    Guard guard_;
    std::map<std::string, std::uint64_t> sent_away_;
    Observer* observer_ = nullptr;
    Origin origin_;  // of the list or purge that is being applied
    std::deque<routing::Event> events_;
    bool telling_ = false;
};

}  // namespace silverrail::core
