#include "trace/recorder.h"

#include <pthread.h>
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <utility>

namespace silverrail::trace {

namespace {
using SteadyClock = std::chrono::steady_clock;
namespace fs = std::filesystem;

constexpr std::size_t kMostNotices = 64;
constexpr auto kLook = std::chrono::milliseconds{20};  // how often the queue is looked at when it was empty
constexpr std::size_t kChunkRecords = 32768;
constexpr std::size_t kAtOnce = 8192;  // records between two looks at the time and the folder

std::int64_t ns(SteadyClock::duration d) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(d).count();
}
}  // namespace

// ---- folders -----------------------------------------------------------------------------------

std::unique_ptr<ByteSink> DiskFolder::create(const std::string& name) {
    std::error_code ignored;
    fs::create_directories(path_, ignored);  // what can't be made is told by the open below
    return std::make_unique<FileSink>((fs::path{path_} / name).string());
}

std::vector<model::Retention::File> DiskFolder::list() {
    std::vector<model::Retention::File> files;
    std::error_code error;
    for (fs::directory_iterator at{path_, error}, end; !error && at != end; at.increment(error)) {
        const std::string name = at->path().filename().string();
        if (!name.starts_with(prefix_) || !name.ends_with(".slt"))
            continue;
        std::error_code gone;
        const auto bytes = at->file_size(gone);
        if (!gone)
            files.push_back({name, bytes});
    }
    if (error && error != std::errc::no_such_file_or_directory)
        throw IoError(path_ + ": " + error.message());
    return files;
}

void DiskFolder::remove(const std::string& name) {
    std::error_code error;
    fs::remove(fs::path{path_} / name, error);
    if (error)
        throw IoError(path_ + "/" + name + ": " + error.message());
}

// ---- flight ------------------------------------------------------------------------------------

// Keeps the newest blocks that a writer makes, up to a bound. The first is the file's header and stays.
class Recorder::Flight : public ByteSink {
public:
    explicit Flight(std::size_t most) : most_(most) {}
    void write(ByteView bytes) override {
        if (header_.empty()) {
            header_ = bytes;
            return;
        }
        blocks_.emplace_back(bytes);
        held_ += bytes.size();
        while (held_ > most_ && blocks_.size() > 1) {
            held_ -= blocks_.front().size();
            blocks_.pop_front();
            cut_ = true;
        }
    }
    // As a file that stands alone. The first chunk opens with what was in force.
    Bytes file(std::int64_t created_unix_ns) const {
        MemorySink sink;
        TraceWriter header{sink, cut_ ? std::uint32_t{kCut} : 0u, created_unix_ns};
        Bytes all = std::move(sink.bytes());
        for (const Bytes& block : blocks_)
            all += block;
        const MemorySource source{all};
        TraceReader reader{source};
        all += encode_index(all.size(), {reader.chunks().begin(), reader.chunks().end()});
        return all;
    }
    bool empty() const {
        return blocks_.empty();
    }

private:
    std::size_t most_;
    Bytes header_;
    std::deque<Bytes> blocks_;
    std::size_t held_ = 0;
    bool cut_ = false;
};

// ---- the request thread ------------------------------------------------------------------------

Recorder::Recorder(RecorderSettings settings, Identity identity, std::unique_ptr<Folder> folder)
    : settings_(settings),
      identity_(std::move(identity)),
      folder_(std::move(folder)),
      retention_(settings.retention),
      queue_(settings.queue_bytes),
      trigger_(settings.trigger) {
    model::RouterStarted start;
    start.router_name = identity_.router;
    start.incarnation_unix_ns = identity_.incarnation_unix_ns;
    start.seed = identity_.seed;
    start.program = identity_.program;
    start.settings = identity_.settings;
    start.offset = identity_.offset;
    // Signals are for the thread that waits for them.
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    ::pthread_sigmask(SIG_SETMASK, &all, &before);
    thread_ = std::thread{[this, start] {
        write({identity_.begun_at, 0, start});
        run();
    }};
    ::pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

Recorder::~Recorder() {
    stop();
}

void Recorder::take(const model::Record& record) {
    if (const auto* answered = std::get_if<model::ResponseSent>(&record.body))
        if (trigger_.add_response(answered->kind == static_cast<std::uint8_t>(core::Answer::Kind::failed),
                                  record.at))
            dump();
    const auto count = [](std::atomic<std::uint64_t>& n) {
        n.store(n.load(std::memory_order_relaxed) + 1, std::memory_order_relaxed);  // one thread writes it
    };
    if (gap_ > 0 && queue_.push({record.at, 0, model::Gap{gap_, gap_from_, gap_to_}}))
        gap_ = 0;
    if (gap_ == 0 && queue_.push(record))
        return count(records_);
    if (gap_++ == 0)
        gap_from_ = record.at;
    gap_to_ = record.at;
    count(dropped_);
}

void Recorder::compare_clocks(std::int64_t at, std::int64_t offset) {
    take({at, 0, model::ClockSample{offset, 0}});
}

void Recorder::dump() {
    dump_wanted_.store(true, std::memory_order_relaxed);
}

void Recorder::stop() {
    if (!thread_.joinable())
        return;
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

Recorder::Counts Recorder::counts() const {
    const auto of = [](const std::atomic<std::uint64_t>& n) {
        return n.load(std::memory_order_relaxed);
    };
    return {of(records_), of(dropped_), of(lost_), of(bytes_), of(files_), of(dumps_), of(write_errors_)};
}

std::vector<std::string> Recorder::notices() {
    const std::lock_guard lock{mutex_};
    return std::exchange(notices_, {});
}

void Recorder::notice(std::string text) {
    const std::lock_guard lock{mutex_};
    if (notices_.size() < kMostNotices)
        notices_.push_back(std::move(text));
}

// ---- the writer thread -------------------------------------------------------------------------

void Recorder::run() {
    for (bool last = false, more = false; !last || more;) {
        if (!more) {
            std::unique_lock lock{mutex_};
            wake_.wait_for(lock, kLook, [this] { return stopping_; });
            last = stopping_;
        }
        more = drain();
        housekeep();
    }
    end_file();
}

// Guards flushing and the bounds: under a steady load there may always be one more record.
bool Recorder::drain() {
    model::Record record;
    for (std::size_t n = 0; n < kAtOnce; ++n) {
        if (!queue_.pop(record))
            return false;
        write(record);
    }
    return true;
}

std::string Recorder::next_name(const char* kind) {
    char text[64];
    std::snprintf(text, sizeof text, "-%013lld-%s%05d.slt",
                  static_cast<long long>(identity_.incarnation_unix_ns / 1'000'000), kind, ++number_);
    return identity_.router + text;
}

void Recorder::begin_file() {
    const auto now = SteadyClock::now();
    std::unique_ptr<ByteSink> sink;
    std::unique_ptr<Flight> flight;
    std::string name;
    if (settings_.flight_bytes > 0) {
        flight = std::make_unique<Flight>(settings_.flight_bytes);
    } else {
        name = next_name("");
        sink = folder_->create(name);
    }
    const bool goes_on = effective_state_.knows_router(0);
    const TraceWriterOptions limits{kChunkRecords, 0, 3, settings_.flight_bytes == 0};
    auto writer = std::make_unique<TraceWriter>(flight ? *flight : *sink, goes_on ? std::uint32_t{kCut} : 0u,
                                                identity_.incarnation_unix_ns, limits);
    writer->begin_with(effective_state_);
    sink_ = std::move(sink);
    flight_ = std::move(flight);
    writer_ = std::move(writer);
    file_ = name;
    counted_bytes_ = 0;
    unwritten_ = 0;
    file_begun_ = flushed_ = now;
    ++files_;
}

void Recorder::failed(const std::string& why) {
    ++write_errors_;
    lost_ += unwritten_;
    // The gap that the lost chunk told of is still to be told of.
    if (lost_here_ == 0 && told_here_ == 0)
        lost_from_ = lost_to_;
    lost_here_ += unwritten_ + std::exchange(told_here_, 0);
    unwritten_ = 0;
    if (writer_)
        effective_state_ = writer_->release_state();
    writer_ = nullptr;
    sink_ = nullptr;
    retry_at_ = SteadyClock::now() + settings_.retry;
    if (!std::exchange(failing_, true))
        notice("can't be written, tried again every second: " + why);
}

// Everything up to here is out.
void Recorder::written() {
    unwritten_ = told_here_ = 0;
}

void Recorder::write(const model::Record& record) {
    if (!writer_) {
        if (SteadyClock::now() >= retry_at_) {
            try {
                begin_file();
                if (std::exchange(failing_, false))
                    notice("written again; " + std::to_string(lost_here_) + " records were lost");
                if (lost_here_ > 0) {
                    told_here_ = std::exchange(lost_here_, 0);
                    writer_->add({lost_to_, 0, model::Gap{told_here_, lost_from_, lost_to_}});
                }
            } catch (const IoError& e) {
                failed(e.what());
            }
        }
        if (!writer_) {
            // Lost, but what is in force goes on being known.
            effective_state_.update(record);
            if (lost_here_++ == 0)
                lost_from_ = record.at;
            lost_to_ = record.at;
            ++lost_;
            return;
        }
    }
    const std::uint64_t before = writer_->bytes();
    ++unwritten_;
    try {
        lost_to_ = record.at;
        writer_->add(record);
        if (writer_->bytes() != before)
            written();
    } catch (const IoError& e) {
        failed(e.what());
    }
}

void Recorder::housekeep() {
    const auto now = SteadyClock::now();
    try {
        if (writer_ && (ns(now - flushed_) >= settings_.flush_ns || dump_wanted_)) {
            writer_->flush();
            flushed_ = now;
            written();
            look_at_folder_ = true;
        }
        if (writer_) {
            bytes_ += writer_->bytes() - counted_bytes_;
            counted_bytes_ = writer_->bytes();
        }
        if (writer_ && !flight_ && retention_.should_rotate(writer_->bytes(), ns(now - file_begun_)))
            end_file();
    } catch (const IoError& e) {
        failed(e.what());
    }
    if (!flight_ && std::exchange(look_at_folder_, false))
        try {
            auto files = folder_->list();
            if (writer_)
                std::erase_if(files, [this](const auto& f) { return f.name == file_; });
            for (const auto& name :
                 retention_.files_to_remove(std::move(files), writer_ ? writer_->bytes() : 0))
                folder_->remove(name);
            not_removed_ = false;
        } catch (const IoError& e) {
            if (!std::exchange(not_removed_, true))
                notice(std::string{"old files can't be removed: "} + e.what());
        }
    if (dump_wanted_.exchange(false)) {
        if (flight_)
            write_flight();
        else
            notice("nothing to dump: what is recorded goes into files already");
    }
}

void Recorder::write_flight() {
    if (flight_->empty())
        return notice("nothing to dump yet");
    const std::string name = next_name("flight-");
    try {
        const Bytes bytes = flight_->file(identity_.incarnation_unix_ns);
        const auto sink = folder_->create(name);
        sink->write(bytes);
        ++dumps_;
        bytes_ += bytes.size();
        notice("dumped " + std::to_string(bytes.size()) + " bytes to " + name);
        auto files = folder_->list();
        for (const auto& old : retention_.files_to_remove(std::move(files), 0))
            folder_->remove(old);
    } catch (const IoError& e) {
        ++write_errors_;
        notice(std::string{"could not be dumped: "} + e.what());
    }
}

// Closes the open file; the next record begins another.
void Recorder::end_file() {
    if (!writer_)
        return;
    try {
        writer_->flush();
        written();
        writer_->close();
        bytes_ += writer_->bytes() - counted_bytes_;
        written();
        effective_state_ = writer_->release_state();
        writer_ = nullptr;
        sink_ = nullptr;
    } catch (const IoError& e) {
        failed(e.what());
    }
}

}  // namespace silverrail::trace
