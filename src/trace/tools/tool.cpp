#include "trace/tools/tool.h"

#include <algorithm>

#include "config/config.h"

namespace silverrail::trace {

constexpr std::uint64_t kRecordsPerReport = 65536;
constexpr double kNsPerSecond = 1e9;

ProgressReporter::ProgressReporter(const Progress& progress, std::uint64_t total_records)
    : progress_(progress), total_(std::max<std::uint64_t>(1, total_records)) {}

void ProgressReporter::add_record() {
    if (++done_ % kRecordsPerReport == 0 && progress_)
        progress_(static_cast<double>(done_) / static_cast<double>(total_));
}

std::uint64_t record_count(const TraceReader& reader) {
    std::uint64_t count = 0;
    for (const auto& chunk : reader.chunks())
        count += chunk.summary.new_records();
    return count;
}

routing::Settings parse_settings(std::string_view config_json) {
    const auto json = config::parse_json(config_json);
    if (!json)
        throw config::ConfigError("the start's settings are not JSON");
    return config::parse_config(*json).settings;
}

void RouterDirectory::update(const Record& record) {
    const auto* start = std::get_if<model::RouterStarted>(&record.body);
    if (!start)
        return;
    Router& router = routers_[record.router_index];
    std::string& parsed = parsed_settings_[record.router_index];
    router.name = start->router_name;
    router.incarnation_unix_ns = start->incarnation_unix_ns;
    if (router.has_settings && parsed == start->settings)
        return;
    parsed = start->settings;
    router.settings = {};
    router.has_settings = false;
    try {
        router.settings = parse_settings(start->settings);
        router.has_settings = true;
    } catch (const config::ConfigError&) {
        router.has_settings = false;  // classes are shown by number
    }
}

const RouterDirectory::Router* RouterDirectory::find(std::uint32_t router_index) const {
    const auto found = routers_.find(router_index);
    return found == routers_.end() ? nullptr : &found->second;
}

std::string RouterDirectory::name(std::uint32_t router_index) const {
    const Router* router = find(router_index);
    return router ? router->name : "router-" + std::to_string(router_index);
}

std::string RouterDirectory::class_name(std::uint32_t router_index, std::uint64_t class_index) const {
    const Router* router = find(router_index);
    if (router && class_index < router->settings.classes.size())
        return router->settings.classes[class_index].name;
    if (router && router->has_settings)
        return "(unknown class)";
    return "class-" + std::to_string(class_index);
}

std::string RouterDirectory::class_name(const model::RequestTimeline& timeline) const {
    return timeline.received_seen() ? class_name(timeline.router_index, timeline.received.class_index)
                                    : kUnseenClass;
}

std::int64_t RouterDirectory::latency_objective(std::uint32_t router_index, std::uint64_t class_index,
                                                double size_kb) const {
    const Router* router = find(router_index);
    if (!router || class_index >= router->settings.classes.size())
        return 0;
    const routing::Settings& settings = router->settings;
    const routing::ClassSettings& class_settings = settings.classes[class_index];
    const double transfer_ns =
        settings.max_response_kb_per_s > 0 ? size_kb / settings.max_response_kb_per_s * kNsPerSecond : 0;
    return class_settings.latency_objective.count() +
           static_cast<std::int64_t>(class_settings.objective_transfer_factor * transfer_ns);
}

}  // namespace silverrail::trace
