// The writer's thread of a recorder: packs records into files, rotates and removes these, and writes dumps.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "trace/format/trace_writer.h"
#include "trace/model/effective_state.h"
#include "trace/model/retention.h"
#include "trace/recorder/flight_buffer.h"
#include "trace/recorder/loss_tracker.h"
#include "trace/recorder/recorder_settings.h"
#include "trace/recorder/recorder_status.h"
#include "trace/recorder/trace_folder.h"

namespace silverrail::trace {

// I/O errors do not leave this class: they are counted, noticed once and retried in a new file after a pause.
// What is lost meanwhile is counted, and a gap record reports it. One thread.
class RecordingWriter {
public:
    // All references must outlive the writer.
    RecordingWriter(const RecorderSettings& settings, const RecorderIdentity& identity, TraceFolder& folder,
                    RecorderCounters& counters, NoticeList& notices);
    void write(const model::Record& record);
    // To be called every few milliseconds: writes what has waited for long enough, rotates files and removes
    // old ones. `dump`: what a flight recorder holds is written to a file now.
    void maintain(bool dump);
    // Ends the open file in good order; the next record begins another one.
    void close_file();

private:
    using SteadyClock = std::chrono::steady_clock;

    bool ensure_open();
    void open_file();
    ByteSink& open_sink();
    void flush_if_due(bool dump);
    void count_bytes();
    void release_writer();
    void on_write_error(const IoError& error);
    void lose(const model::Record& record);
    void remove_old_files();
    void dump_flight();
    std::string next_file_name(const char* kind);

    const RecorderSettings& settings_;
    const RecorderIdentity& identity_;
    TraceFolder& folder_;
    RecorderCounters& counters_;
    NoticeList& notices_;
    const model::Retention retention_;
    const bool flight_recorder_;

    model::EffectiveState effective_state_;  // while no file is open
    std::optional<FlightBuffer> flight_;     // of a flight recorder, from its first record on
    std::unique_ptr<ByteSink> file_;         // the open file, otherwise
    std::unique_ptr<TraceWriter> writer_;    // null: no file is open
    std::string file_name_;                  // of the open file
    std::uint64_t counted_bytes_ = 0;        // of the open file
    SteadyClock::time_point file_opened_{};
    SteadyClock::time_point flushed_{};
    SteadyClock::time_point retry_at_{};
    bool write_error_noticed_ = false;
    bool removal_error_noticed_ = false;
    bool retention_due_ = false;
    LossTracker losses_;
    int files_named_ = 0;
};

}  // namespace silverrail::trace
