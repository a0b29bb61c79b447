// Feeds a trace's events to this build's decision module and compares what it says with what was recorded.
// No I/O: records come in, a verdict goes out.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "silverrail/routing/router.h"
#include "trace/model/effective_state.h"

namespace silverrail::trace {

// What the module's settings were: made from `Start::settings`. Throws what its reader throws.
using SettingsOf = std::function<routing::Settings(std::string_view json)>;

class Replay {
public:
    enum class Difference {
        other_target,   // both send, elsewhere
        other_fill,     // both send there, with another source, rank or age
        other_timeout,  // the same send, cut off at another time
        sends_instead,  // recorded: refused or failed; now: sends
        stops_instead,  // recorded: sends; now: refuses or fails
        other_refusal,  // both turn it away, in another way
        other_cancel,   // an attempt is given up now or was then, not both
        other_timer,
        other_count,  // said more or less than recorded
    };
    static constexpr std::size_t kDifferences = 9;
    static const char* name_of(Difference difference);

    struct Found {
        Difference difference{};
        std::uint64_t event = 0;  // its number, from 1
        std::int64_t at = 0;
        std::uint32_t source = 0;
        std::uint64_t request = 0;  // 0: none
        std::size_t class_index = 0;
        std::string recorded;  // in words
        std::string now;
    };

    explicit Replay(SettingsOf settings_of, bool go_on = false);
    // In order. False: it has seen enough.
    bool take(const model::Record& record);
    // `whole`: the trace ended in good order. Otherwise what was said to its last event may be cut off.
    void end(bool whole = true);

    std::uint64_t events() const {
        return events_;
    }
    std::uint64_t decisions() const {
        return decisions_;
    }
    std::uint64_t differences() const {
        return differences_;
    }
    const std::optional<Found>& first() const {
        return first_;
    }
    // By class and kind; class names as the settings give them.
    const std::map<std::pair<std::string, Difference>, std::uint64_t>& sums() const {
        return sums_;
    }
    // Absent: it can go on. Else why nothing after this point can be compared.
    const std::optional<std::string>& stopped() const {
        return stopped_;
    }

private:
    struct Router {
        routing::Settings settings;
        std::unique_ptr<routing::Router> module;
        std::map<std::uint64_t, std::size_t> classes;  // of calls that are open
        routing::ServerList list;                      // being told
        std::uint64_t entries = 0;                     // of it, still to come
        std::int64_t at = 0;                           // of the event that is being compared
        std::uint64_t request = 0;
        std::vector<routing::Action> said;      // by the module now
        std::vector<routing::Action> recorded;  // by the module then
        bool comparing = false;
    };
    void tell(std::uint32_t source, Router& r, const routing::Event& event, std::int64_t at,
              std::uint64_t request);
    void compare(std::uint32_t source, Router& r);
    void differ(std::uint32_t source, Router& r, Difference d, const routing::Action* then,
                const routing::Action* now);

    SettingsOf settings_of_;
    bool go_on_;
    std::map<std::uint32_t, Router> routers_;
    std::uint64_t events_ = 0;
    std::uint64_t decisions_ = 0;
    std::uint64_t differences_ = 0;
    std::optional<Found> first_;
    std::map<std::pair<std::string, Difference>, std::uint64_t> sums_;
    std::optional<std::string> stopped_;
};

}  // namespace silverrail::trace
