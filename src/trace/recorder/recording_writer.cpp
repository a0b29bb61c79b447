#include "trace/recorder/recording_writer.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace silverrail::trace {

namespace {

constexpr std::size_t kChunkRecords = 32'768;
constexpr int kZstdLevel = 3;
constexpr std::int64_t kNsPerMs = 1'000'000;

std::int64_t to_ns(std::chrono::steady_clock::duration duration) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count();
}

}  // namespace

RecordingWriter::RecordingWriter(const RecorderSettings& settings, const RecorderIdentity& identity,
                                 TraceFolder& folder, RecorderCounters& counters, NoticeList& notices)
    : settings_(settings),
      identity_(identity),
      folder_(folder),
      counters_(counters),
      notices_(notices),
      retention_(settings.retention),
      flight_recorder_(settings.flight_bytes > 0) {}

// ---- records -------------------------------------------------------------------------------------------

void RecordingWriter::write(const model::Record& record) {
    if (!ensure_open()) {
        lose(record);
        return;
    }
    const std::uint64_t bytes_before = writer_->bytes();
    losses_.add_buffered(record.at);
    try {
        writer_->add(record);
        if (writer_->bytes() != bytes_before)
            losses_.mark_written();
    } catch (const IoError& e) {
        on_write_error(e);
    }
}

// Returns false if no file can be opened now.
bool RecordingWriter::ensure_open() {
    if (writer_)
        return true;
    if (SteadyClock::now() < retry_at_)
        return false;
    try {
        open_file();
        if (std::exchange(write_error_noticed_, false))
            notices_.add("written again; " + std::to_string(losses_.unreported()) + " records were lost");
        if (const auto gap = losses_.report())
            writer_->add({gap->to, 0, *gap});
    } catch (const IoError& e) {
        on_write_error(e);
    }
    return writer_ != nullptr;
}

// The state in effect has to be known when a file can be opened again.
void RecordingWriter::lose(const model::Record& record) {
    effective_state_.update(record);
    losses_.add_lost(record.at);
    counters_.lost.add(1);
}

void RecordingWriter::on_write_error(const IoError& error) {
    counters_.write_errors.add(1);
    counters_.lost.add(losses_.lose_buffered());
    if (writer_)
        release_writer();
    retry_at_ = SteadyClock::now() + settings_.retry;
    if (!std::exchange(write_error_noticed_, true))
        notices_.add(std::string{"can't be written, tried again every second: "} + error.what());
}

// ---- files ---------------------------------------------------------------------------------------------

void RecordingWriter::open_file() {
    const auto now = SteadyClock::now();
    ByteSink& sink = open_sink();
    const bool continued = effective_state_.knows_router(0);
    TraceWriterOptions options;
    options.chunk_records = kChunkRecords;
    options.chunk_span_ns = 0;
    options.zstd_level = kZstdLevel;
    options.write_index = !flight_recorder_;
    auto writer = std::make_unique<TraceWriter>(sink, continued ? std::uint32_t{kCut} : 0U,
                                                identity_.incarnation_unix_ns, options);
    writer->begin_with(effective_state_);
    writer_ = std::move(writer);
    counted_bytes_ = 0;
    file_opened_ = now;
    flushed_ = now;
    counters_.files.add(1);
}

ByteSink& RecordingWriter::open_sink() {
    if (flight_recorder_)
        return flight_.emplace(settings_.flight_bytes);
    file_name_ = next_file_name("");
    file_ = folder_.create(file_name_);
    return *file_;
}

void RecordingWriter::release_writer() {
    effective_state_ = writer_->release_state();
    writer_ = nullptr;
    file_ = nullptr;
}

void RecordingWriter::close_file() {
    if (!writer_)
        return;
    try {
        writer_->flush();
        losses_.mark_written();
        writer_->close();
        count_bytes();
        release_writer();
    } catch (const IoError& e) {
        on_write_error(e);
    }
}

void RecordingWriter::count_bytes() {
    counters_.bytes.add(writer_->bytes() - counted_bytes_);
    counted_bytes_ = writer_->bytes();
}

// Names sort by age, as `Retention` requires: by start of the process in ms, then by number.
std::string RecordingWriter::next_file_name(const char* kind) {
    char suffix[64];
    std::snprintf(suffix, sizeof suffix, "-%013lld-%s%05d.slt",
                  static_cast<long long>(identity_.incarnation_unix_ns / kNsPerMs), kind, ++files_named_);
    return identity_.router_name + suffix;
}

// ---- maintenance ---------------------------------------------------------------------------------------

void RecordingWriter::maintain(bool dump) {
    try {
        flush_if_due(dump);
    } catch (const IoError& e) {
        on_write_error(e);
    }
    if (!flight_recorder_ && std::exchange(retention_due_, false))
        remove_old_files();
    if (!dump)
        return;
    if (flight_recorder_)
        dump_flight();
    else
        notices_.add("nothing to dump: what is recorded goes into files already");
}

void RecordingWriter::flush_if_due(bool dump) {
    if (!writer_)
        return;
    const auto now = SteadyClock::now();
    if (dump || to_ns(now - flushed_) >= settings_.flush_ns) {
        writer_->flush();
        flushed_ = now;
        losses_.mark_written();
        retention_due_ = true;
    }
    count_bytes();
    if (!flight_recorder_ && retention_.should_rotate(writer_->bytes(), to_ns(now - file_opened_)))
        close_file();
}

void RecordingWriter::remove_old_files() {
    try {
        auto files = folder_.list();
        if (writer_)
            std::erase_if(files, [this](const auto& file) { return file.name == file_name_; });
        const std::uint64_t open_bytes = writer_ ? writer_->bytes() : 0;
        for (const auto& name : retention_.files_to_remove(std::move(files), open_bytes))
            folder_.remove(name);
        removal_error_noticed_ = false;
    } catch (const IoError& e) {
        if (!std::exchange(removal_error_noticed_, true))
            notices_.add(std::string{"old files can't be removed: "} + e.what());
    }
}

void RecordingWriter::dump_flight() {
    if (!flight_ || flight_->empty()) {
        notices_.add("nothing to dump yet");
        return;
    }
    const std::string name = next_file_name("flight-");
    try {
        const Bytes bytes = flight_->as_file(identity_.incarnation_unix_ns);
        folder_.create(name)->write(bytes);
        counters_.dumps.add(1);
        counters_.bytes.add(bytes.size());
        notices_.add("dumped " + std::to_string(bytes.size()) + " bytes to " + name);
        for (const auto& old : retention_.files_to_remove(folder_.list(), 0))
            folder_.remove(old);
    } catch (const IoError& e) {
        counters_.write_errors.add(1);
        notices_.add(std::string{"could not be dumped: "} + e.what());
    }
}

}  // namespace silverrail::trace
