// Makes trace records of what the core tells its observer. Nothing is stored here and nothing allocated.
#pragma once

#include "core/observer.h"
#include "trace/model/records.h"

namespace silverrail::trace {

// Takes each record at once; its texts are gone after that.
class RecordSink {
public:
    virtual ~RecordSink() = default;
    virtual void take(const model::Record& record) = 0;
};

// What to leave out of records.
struct LeftOut {
    bool clients = false;
    bool tags = false;
};

class Observing : public core::Observer {
public:
    explicit Observing(RecordSink& sink, LeftOut left_out = {}) : sink_(sink), left_out_(left_out) {}
    void event_handled(const routing::Event& event, core::Time now,
                       const std::vector<routing::Action>& actions, const core::EventOrigin& origin) override;
    void answered_at_intake(const core::ClientRequest& call, std::size_t class_index,
                            core::Time now) override;
    void first_byte(const core::AttemptKey& key, std::optional<core::Span> max_age, bool tightened,
                    core::Time now) override;
    void answered(core::RequestId id, const core::Answer& answer, core::Time now) override;

private:
    template <class T>
    void put(core::Time at, const T& body) {
        sink_.take({at.time_since_epoch().count(), 0, body});
    }
    void put_taken(const core::ClientRequest& call, std::uint64_t id, std::size_t class_index,
                   core::Time now);
    void put_list(const routing::ServerList& list, const core::ServerChange* change, core::Time now);
    void put_action(const routing::Action& action, const core::EventOrigin& origin, core::Time now);

    RecordSink& sink_;
    LeftOut left_out_;
    // Sends of one call that the module says at once are numbered on from those that it has.
    std::uint64_t sent_call_ = 0;
    std::uint64_t sent_more_ = 0;
};

}  // namespace silverrail::trace
