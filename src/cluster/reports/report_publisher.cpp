#include "cluster/reports/report_publisher.h"

#include <utility>

namespace silverrail::cluster {

namespace {

constexpr char kSeparator = '\t';

}  // namespace

std::string report_key(const std::string& subject, const std::string& reporter) {
    if (subject.empty() || reporter.empty() || subject.find(kSeparator) != std::string::npos ||
        subject.size() + 1 + reporter.size() > kMaxKeyLength)
        return {};
    return subject + kSeparator + reporter;
}

Reports active_reports(const Replica::Entries& entries, const std::string& subject_prefix, UnixMs unix_now,
                       UnixMs max_age, const std::function<bool(const std::string&)>& is_counted) {
    Reports out;
    for (auto it = entries.lower_bound(subject_prefix);
         it != entries.end() && it->first.starts_with(subject_prefix); ++it) {
        const auto& key = it->first;
        const auto separator = key.find(kSeparator);
        const auto* write = it->second.winner();
        if (!write || separator == std::string::npos)
            continue;
        const auto reported_at = unix_ms_of(write->timestamp);
        if (max_age > 0 && unix_now - reported_at > max_age)
            continue;
        auto reporter = key.substr(separator + 1);
        if (is_counted(reporter))
            out[key.substr(0, separator)].emplace(std::move(reporter), Report{write->value, reported_at});
    }
    return out;
}

std::vector<ReportUpdate> ReportPublisher::tick(
    Time now, const std::map<std::string, std::string>& reports,
    const std::function<std::size_t(const std::string&)>& other_reporters) {
    std::vector<ReportUpdate> out;
    std::erase_if(publications_, [&](const auto& item) {
        const auto& [subject, publication] = item;
        if (reports.contains(subject))
            return false;
        if (publication.published)
            out.push_back({subject, std::nullopt});
        return true;
    });
    for (const auto& [subject, value] : reports) {
        const auto [entry, inserted] = publications_.try_emplace(subject);
        auto& publication = entry->second;
        if (inserted || publication.value != value) {
            publication.value = value;
            publication.due = now;
            if (settings_.max_delay > Time{0})
                publication.due += random_delay(random_, settings_.max_delay);
        }
        if (now < publication.due)
            continue;
        publication.due = now + settings_.refresh_interval;
        // A published report is always refreshed: if two reporters each left it to the other, both reports
        // would expire.
        if (!publication.published && settings_.enough_reporters > 0 &&
            other_reporters(subject) >= settings_.enough_reporters)
            continue;
        publication.published = true;
        out.push_back({subject, value});
    }
    return out;
}

}  // namespace silverrail::cluster
