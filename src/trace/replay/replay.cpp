#include "trace/replay/replay.h"

#include <algorithm>
#include <utility>

#include "trace/replay/recorded_decisions.h"

namespace silverrail::trace {

namespace {

constexpr std::size_t kMaxRememberedRequests = 65'536;
constexpr const char* kNoClass = "(none)";

std::uint64_t request_of_either(const routing::Action* recorded, const routing::Action* replayed) {
    const std::uint64_t request = recorded ? request_of(*recorded) : 0;
    return request == 0 && replayed ? request_of(*replayed) : request;
}

const routing::Action* at_or_null(const std::vector<routing::Action>& actions, std::size_t index) {
    return index < actions.size() ? &actions[index] : nullptr;
}

}  // namespace

std::string describe(const ReplayStop& stop) {
    switch (stop.reason) {
        case ReplayStop::Reason::state_unknown:
            return "it begins after its router's start: what the module knew then is not in it";
        case ReplayStop::Reason::unknown_class:
            return "a call of a class that the settings do not know";
        case ReplayStop::Reason::gap:
            break;
    }
    return std::to_string(stop.missing_records) +
           " records are missing here: what the module was told is not whole";
}

// Takes the records of one router, by type.
class Replay::RecordHandler {
public:
    RecordHandler(Replay& replay, Router& router, std::int64_t at)
        : replay_(replay), router_(router), at_(at) {}

    // Events of the decision module.
    void operator()(const model::RequestReceived& record) {
        if (record.request == 0)
            return;  // answered at intake, without the decision module
        if (record.class_index >= router_.settings.classes.size()) {
            replay_.stop_ = ReplayStop{ReplayStop::Reason::unknown_class};
            return;
        }
        replay_.compare_latest_event(router_);
        auto& classes = router_.class_of_request;
        if (classes.size() >= kMaxRememberedRequests)
            classes.erase(classes.begin());
        classes[record.request] = record.class_index;
        process(request_event(record, at_), record.request);
    }
    void operator()(const model::AttemptEnded& record) {
        process(outcome_event(record), record.request);
    }
    void operator()(const model::ClientClosed& record) {
        process(routing::ClientClosed{routing::RequestId{record.request}}, record.request);
    }
    void operator()(const model::TimerFired& record) {
        process(routing::Timer{routing::TimerId{record.timer}});
    }
    void operator()(const model::PurgeReceived& record) {
        process(purge_event(record));
    }
    void operator()(const model::ServerListChanged& record) {
        replay_.compare_latest_event(router_);
        router_.server_list = {record.complete, {}};
        router_.missing_entries = record.entries;
        if (router_.missing_entries == 0)
            process_server_list();
    }
    void operator()(const model::ServerListEntry& record) {
        if (router_.missing_entries == 0)
            return;
        router_.server_list.servers.push_back(listed_server(record));
        if (--router_.missing_entries == 0)
            process_server_list();
    }

    // Actions of the decision module.
    void operator()(const model::AttemptSent& record) {
        router_.recorded.emplace_back(send_action(record));
    }
    void operator()(const model::AttemptCancelled& record) {
        router_.recorded.emplace_back(cancel_action(record));
    }
    void operator()(const model::RequestRejected& record) {
        router_.recorded.emplace_back(reject_action(record));
    }
    void operator()(const model::RequestFailed& record) {
        router_.recorded.emplace_back(fail_action(record));
    }
    void operator()(const model::TimerSet& record) {
        router_.recorded.emplace_back(timer_action(record));
    }

    // Actions of the latest event may be among the missing records.
    void operator()(const model::Gap& record) {
        router_.comparable = false;
        replay_.stop_ = ReplayStop{ReplayStop::Reason::gap, record.records};
    }

    // These do not concern the decision module.
    void operator()(const model::RouterStarted&) {}
    void operator()(const model::ClockSample&) {}
    void operator()(const model::FirstByteDue&) {}
    void operator()(const model::ResponseSent&) {}

private:
    void process(const routing::Event& event, std::uint64_t request = 0) {
        replay_.process(router_, event, at_, request);
    }
    void process_server_list() {
        process(std::exchange(router_.server_list, {}));
    }

    Replay& replay_;
    Router& router_;
    std::int64_t at_;
};

bool Replay::is_finished() const {
    return stop_ || (first_difference_ && mode_ == ReplayMode::stop_at_first_difference);
}

bool Replay::add(const model::Record& record) {
    if (is_finished())
        return false;
    if (const auto* start = std::get_if<model::RouterStarted>(&record.body)) {
        start_router(record.router_index, *start);
        return true;
    }
    const auto router = routers_.find(record.router_index);
    if (router == routers_.end()) {
        if (!std::holds_alternative<model::ClockSample>(record.body))
            stop_ = ReplayStop{ReplayStop::Reason::state_unknown};
        return !is_finished();
    }
    std::visit(RecordHandler{*this, router->second, record.at}, record.body);
    return !is_finished();
}

void Replay::finish(bool complete) {
    if (!complete)
        return;
    for (auto& [index, router] : routers_)
        compare_latest_event(router);
}

void Replay::start_router(std::uint32_t router_index, const model::RouterStarted& start) {
    if (const auto earlier = routers_.find(router_index); earlier != routers_.end())
        compare_latest_event(earlier->second);
    Router router;
    router.index = router_index;
    router.settings = parse_settings_(start.settings);
    router.module = std::make_unique<routing::Router>(router.settings, start.seed);
    routers_.insert_or_assign(router_index, std::move(router));
}

void Replay::process(Router& router, const routing::Event& event, std::int64_t at, std::uint64_t request) {
    compare_latest_event(router);
    if (is_finished())
        return;
    ++events_;
    router.request = request;
    router.replayed = router.module->on(event, time_of(at));
    router.comparable = true;
}

// All of its actions have been read, since the next event begins or the trace has ended.
void Replay::compare_latest_event(Router& router) {
    if (std::exchange(router.comparable, false)) {
        decisions_ += router.recorded.size();
        find_difference(router);
    }
    router.recorded.clear();
}

void Replay::find_difference(const Router& router) {
    const auto& recorded = router.recorded;
    const auto& replayed = router.replayed;
    const std::size_t common = std::min(recorded.size(), replayed.size());
    for (std::size_t i = 0; i < common; ++i)
        if (const auto difference = compare_actions(recorded[i], replayed[i]))
            return add_difference(router, *difference, &recorded[i], &replayed[i]);
    if (recorded.size() != replayed.size())
        add_difference(router, ActionDifference::count, at_or_null(recorded, common),
                       at_or_null(replayed, common));
}

void Replay::add_difference(const Router& router, ActionDifference kind, const routing::Action* recorded,
                            const routing::Action* replayed) {
    ++differing_events_;
    std::uint64_t request = request_of_either(recorded, replayed);
    if (request == 0)
        request = router.request;
    const auto class_index = router.class_of_request.find(request);
    const bool known = class_index != router.class_of_request.end();
    ++differences_[{known ? router.settings.classes[class_index->second].name : kNoClass, kind}];
    if (!first_difference_)
        first_difference_ = {kind, events_, router.index, request, describe(recorded), describe(replayed)};
}

}  // namespace silverrail::trace
