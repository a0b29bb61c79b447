#include "cluster/voice.h"

namespace silverrail::cluster {

std::string report_key(const std::string& subject, const std::string& reporter) {
    if (subject.empty() || reporter.empty() || subject.find('\t') != std::string::npos ||
        subject.size() + 1 + reporter.size() > kMaxKeyLength)
        return {};
    return subject + '\t' + reporter;
}

Reports reports_in(const std::map<std::string, ReplicatedEntry>& entries, const std::string& prefix,
                   UnixMs unix_now, UnixMs age, const std::function<bool(const std::string&)>& counts) {
    Reports out;
    for (auto it = entries.lower_bound(prefix); it != entries.end() && it->first.starts_with(prefix); ++it) {
        const auto tab = it->first.find('\t');
        const auto* write = it->second.winner();
        if (!write || tab == std::string::npos)
            continue;
        if (age > 0 && unix_now - unix_ms_of(write->timestamp) > age)
            continue;
        auto reporter = it->first.substr(tab + 1);
        if (counts(reporter))
            out[it->first.substr(0, tab)].emplace(std::move(reporter),
                                                  Report{write->value, unix_ms_of(write->timestamp)});
    }
    return out;
}

std::vector<Voice::Say> Voice::tick(Time now, const std::map<std::string, std::string>& wanted,
                                    const std::function<std::size_t(const std::string&)>& others) {
    std::vector<Say> out;
    std::erase_if(said_, [&](const auto& item) {
        if (wanted.contains(item.first))
            return false;
        if (item.second.told)
            out.push_back({item.first, std::nullopt});
        return true;
    });
    for (const auto& [subject, value] : wanted) {
        const auto [at, fresh] = said_.try_emplace(subject);
        Said& said = at->second;
        if (fresh || said.value != value) {
            said.value = value;
            said.due = now + (settings_.spread > Time{0} ? random_delay(random_, settings_.spread) : Time{0});
        }
        if (now < said.due)
            continue;
        said.due = now + settings_.refresh;
        // Whoever has spoken goes on: else two who fall silent for each other would both be missing.
        if (!said.told && settings_.enough > 0 && others(subject) >= settings_.enough)
            continue;
        said.told = true;
        out.push_back({subject, value});
    }
    return out;
}

}  // namespace silverrail::cluster
