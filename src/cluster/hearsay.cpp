#include "cluster/hearsay.h"

#include <algorithm>

namespace silverrail::cluster {

namespace {
constexpr Time kSpreadPerMember{20};
constexpr Time kLongestSpread{5000};

std::string drain_of(const SeenServer& server) {
    return "drain " + std::to_string(server.started_ms);
}
}  // namespace

std::string server_subject(const std::string& id) {
    return "box/" + id;
}

Hearsay::Hearsay(std::string name, HearsaySettings settings, std::uint64_t seed)
    : name_(std::move(name)),
      settings_(settings),
      voice_({.refresh = Time{settings.age / 3}, .enough = settings.enough}, seed) {}

Hearsay::Step Hearsay::tick(Time now, UnixMs unix_now, const std::vector<SeenServer>& servers,
                            const std::map<std::string, ReplicatedEntry>& entries,
                            const std::map<std::string, std::string>& alive) {
    Step step;
    const auto reports = reports_in(
        entries, server_subject(""), unix_now, settings_.age,
        [&](const std::string& reporter) { return reporter != name_ && alive.contains(reporter); });
    const auto sayers = [&reports](const std::string& subject, const std::string& value) {
        const auto at = reports.find(subject);
        if (at == reports.end())
            return std::size_t{0};
        return static_cast<std::size_t>(
            std::count_if(at->second.begin(), at->second.end(),
                          [&value](const auto& report) { return report.second.value == value; }));
    };

    std::map<std::string, std::string> wanted;
    for (const auto& server : servers) {
        if ((!server.avoided && !server.leaving) || wanted.size() >= settings_.most_subjects)
            continue;
        if (report_key(server_subject(server.id), name_).empty())
            continue;
        wanted.emplace(server_subject(server.id), server.leaving ? drain_of(server) : "out");
    }
    voice_.spread(std::min(kLongestSpread, kSpreadPerMember * static_cast<Time::rep>(std::min<std::size_t>(
                                                                  alive.size(), 1'000))));
    step.say = voice_.tick(now, wanted,
                           [&](const std::string& subject) { return sayers(subject, wanted.at(subject)); });
    for (const auto& say : step.say)
        ++(say.value ? counts_.said : counts_.taken_back);

    std::map<std::string, std::pair<std::size_t, std::size_t>>
        by_zone;  // of usable ones: all, out by hearsay
    std::vector<const SeenServer*> heard;
    for (const auto& server : servers) {
        if (server.leaving)
            continue;
        auto& [all, out] = by_zone[server.zone];
        ++all;
        // Who keeps away from it by itself, or would say so in a moment, judges by itself.
        if (server.avoided)
            continue;
        const auto subject = server_subject(server.id);
        if (sayers(subject, "out") < settings_.quorum && sayers(subject, drain_of(server)) < settings_.quorum)
            continue;
        ++out;
        heard.push_back(&server);
    }
    std::set<std::string> panicked;
    for (const auto& [zone, count] : by_zone)
        if (static_cast<double>(count.second) > settings_.most_share * static_cast<double>(count.first))
            panicked.insert(zone);
    for (const auto& zone : panicked)
        counts_.panics += panicked_.contains(zone) ? 0 : 1;
    panicked_ = std::move(panicked);
    for (const auto* server : heard)
        if (!panicked_.contains(server->zone))
            step.out.insert(server->id);
    for (const auto& id : step.out)
        counts_.held_out += out_.contains(id) ? 0 : 1;
    for (const auto& id : out_)
        counts_.let_in += step.out.contains(id) ? 0 : 1;
    step.changed = out_ != step.out;
    out_ = step.out;
    return step;
}

}  // namespace silverrail::cluster
