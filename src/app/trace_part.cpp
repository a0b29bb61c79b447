#include "app/trace_part.h"

namespace silverrail::app {

namespace {

using namespace std::chrono_literals;

std::int64_t steady_ns() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}
std::int64_t unix_ns() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Both clocks at about one moment: of a few tries the one that took least.
std::int64_t offset_now() {
    std::int64_t best = 0;
    std::int64_t least = std::numeric_limits<std::int64_t>::max();
    for (int i = 0; i < 3; ++i) {
        const std::int64_t before = steady_ns();
        const std::int64_t there = unix_ns();
        const std::int64_t after = steady_ns();
        if (after - before >= least)
            continue;
        least = after - before;
        best = there - (before + (after - before) / 2);
    }
    return best / 1000 * 1000;
}

trace::RecorderSettings recorder_settings(const config::TraceSettings& s) {
    trace::RecorderSettings r;
    r.retention.max_total_bytes = static_cast<std::uint64_t>(s.most_mb) << 20;
    r.retention.max_file_bytes = static_cast<std::uint64_t>(s.file_mb) << 20;
    r.retention.max_file_age_ns = s.file_minutes * 60'000'000'000;
    r.flush_ns = s.flush_ms * 1'000'000;
    r.queue_bytes = static_cast<std::size_t>(s.queue_kb) << 10;
    r.flight_bytes = static_cast<std::size_t>(s.flight_mb) << 20;
    r.trigger.failed_share = s.dump_at_failed_share;
    r.trigger.window_ns = s.dump_window_s * 1'000'000'000;
    r.trigger.min_responses = static_cast<std::uint64_t>(s.dump_least_answers);
    r.trigger.min_interval_ns = s.dump_hold_off_s * 1'000'000'000;
    r.left_out = {s.leave_out_clients, s.leave_out_tags};
    return r;
}

}  // namespace

TracePart::TracePart(World world, const config::TraceSettings& settings)
    : world_(std::move(world)), settings_(settings), timer_(world_.io) {}

TracePart::~TracePart() {
    world_.engine.set_observer(nullptr);
}

void TracePart::start() {
    trace::Identity who;
    who.router = world_.router.empty() ? "router" : world_.router;
    who.incarnation_unix_ns = unix_ns();
    who.seed = world_.seed;
    who.program = "silverrail 0.1.0";
    who.settings = world_.settings;
    who.begun_at = steady_ns() / 1000 * 1000;
    who.offset = offset_now();
    auto folder = std::make_unique<trace::DiskFolder>(settings_.folder, who.router + "-");
    const trace::RecorderSettings settings = recorder_settings(settings_);
    recorder_.emplace(settings, std::move(who), std::move(folder));
    observing_.emplace(*recorder_, settings.left_out);
    world_.engine.set_observer(&*observing_);
    world_.log.line("trace", "%s %s", settings_.flight_mb > 0 ? "kept in memory, dumps go to" : "recorded in",
                    settings_.folder.c_str());
    tick();
}

void TracePart::tick() {
    timer_.expires_after(1s);
    timer_.async_wait([this](const net::error_code& error) {
        if (error)
            return;
        recorder_->compare_clocks(steady_ns() / 1000 * 1000, offset_now());
        say();
        tick();
    });
}

void TracePart::say() {
    for (const std::string& text : recorder_->notices())
        world_.log.line("trace", "%s", text.c_str());
}

void TracePart::dump() {
    recorder_->dump();
}

void TracePart::end() {
    timer_.cancel();
    world_.engine.set_observer(nullptr);
    recorder_->stop();
    say();
}

std::string TracePart::counters() {
    const auto c = recorder_->counts();
    std::string out;
    const auto put = [&out](const char* name, std::uint64_t value) {
        out += std::string{name} + ' ' + std::to_string(value) + '\n';
    };
    put("trace_records", c.records);
    put("trace_dropped", c.dropped);
    put("trace_lost", c.lost);
    put("trace_bytes", c.bytes);
    put("trace_files", c.files);
    put("trace_dumps", c.dumps);
    put("trace_write_errors", c.write_errors);
    return out;
}

}  // namespace silverrail::app
