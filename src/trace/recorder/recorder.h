// Records what a router does, without ever delaying it.
//
// The request thread copies each record into a bounded queue. A thread of the recorder's own compresses the
// records into chunks and writes these. What does not fit into the queue is dropped and counted, and a gap
// record says how many records are missing and when. What can't be written is counted in the same way, and
// writing is tried again in a new file.
//
// Two kinds: with files that are rotated and bounded in their sum, or as a flight recorder, which keeps the
// newest chunks in memory and writes them to a file on request or after many failures.
#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "trace/model/failure_trigger.h"
#include "trace/recorder/record_queue.h"
#include "trace/recorder/record_sink.h"
#include "trace/recorder/recorder_settings.h"
#include "trace/recorder/recorder_status.h"
#include "trace/recorder/recording_writer.h"
#include "trace/recorder/trace_folder.h"

namespace silverrail::trace {

// Functions without a note on threads belong to one thread, the request thread.
class Recorder : public RecordSink {
public:
    // Starts the writer's thread, with all signals blocked.
    Recorder(const RecorderSettings& settings, RecorderIdentity identity,
             std::unique_ptr<TraceFolder> folder);
    ~Recorder() override;  // as `stop`
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;

    // Never blocks or allocates.
    void add(const model::Record& record) override;
    // The clocks at one moment, ns. To be called about once a second.
    void add_clock_sample(std::int64_t steady_at, std::int64_t unix_minus_steady);
    // A flight recorder writes its dump soon.
    void request_dump();
    // Writes all accepted records, ends the file in good order and the thread. Nothing may be added
    // afterwards.
    void stop();

    // Any thread.
    RecorderCounts counts() const {
        return counters_.read();
    }
    // Any thread: lines for the log since the last call.
    std::vector<std::string> drain_notices() {
        return notices_.drain();
    }

private:
    bool push(const model::Record& record);
    // The writer's thread:
    void run();
    bool write_queued_records();

    const RecorderSettings settings_;
    const RecorderIdentity identity_;
    const std::unique_ptr<TraceFolder> folder_;
    RecordQueue queue_;
    model::FailureTrigger trigger_;
    model::Gap dropped_;  // records since the last one that was accepted

    RecorderCounters counters_;
    NoticeList notices_;
    std::atomic<bool> dump_requested_{false};
    std::mutex mutex_;
    std::condition_variable stop_requested_;
    bool stopping_ = false;  // guarded by `mutex_`

    RecordingWriter writer_;  // the writer's thread alone
    std::thread thread_;
};

}  // namespace silverrail::trace
