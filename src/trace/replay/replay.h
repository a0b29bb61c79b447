// Feeds the events of a trace to this program's decision module and compares its actions with the recorded
// ones. No I/O: records come in, differences go out.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "silverrail/routing/router.h"
#include "trace/model/records.h"
#include "trace/replay/action_comparison.h"

namespace silverrail::trace {

// Makes the decision module's settings from `RouterStarted::settings`. What it throws passes through
// `Replay::add`.
using SettingsParser = std::function<routing::Settings(std::string_view config_json)>;

enum class ReplayMode { stop_at_first_difference, continue_after_difference };

// The first event to which the decision module answered differently.
struct DecisionDifference {
    ActionDifference kind{};
    std::uint64_t event_number = 0;  // counts from 1
    std::uint32_t router_index = 0;
    std::uint64_t request = 0;  // 0: none
    // As text; "nothing" where there was no more action.
    std::string recorded_action;
    std::string replayed_action;
};

struct DifferenceCategory {
    std::string class_name;  // as the settings name it; "(none)" for events that concern no known request
    ActionDifference kind{};
    auto operator<=>(const DifferenceCategory&) const = default;
};

// Why nothing after this point of a trace can be compared.
struct ReplayStop {
    enum class Reason {
        state_unknown,  // the trace begins after its router's start
        unknown_class,  // a request of a class that the settings do not have
        gap,            // records are missing
    };
    Reason reason{};
    std::uint64_t missing_records = 0;  // gap
};

// For people to read.
std::string describe(const ReplayStop& stop);

// Holds one decision module for each router of the trace.
class Replay {
public:
    explicit Replay(SettingsParser parse_settings, ReplayMode mode = ReplayMode::stop_at_first_difference)
        : parse_settings_(std::move(parse_settings)), mode_(mode) {}

    // In the order of the trace, without the records of its snapshots. Returns false once no more records are
    // wanted.
    bool add(const model::Record& record);
    // `complete`: the trace ended in good order. Otherwise actions of each router's last event may be
    // missing, and it is not compared.
    void finish(bool complete = true);

    // Events given to the decision module.
    std::uint64_t events() const {
        return events_;
    }
    // Recorded actions that were compared.
    std::uint64_t decisions() const {
        return decisions_;
    }
    // Events answered differently.
    std::uint64_t differing_events() const {
        return differing_events_;
    }
    const std::optional<DecisionDifference>& first_difference() const {
        return first_difference_;
    }
    const std::map<DifferenceCategory, std::uint64_t>& differences() const {
        return differences_;
    }
    const std::optional<ReplayStop>& stop() const {
        return stop_;
    }

private:
    struct Router {
        std::uint32_t index = 0;
        routing::Settings settings;
        std::unique_ptr<routing::Router> module;
        std::map<std::uint64_t, std::size_t> class_of_request;  // bounded; for naming a difference
        routing::ServerList server_list;                        // of which entries are still to come
        std::uint64_t missing_entries = 0;
        // Of the latest event:
        std::uint64_t request = 0;
        std::vector<routing::Action> recorded;
        std::vector<routing::Action> replayed;
        bool comparable = false;  // false: none since the start, or its actions are not all recorded
    };
    class RecordHandler;

    bool is_finished() const;
    void start_router(std::uint32_t router_index, const model::RouterStarted& start);
    void process(Router& router, const routing::Event& event, std::int64_t at, std::uint64_t request);
    void compare_latest_event(Router& router);
    void find_difference(const Router& router);
    void add_difference(const Router& router, ActionDifference kind, const routing::Action* recorded,
                        const routing::Action* replayed);

    SettingsParser parse_settings_;
    ReplayMode mode_;
    std::map<std::uint32_t, Router> routers_;
    std::uint64_t events_ = 0;
    std::uint64_t decisions_ = 0;
    std::uint64_t differing_events_ = 0;
    std::optional<DecisionDifference> first_difference_;
    std::map<DifferenceCategory, std::uint64_t> differences_;
    std::optional<ReplayStop> stop_;
};

}  // namespace silverrail::trace
