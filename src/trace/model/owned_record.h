// A record that owns its texts, so that it outlives the buffer it was read from.
#pragma once

#include <memory>

#include "trace/model/records.h"

namespace silverrail::trace::model {

// Move-only. An empty one, made by default construction, converts to false.
class OwnedRecord {
public:
    OwnedRecord() = default;
    // Copies the record's texts: at most one allocation.
    explicit OwnedRecord(const Record& record);
    const Record& record() const {
        return record_;
    }
    explicit operator bool() const {
        return has_record_;
    }

private:
    std::unique_ptr<char[]> texts_;
    Record record_{};
    bool has_record_ = false;
};

}  // namespace silverrail::trace::model
