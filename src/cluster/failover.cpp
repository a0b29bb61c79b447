#include "cluster/failover.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>
#include <sstream>

#include "cluster/hash.h"

namespace silverrail::cluster {

namespace {

// A gap between two calls this long means that the process did not run: what it knows is old.
constexpr Time kGap{1000};
constexpr Time kSettle{1000};
constexpr std::size_t kLastTurn = 9;  // further ranks write in the same slot
constexpr int kMostDamp = 8;
// Noise of a few servers that come and go is no cause for a change; a leap is.
constexpr double kLeap = 25;
constexpr std::chrono::duration<double> kSmoothOver{5};
// A smaller difference is reported once it has lasted.
constexpr int kWorthSaying = 25;
constexpr Time kLasting{2000};

int number_of(std::string_view text, int most) {
    int n = -1;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
    return error == std::errc{} && end == text.data() + text.size() && n >= 0 && n <= most ? n : -1;
}

std::vector<std::string> in_order(std::vector<std::pair<std::uint64_t, std::string>> hashed) {
    std::sort(hashed.begin(), hashed.end());
    std::vector<std::string> out;
    for (auto& [hash, member] : hashed)
        out.push_back(std::move(member));
    return out;
}

double ratio(const std::map<std::string, double>& weights, const std::string& of, const std::string& to) {
    const auto a = weights.find(of), b = weights.find(to);
    return a == weights.end() || b == weights.end() || a->second <= 0 || b->second <= 0
               ? 1
               : a->second / b->second;
}

}  // namespace

int Decision::out() const {
    return std::accumulate(targets.begin(), targets.end(), 0,
                           [](int sum, const auto& target) { return sum + target.second; });
}

std::string text_of(const Decision& d) {
    std::string out = std::to_string(d.epoch);
    for (const auto& [zone, part] : d.targets)
        out += " " + zone + "=" + std::to_string(part);
    return out;
}

std::optional<Decision> decision_of(const std::string& text) {
    std::istringstream words{text};
    Decision d;
    std::string word;
    if (!(words >> word))
        return std::nullopt;
    const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), d.epoch);
    if (error != std::errc{} || end != word.data() + word.size() || d.epoch == 0)
        return std::nullopt;
    while (words >> word) {
        const auto at = word.rfind('=');
        if (at == std::string::npos || at == 0 || d.targets.size() >= FailoverSettings::kMostTargets)
            return std::nullopt;
        const int part = number_of(std::string_view{word}.substr(at + 1), 100);
        if (part <= 0 || !d.targets.emplace(word.substr(0, at), part).second)
            return std::nullopt;
    }
    if (d.out() > 100)
        return std::nullopt;
    return d;
}

Decision in_force(const ReplicatedEntry* entry) {
    Decision out;
    if (!entry)
        return out;
    for (const auto& [origin, write] : entry->writes) {
        if (!write.is_live())
            continue;
        auto d = decision_of(write.value);
        if (!d || d->epoch < out.epoch || (d->epoch == out.epoch && write.timestamp >= out.stamp))
            continue;
        out = std::move(*d);
        out.stamp = write.timestamp;
        out.by = origin;
    }
    return out;
}

std::string zone_subject(const std::string& zone) {
    return "zone/" + zone;
}
std::string decision_key(const std::string& zone) {
    return "failover/" + zone;
}
std::string pin_key(const std::string& zone) {
    return "pin/" + zone;
}

Health health_of(const std::vector<ZoneServer>& servers, bool steered) {
    double all = 0, up = 0, warm = 0;
    for (const auto& server : servers) {
        all += server.weight;
        if (server.banned || server.probed == false)
            continue;
        if (steered ? server.probed != true : server.avoided)
            continue;
        up += server.weight;
        warm += server.weight * server.warm;
    }
    const auto fives = [all](double part) {
        return static_cast<int>(part / all * 20 + 1e-9) * 5;
    };
    return all > 0 ? Health{fives(up), fives(warm)} : Health{};
}

std::string text_of(Health health) {
    return std::to_string(health.up) + " " + std::to_string(health.warm);
}

std::optional<Health> health_of_report(const std::string& text) {
    const auto space = text.find(' ');
    if (space == std::string::npos)
        return std::nullopt;
    const Health h{number_of(std::string_view{text}.substr(0, space), 100),
                   number_of(std::string_view{text}.substr(space + 1), 100)};
    return h.up < 0 || h.warm < 0 ? std::nullopt : std::optional{h};
}

Failover::Failover(std::string name, std::string zone, FailoverSettings settings)
    : name_(std::move(name)), zone_(std::move(zone)), settings_(std::move(settings)) {
    for (const auto& z : settings_.zones)
        zones_[z.name];
}

const std::string& Failover::region_of(const std::string& zone) const {
    static const std::string kNone;
    const auto at = std::find_if(settings_.zones.begin(), settings_.zones.end(),
                                 [&zone](const FailoverZone& z) { return z.name == zone; });
    return at == settings_.zones.end() ? kNone : at->region;
}

// A zone's witnesses are the same few on every router that has the same view. False: they are as they were.
bool Failover::group(const Input& in) {
    const bool told = in.view_revision != 0;
    if (looked_ && (told ? in.view_revision == view_revision_ : *in.alive == alive_))
        return false;
    view_revision_ = in.view_revision;
    alive_ = told ? std::map<std::string, std::string>{} : *in.alive;
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> by_zone;
    for (const auto& [member, zone] : *in.alive)
        if (zones_.contains(zone))
            by_zone[zone].emplace_back(fnv1a(fnv1a(kFnvOffsetBasis, zone), member), member);
    witnesses_.clear();
    for (auto& [name, z] : zones_) {
        z.alive = by_zone[name].size();
        auto order = in_order(std::move(by_zone[name]));
        order.resize(std::min(order.size(), settings_.witnesses));
        witnesses_[name] = {order.begin(), order.end()};
    }
    return true;
}

void Failover::read_reports(const Input& in) {
    for (auto& [name, z] : zones_) {
        const auto subject = zone_subject(name);
        const auto& counted = witnesses_.at(name);
        const auto reports = reports_in(*in.reports, subject + '\t', in.unix_now, 0,
                                        [&](const std::string& r) { return counted.contains(r); });
        std::vector<int> seen, warm;
        if (const auto at = reports.find(subject); at != reports.end())
            for (const auto& [reporter, report] : at->second)
                if (const auto h = health_of_report(report.value)) {
                    seen.push_back(h->up);
                    warm.push_back(h->warm);
                }
        z.health.reset();
        if (seen.empty() || 2 * seen.size() <= counted.size())
            continue;
        // Of two the better one: one router's word moves nobody.
        std::sort(seen.begin(), seen.end());
        std::sort(warm.begin(), warm.end());
        z.health = seen[seen.size() / 2];
        z.warm = warm[warm.size() / 2];
    }
}

// What the view, the reports and the replicated state say now.
void Failover::look(const Input& in) {
    std::size_t configured = 0, alive = 0;
    const bool regrouped = group(in);
    for (const auto& z : settings_.zones) {
        if (z.region != region_of(zone_))
            continue;
        configured += z.routers;
        alive += std::min(z.routers, zones_[z.name].alive);
    }
    quorum_ = 2 * alive > configured;
    if (regrouped || in.reports_revision == 0 || in.reports_revision != reports_revision_)
        read_reports(in);
    reports_revision_ = in.reports_revision;
    for (auto& [name, z] : zones_) {
        if (z.health) {
            const double gap = *z.health - z.smooth;
            if (!last_ || *z.health == 0 || std::abs(gap) >= kLeap)
                z.smooth = *z.health;
            else
                z.smooth +=
                    gap * (1 - std::exp(-std::chrono::duration<double>(in.now - *last_) / kSmoothOver));
        }
        const auto pin = in.shared->find(pin_key(name));
        const auto* pinned = pin == in.shared->end() ? nullptr : pin->second.winner();
        z.pin = !pinned                  ? Pin::none
                : pinned->value == "in"  ? Pin::in
                : pinned->value == "out" ? Pin::out
                                         : Pin::none;
    }
}

// How much of `of`'s requests `target` may take, in per cent of them, beside what it takes from others.
int Failover::spare(const std::string& of, const std::string& target) const {
    const auto& t = zones_.at(target);
    if (target == of || !t.health || t.smooth < settings_.panic * 100 || t.pin == Pin::out ||
        t.decision.out() > 0)
        return 0;
    double left = std::min(100.0, settings_.overprovision * t.smooth);
    for (const auto& [name, z] : zones_)
        if (const auto at = z.decision.targets.find(target); name != of && at != z.decision.targets.end())
            left -= at->second * ratio(weights_, name, target);
    return std::clamp(static_cast<int>(left * ratio(weights_, target, of)), 0, 100);
}

// The own region first, then the others in their order; within one as each zone has to spare.
std::map<std::string, int> Failover::spread(const std::string& zone, int out) const {
    std::vector<std::string> regions{region_of(zone)};
    for (const auto& z : settings_.zones)
        if (std::find(regions.begin(), regions.end(), z.region) == regions.end())
            regions.push_back(z.region);
    std::map<std::string, int> parts;
    int rest = out;
    for (const auto& region : regions) {
        std::vector<std::pair<int, std::string>> room;
        for (const auto& z : settings_.zones)
            if (const int s = z.region == region ? spare(zone, z.name) : 0; s > 0)
                room.emplace_back(s, z.name);
        std::stable_sort(room.begin(), room.end(),
                         [](const auto& a, const auto& b) { return a.first > b.first; });
        room.resize(std::min(room.size(), FailoverSettings::kMostTargets - parts.size()));
        int all = 0;
        for (const auto& r : room)
            all += r.first;
        int level = std::min(rest, all);
        rest -= level;
        for (const auto& [s, name] : room) {
            const int part =
                all > 0 ? (level * s + all - 1) / all : 0;  // rounded up, the last takes what is left
            const int given = std::min(part, level);
            level -= given;
            all -= s;
            if (given > 0)
                parts[name] = given;
        }
    }
    // Nothing is left at home: rather too much for the others than nobody's.
    if (out == 100 && rest > 0 && !parts.empty()) {
        const int sum = 100 - rest;
        int given = 0;
        for (auto& [name, part] : parts)
            given += part = part * 100 / sum;
        parts.begin()->second += 100 - given;
    }
    return parts;
}

// What is to hold of the zone next, step bounds and hysteresis kept; what holds now where that is to stay.
Decision Failover::wished(const std::string& zone) const {
    const auto& z = zones_.at(zone);
    const int now = z.decision.out();
    Decision d = z.decision;
    const bool by_hand = z.pin != Pin::none;
    if (!by_hand && !z.health)
        return d;
    const bool lost = !by_hand && *z.health == 0;
    int want = z.pin == Pin::out ? 100 : 0;
    if (!by_hand)
        want = 100 - std::min(100, static_cast<int>(std::lround(settings_.overprovision * z.smooth)));
    const bool small = std::abs(want - now) < settings_.least * 100;
    int next = now;
    if (lost || (by_hand && want > now))
        next = want;
    else if (want > now && !small)
        next = std::min(want, now + static_cast<int>(settings_.step_out * 100));
    else if (want < now && (want == 0 || !small))
        next = std::max(want, now - static_cast<int>(settings_.step_back * 100));
    // Back only as far as what came back is warm; what is cold is no reason to leave. The first step warms
    // it.
    if (next < now && now < 100 && !by_hand)
        next = std::min(
            now, std::max(next, 100 - static_cast<int>(std::lround(settings_.overprovision * z.warm))));
    if (next == now && std::all_of(d.targets.begin(), d.targets.end(),
                                   [&](const auto& t) { return spare(zone, t.first) > 0; }))
        return d;
    d.targets = spread(zone, next);
    return d;
}

// By a hash that each epoch deals anew.
std::vector<std::string> Failover::turns(const std::string& zone, std::uint64_t epoch,
                                         const std::map<std::string, std::string>& alive) const {
    std::vector<std::pair<std::uint64_t, std::string>> order;
    for (const auto& [member, its] : alive)
        if (region_of(its) == region_of(zone))
            order.emplace_back(fnv1a(fnv1a(fnv1a(kFnvOffsetBasis, zone), epoch), member), member);
    return in_order(std::move(order));
}

// What each zone's servers count for here. A zone that takes others in counts for less to its own routers by
// as much, so that what all of them send together stays within its bounds: each part here is a part there.
std::map<std::string, double> Failover::factors(const Input& in) const {
    std::map<std::string, double> out;
    const auto own = zones_.find(zone_);
    if (own == zones_.end())
        return out;
    const auto share_of_guests = [&](const std::string& host) {
        double sum = 0;
        for (const auto& [name, z] : zones_)
            if (const auto at = z.decision.targets.find(host); at != z.decision.targets.end())
                sum += at->second / 100.0 * ratio(in.weights, name, host);
        return sum;
    };
    const double home = 1 - own->second.decision.out() / 100.0;
    double together = 1 / (1 + share_of_guests(zone_));
    double away = 0;
    for (const auto& [name, part] : own->second.decision.targets) {
        // None of it is listed here. Before there is any list, what was decided holds all the same.
        const auto weight = in.weights.find(name);
        if (!in.weights.empty() && (weight == in.weights.end() || weight->second <= 0))
            continue;
        away += out[name] = part / 100.0;
        together = std::min(together, 1 / (1 + share_of_guests(name)));
    }
    // As listed; or nowhere to go: near, rather than nowhere.
    if (out.empty() && (home <= 0 || (home >= 1 && together >= 1)))
        return {};
    for (auto& [name, part] : out)
        part *= (1 - home) / away * ratio(in.weights, zone_, name) * together;
    out[zone_] = home * together;
    return out;
}

// Each report is told to every router: what comes and goes within a second or two is not.
Health Failover::worth_saying(Health health, Time now) {
    if (said_ == health)
        differs_since_.reset();
    if (!said_ || (said_ != health && (health.up == 0 || std::abs(health.up - said_->up) >= kWorthSaying ||
                                       (differs_since_ && now - *differs_since_ >= kLasting)))) {
        said_ = health;
        differs_since_.reset();
    } else if (said_ != health && !differs_since_) {
        differs_since_ = now;
    }
    return *said_;
}

Failover::Step Failover::tick(const Input& in) {
    Step step;
    if (!last_ || in.now - *last_ > kGap) {
        // Guards against a decider that was stopped in the middle: it looks anew before it writes anything.
        awake_ = in.now + kSettle;
        wishes_.clear();
    }
    weights_ = in.weights;
    look(in);
    last_ = in.now;
    for (auto& [name, z] : zones_) {
        const auto at = in.shared->find(decision_key(name));
        const auto d = in_force(at == in.shared->end() ? nullptr : &at->second);
        if (d.epoch == z.decision.epoch && d.same(z.decision))
            continue;
        if (looked_) {
            const int turned = d.out() > z.decision.out() ? 1 : d.out() < z.decision.out() ? -1 : 0;
            int& before = direction_[name];
            const bool flap = turned != 0 && before == -turned && in.now - z.since < 2 * settings_.hold;
            if (turned > 0)
                z.damp = before < 0 && in.now - z.since < 2 * z.damp * settings_.hold
                             ? std::min(2 * z.damp, kMostDamp)
                             : 1;
            if (turned != 0)
                before = turned;
            ++z.changes;
            z.flaps += flap ? 1 : 0;
            step.changes.push_back({name, z.decision, d, flap});
        }
        z.decision = d;
        z.since = in.now;
        wishes_.erase(name);
    }
    looked_ = true;
    for (const auto& [name, z] : zones_) {
        if (region_of(name) != region_of(zone_))
            continue;
        auto wish = quorum_ && in.now >= awake_ ? wished(name) : z.decision;
        if (wish.same(z.decision)) {
            wishes_.erase(name);
            continue;
        }
        const auto [at, fresh] = wishes_.try_emplace(name, Wish{wish, in.now});
        const auto way = [&z](const Decision& d) {
            return d.out() > z.decision.out() ? 1 : -1;
        };
        if (!fresh && way(at->second.decision) != way(wish))
            at->second.since = in.now;
        at->second.decision = wish;
        Time due = at->second.since + settings_.confirm;
        const bool back = wish.out() < z.decision.out() && z.pin == Pin::none;
        if (z.decision.epoch > 0)
            due = std::max(due, z.since + settings_.hold * (back ? z.damp : 1));
        ++wish.epoch;
        const auto order = turns(name, wish.epoch, *in.alive);
        const auto retention =
            static_cast<std::size_t>(std::find(order.begin(), order.end(), name_) - order.begin());
        if (in.now < due + settings_.slot * static_cast<Time::rep>(std::min(retention, kLastTurn)))
            continue;
        step.writes.push_back({name, wish});
    }
    step.factors = factors(in);
    const auto own = witnesses_.find(zone_);
    if (own != witnesses_.end() && own->second.contains(name_))
        step.report = text_of(worth_saying(in.health, in.now));
    return step;
}

}  // namespace silverrail::cluster
