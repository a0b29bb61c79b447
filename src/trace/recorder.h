// Records what a router does, without ever holding it up.
//
// The request thread packs each record into a bounded queue; one thread of the recorder's own takes them out,
// packs them into chunks and writes these. What does not fit into the queue is dropped and counted, and a gap
// record tells how many and when. What can't be written is lost in the same way: told once, counted, and
// tried again every second in a new file.
//
// Two kinds: with a folder, files that are rotated and bounded; without one, a flight recorder that keeps the
// newest chunks in memory and writes them out when asked.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "trace/format/trace_reader.h"
#include "trace/format/trace_writer.h"
#include "trace/model/failure_trigger.h"
#include "trace/model/retention.h"
#include "trace/observe.h"
#include "trace/queue.h"

namespace silverrail::trace {

// Where files go: a folder of the disk, or a test's.
class Folder {
public:
    virtual ~Folder() = default;
    virtual std::unique_ptr<ByteSink> create(const std::string& name) = 0;  // throws IoError
    virtual std::vector<model::Retention::File> list() = 0;  // of the recorder's; throws IoError
    virtual void remove(const std::string& name) = 0;        // throws IoError
};

// Files whose name begins so and ends in `.slt`.
class DiskFolder : public Folder {
public:
    DiskFolder(std::string path, std::string prefix) : path_(std::move(path)), prefix_(std::move(prefix)) {}
    std::unique_ptr<ByteSink> create(const std::string& name) override;
    std::vector<model::Retention::File> list() override;
    void remove(const std::string& name) override;

private:
    std::string path_;
    std::string prefix_;
};

struct RecorderSettings {
    model::RetentionSettings retention{};
    std::int64_t flush_ns = 2'000'000'000;  // a chunk is written after that at the latest
    std::size_t queue_bytes = 4 << 20;
    std::size_t flight_bytes = 0;  // above 0: a flight recorder
    model::FailureTriggerSettings trigger{};
    LeftOut left_out{};
    std::chrono::milliseconds retry{1000};  // after a write that failed
};

// Who records: goes into each file's start.
struct Identity {
    std::string router;
    std::int64_t incarnation_unix_ns = 0;
    std::uint64_t seed = 0;
    std::string program;
    std::string settings;
    std::int64_t begun_at = 0;  // steady
    std::int64_t offset = 0;    // Unix less steady
};

class Recorder : public RecordSink {
public:
    Recorder(RecorderSettings settings, Identity identity, std::unique_ptr<Folder> folder);
    ~Recorder() override;  // writes what is left
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;

    // By the request thread, as the next three.
    void take(const model::Record& record) override;
    void compare_clocks(std::int64_t at, std::int64_t offset);  // every second or so
    void dump();  // a flight recorder's chunks are written out soon
    // Writes all that was taken and ends the file in good order. Nothing is taken any more.
    void stop();

    struct Counts {
        std::uint64_t records = 0;  // taken
        std::uint64_t dropped = 0;  // the queue was full
        std::uint64_t lost = 0;     // could not be written
        std::uint64_t bytes = 0;    // written
        std::uint64_t files = 0;
        std::uint64_t dumps = 0;
        std::uint64_t write_errors = 0;
    };
    Counts counts() const;
    // What the log should say, since the last time: a few short lines.
    std::vector<std::string> notices();

private:
    class Flight;
    void run();
    bool drain();  // true: there may be more
    void housekeep();
    void begin_file();
    void end_file();
    void failed(const std::string& why);
    void written();
    void write(const model::Record& record);
    void write_flight();
    void notice(std::string text);
    std::string next_name(const char* kind);

    const RecorderSettings settings_;
    const Identity identity_;
    const std::unique_ptr<Folder> folder_;
    const model::Retention retention_;

    // The request thread's.
    RecordQueue queue_;
    model::FailureTrigger trigger_;
    std::uint64_t gap_ = 0;
    std::int64_t gap_from_ = 0;
    std::int64_t gap_to_ = 0;

    // Shared.
    std::atomic<std::uint64_t> records_{0}, dropped_{0}, lost_{0}, bytes_{0}, files_{0}, dumps_{0},
        write_errors_{0};
    std::atomic<bool> dump_wanted_{false};
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::vector<std::string> notices_;

    // The writer thread's.
    model::EffectiveState effective_state_;
    std::unique_ptr<ByteSink> sink_;
    std::unique_ptr<TraceWriter> writer_;
    std::unique_ptr<Flight> flight_;
    std::string file_;
    std::uint64_t counted_bytes_ = 0;
    std::chrono::steady_clock::time_point file_begun_{};
    std::chrono::steady_clock::time_point flushed_{};
    std::chrono::steady_clock::time_point retry_at_{};
    bool failing_ = false;      // told already
    bool not_removed_ = false;  // told already
    bool look_at_folder_ = false;
    std::uint64_t unwritten_ = 0;  // records of the chunk that is open
    std::uint64_t lost_here_ = 0;  // since the last gap was made
    std::uint64_t told_here_ = 0;  // by a gap in the chunk that is open
    std::int64_t lost_from_ = 0;
    std::int64_t lost_to_ = 0;
    int number_ = 0;
    std::thread thread_;
};

}  // namespace silverrail::trace
