// The stages that a call passes. The engine leads each call through them in this order:
// take in, admit, route, send, relay, book.
#pragma once

#include <string_view>
#include <unordered_map>

#include "core/counters.h"
#include "core/fleet.h"
#include "core/open_call.h"
#include "core/purges.h"

namespace silverrail::core {

// Take in: is it a call that the settings know, and what is its place among the open ones?
class TakeIn {
public:
    explicit TakeIn(const winchflow::Settings& settings);
    // Its class; absent: there is none of that name.
    std::optional<std::size_t> class_of(const Call& call) const;
    RequestId next_id() { return RequestId{++last_id_}; }
    winchflow::Request request(RequestId id, std::size_t class_index, const Call& call) const;

private:
    std::unordered_map<std::string, std::size_t> classes_;
    std::uint64_t last_id_ = 0;
};

// Admit: bounds on what is open at once.
class Admit {
public:
    explicit Admit(std::size_t most_open) : most_open_(most_open) {}
    bool admits(std::size_t open) const { return open < most_open_; }

private:
    std::size_t most_open_;
};

// Route: the decision module, and the events it is told.
class Route {
public:
    Route(winchflow::Settings settings, std::uint64_t seed) : router_(std::move(settings), seed) {}
    std::vector<winchflow::Action> tell(const winchflow::Event& event, Time now);
    winchflow::Router::Sizes sizes() const { return router_.sizes(); }

private:
    winchflow::Router router_;
    Time last_{};  // the module's time must not run backwards
};

// Send: turns the module's Send into an order, and checks it again when its first byte is due.
class Send {
public:
    Send(const Fleet& fleet, const Purges& purges) : fleet_(fleet), purges_(purges) {}
    // Absent: the box is not known, nothing may be sent.
    std::optional<Order> order(const winchflow::Send& send, const OpenCall& open, std::uint32_t attempt,
                               Time now) const;
    // The oldest copy that will do; absent: it may not be sent any more. `tightened` tells of a late purge.
    std::optional<Span> at_first_byte(const Order& order, Time now, std::int64_t unix_ms,
                                      bool& tightened) const;
    // A name is all that a referral carries: an order that needs more is not one. Absent: that is so.
    std::optional<std::string> referral(const Order& order, const std::string& parent_kind, Time now,
                                        std::int64_t unix_ms) const;

private:
    const Fleet& fleet_;
    const Purges& purges_;
};

// Relay: the one final answer.
class Relay {
public:
    explicit Relay(Counters& counters) : counters_(counters) {}
    // False: it had its answer before.
    bool answer(OpenCall& open, Answer answer);
    static Answer served(AttemptEnd end);
    static Answer refused(Span hold_off, bool timed_out);
    static Answer failed(bool timed_out);
    static Answer referred(std::string address);

private:
    Counters& counters_;
};

// Book: what the module is told of an attempt's end.
class Book {
public:
    explicit Book(Counters& counters) : counters_(counters) {}
    winchflow::Outcome outcome(const AttemptKey& key, const AttemptEnd& end, const OpenAttempt& attempt,
                               bool over, Time now);

private:
    Counters& counters_;
};

}  // namespace silverrail::core
