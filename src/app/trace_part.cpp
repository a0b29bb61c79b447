#include "app/trace_part.h"

#include <chrono>
#include <limits>
#include <memory>
#include <utility>

namespace silverrail::app {

namespace {

using namespace std::chrono_literals;

constexpr const char* kProgram = "silverrail 0.1.0";
constexpr const char* kUnnamedRouter = "router";
constexpr auto kClockSampleInterval = 1s;
constexpr int kClockReadings = 3;
constexpr std::int64_t kNsPerUs = 1000;
constexpr std::int64_t kNsPerMs = 1'000'000;
constexpr std::int64_t kNsPerSecond = 1'000'000'000;

template <class Clock>
std::int64_t now_ns() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(Clock::now().time_since_epoch()).count();
}

std::int64_t in_whole_us(std::int64_t ns) {
    return ns / kNsPerUs * kNsPerUs;
}

std::int64_t steady_now() {
    return in_whole_us(now_ns<std::chrono::steady_clock>());
}

// Unix time minus steady time. A thread may be preempted between two readings: the closest ones count.
std::int64_t clock_offset() {
    std::int64_t offset = 0;
    std::int64_t shortest = std::numeric_limits<std::int64_t>::max();
    for (int i = 0; i < kClockReadings; ++i) {
        const std::int64_t before = now_ns<std::chrono::steady_clock>();
        const std::int64_t unix_time = now_ns<std::chrono::system_clock>();
        const std::int64_t elapsed = now_ns<std::chrono::steady_clock>() - before;
        if (elapsed >= shortest)
            continue;
        shortest = elapsed;
        offset = unix_time - (before + elapsed / 2);
    }
    return in_whole_us(offset);
}

trace::RecorderSettings recorder_settings(const config::TraceSettings& settings) {
    trace::RecorderSettings result;
    result.retention.max_total_bytes = static_cast<std::uint64_t>(settings.most_mb) << 20;
    result.retention.max_file_bytes = static_cast<std::uint64_t>(settings.file_mb) << 20;
    result.retention.max_file_age_ns = settings.file_minutes * 60 * kNsPerSecond;
    result.flush_ns = settings.flush_ms * kNsPerMs;
    result.queue_bytes = static_cast<std::size_t>(settings.queue_kb) << 10;
    result.flight_bytes = static_cast<std::size_t>(settings.flight_mb) << 20;
    result.trigger.failed_share = settings.dump_at_failed_share;
    result.trigger.window_ns = settings.dump_window_s * kNsPerSecond;
    result.trigger.min_responses = static_cast<std::uint64_t>(settings.dump_min_responses);
    result.trigger.min_interval_ns = settings.dump_hold_off_s * kNsPerSecond;
    return result;
}

}  // namespace

TracePart::TracePart(Dependencies dependencies, const config::TraceSettings& settings)
    : dependencies_(std::move(dependencies)), settings_(settings), timer_(dependencies_.io) {}

TracePart::~TracePart() {
    dependencies_.engine.set_observer(nullptr);
}

void TracePart::start() {
    trace::RecorderIdentity identity;
    identity.router_name = dependencies_.router_name.empty() ? kUnnamedRouter : dependencies_.router_name;
    identity.incarnation_unix_ns = now_ns<std::chrono::system_clock>();
    identity.seed = dependencies_.seed;
    identity.program = kProgram;
    identity.settings = dependencies_.settings;
    identity.started_at = steady_now();
    identity.clock_offset = clock_offset();
    auto folder = std::make_unique<trace::DiskFolder>(settings_.folder, identity.router_name + "-");
    recorder_.emplace(recorder_settings(settings_), std::move(identity), std::move(folder));
    const trace::OmittedFields omitted{settings_.leave_out_clients, settings_.leave_out_tags};
    observer_.emplace(*recorder_, omitted);
    dependencies_.engine.set_observer(&*observer_);
    dependencies_.log.line("trace", "%s %s",
                           settings_.flight_mb > 0 ? "kept in memory, dumps go to" : "recorded in",
                           settings_.folder.c_str());
    sample_clocks_every_second();
}

void TracePart::sample_clocks_every_second() {
    timer_.expires_after(kClockSampleInterval);
    timer_.async_wait([this](const net::error_code& error) {
        if (error)
            return;
        recorder_->add_clock_sample(steady_now(), clock_offset());
        log_notices();
        sample_clocks_every_second();
    });
}

void TracePart::log_notices() {
    for (const std::string& text : recorder_->drain_notices())
        dependencies_.log.line("trace", "%s", text.c_str());
}

void TracePart::dump() {
    recorder_->request_dump();
}

void TracePart::end() {
    timer_.cancel();
    dependencies_.engine.set_observer(nullptr);
    recorder_->stop();
    log_notices();
}

std::string TracePart::counters() {
    const trace::RecorderCounts counts = recorder_->counts();
    std::string out;
    const auto put = [&out](const char* name, std::uint64_t value) {
        out += std::string{name} + ' ' + std::to_string(value) + '\n';
    };
    put("trace_records", counts.records);
    put("trace_dropped", counts.dropped);
    put("trace_lost", counts.lost);
    put("trace_bytes", counts.bytes);
    put("trace_files", counts.files);
    put("trace_dumps", counts.dumps);
    put("trace_write_errors", counts.write_errors);
    return out;
}

}  // namespace silverrail::app
