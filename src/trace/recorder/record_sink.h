// Where records go as they are made.
#pragma once

#include "trace/model/records.h"

namespace silverrail::trace {

class RecordSink {
public:
    virtual ~RecordSink() = default;
    // The record's texts are valid during the call only.
    virtual void add(const model::Record& record) = 0;
};

}  // namespace silverrail::trace
