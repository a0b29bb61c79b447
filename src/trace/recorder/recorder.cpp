#include "trace/recorder/recorder.h"

#include <pthread.h>

#include <chrono>
#include <csignal>
#include <utility>

#include "core/types.h"

namespace silverrail::trace {

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};  // of the queue while it is empty
constexpr std::size_t kMaxBatch = 8192;                 // records between two rounds of maintenance

// Blocks all signals in this thread, and in those that it starts.
class BlockedSignals {
public:
    BlockedSignals() {
        sigset_t all;
        sigfillset(&all);
        ::pthread_sigmask(SIG_SETMASK, &all, &before_);
    }
    ~BlockedSignals() {
        ::pthread_sigmask(SIG_SETMASK, &before_, nullptr);
    }
    BlockedSignals(const BlockedSignals&) = delete;
    BlockedSignals& operator=(const BlockedSignals&) = delete;

private:
    sigset_t before_{};
};

model::Record start_record(const RecorderIdentity& identity) {
    model::RouterStarted start;
    start.router_name = identity.router_name;
    start.incarnation_unix_ns = identity.incarnation_unix_ns;
    start.seed = identity.seed;
    start.program = identity.program;
    start.settings = identity.settings;
    start.offset = identity.clock_offset;
    return {identity.started_at, 0, start};
}

}  // namespace

// ---- request thread ------------------------------------------------------------------------------------

Recorder::Recorder(const RecorderSettings& settings, RecorderIdentity identity,
                   std::unique_ptr<TraceFolder> folder)
    : settings_(settings),
      identity_(std::move(identity)),
      folder_(std::move(folder)),
      queue_(settings_.queue_bytes),
      trigger_(settings_.trigger),
      writer_(settings_, identity_, *folder_, counters_, notices_) {
    const BlockedSignals blocked;  // they are for the thread that waits for them
    thread_ = std::thread{[this] {
        run();
    }};
}

Recorder::~Recorder() {
    stop();
}

void Recorder::add(const model::Record& record) {
    if (const auto* response = std::get_if<model::ResponseSent>(&record.body)) {
        const bool failed = response->kind == static_cast<std::uint8_t>(core::ClientResponse::Kind::failed);
        if (trigger_.add_response(failed, record.at))
            request_dump();
    }
    if (push(record)) {
        counters_.records.add(1);
        return;
    }
    if (dropped_.records++ == 0)
        dropped_.from = record.at;
    dropped_.to = record.at;
    counters_.dropped.add(1);
}

// Nothing is accepted before the gap record of what was dropped.
bool Recorder::push(const model::Record& record) {
    if (dropped_.records > 0) {
        if (!queue_.push({record.at, 0, dropped_}))
            return false;
        dropped_ = {};
    }
    return queue_.push(record);
}

void Recorder::add_clock_sample(std::int64_t steady_at, std::int64_t unix_minus_steady) {
    add({steady_at, 0, model::ClockSample{unix_minus_steady, 0}});
}

void Recorder::request_dump() {
    dump_requested_.store(true, std::memory_order_relaxed);
}

void Recorder::stop() {
    if (!thread_.joinable())
        return;
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    stop_requested_.notify_one();
    thread_.join();
}

// ---- writer's thread -----------------------------------------------------------------------------------

void Recorder::run() {
    writer_.write(start_record(identity_));
    bool stopping = false;
    bool more = false;
    while (!stopping || more) {
        if (!more) {
            std::unique_lock lock{mutex_};
            stop_requested_.wait_for(lock, kPollInterval, [this] { return stopping_; });
            stopping = stopping_;
        }
        more = write_queued_records();
        writer_.maintain(dump_requested_.exchange(false));
    }
    writer_.close_file();
}

// Returns whether there may be more. Under a steady load there always are, and files need maintenance too.
bool Recorder::write_queued_records() {
    model::Record record;
    for (std::size_t written = 0; written < kMaxBatch; ++written) {
        if (!queue_.pop(record))
            return false;
        writer_.write(record);
    }
    return true;
}

}  // namespace silverrail::trace
