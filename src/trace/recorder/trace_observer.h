// Makes trace records of what the core notifies its observers of. Stores nothing of it and allocates nothing.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/observer.h"
#include "trace/recorder/record_sink.h"

namespace silverrail::trace {

// What is left empty in records.
struct OmittedFields {
    bool client_addresses = false;
    bool entity_tags = false;
};

class TraceObserver : public core::Observer {
public:
    // The sink must outlive the observer.
    explicit TraceObserver(RecordSink& sink, OmittedFields omitted = {}) : sink_(sink), omitted_(omitted) {}
    void event_handled(const routing::Event& event, core::Time now,
                       const std::vector<routing::Action>& actions, const core::EventCause& origin) override;
    void answered_at_intake(const core::ClientRequest& request, std::size_t class_index,
                            core::Time now) override;
    void first_byte(const core::AttemptKey& key, std::optional<core::Span> max_age, bool tightened,
                    core::Time now) override;
    void answered(core::RequestId id, const core::ClientResponse& answer, core::Time now) override;

private:
    // Each overload records one type of event or action.
    class EventRecorder;
    class ActionRecorder;

    template <class Body>
    void add(core::Time now, const Body& body) {
        sink_.add({now.time_since_epoch().count(), 0, body});
    }
    void add_request(const core::ClientRequest& request, std::uint64_t id, std::size_t class_index,
                     core::Time now);
    std::uint64_t next_attempt_number(core::RequestId request, const core::EventCause& origin);

    RecordSink& sink_;
    OmittedFields omitted_;
    // Attempts of one request that the module starts on one event are numbered on from those that it has.
    core::RequestId latest_sent_request_{};
    std::uint64_t attempts_since_event_ = 0;
};

}  // namespace silverrail::trace
