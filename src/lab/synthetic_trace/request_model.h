// The requests that a simulated router receives.
#pragma once

#include <memory>
#include <string>

#include "core/types.h"
#include "lab/synthetic_trace/seeded_random.h"

namespace silverrail::lab {

// A mix of the sample deployment's three classes from some hundred clients. `random` must outlive the model.
class RequestModel {
public:
    explicit RequestModel(SeededRandom& random) : random_(random) {}
    // The next request; its deadline counts from `now`.
    core::ClientRequest next(core::Time now);

private:
    std::uint64_t draw_object(std::size_t class_index);

    SeededRandom& random_;
    std::shared_ptr<const std::string> body_ = std::make_shared<const std::string>(600, 't');  // of writes
};

}  // namespace silverrail::lab
