#include "cluster/failover/zone_health.h"

#include <cstdlib>

namespace silverrail::cluster {

namespace {

// A smaller difference, in per cent, is reported only after it has lasted for kReportDelay.
constexpr int kImmediateDifference = 25;
constexpr Time kReportDelay{2000};

// Rounded down to a multiple of five; the small addition compensates for rounding errors of the sums.
int percent_in_fives(double part, double all) {
    return static_cast<int>(part / all * 20 + 1e-9) * 5;
}

bool is_healthy(const ZoneServer& server, bool drained) {
    if (server.banned || server.probe_connected == false)
        return false;
    return drained ? server.probe_connected == true : !server.outlier;
}

}  // namespace

ZoneHealth measure_zone_health(const std::vector<ZoneServer>& servers, bool drained) {
    double all = 0;
    double healthy = 0;
    double warm = 0;
    for (const auto& server : servers) {
        all += server.weight;
        if (!is_healthy(server, drained))
            continue;
        healthy += server.weight;
        warm += server.weight * server.warm_share;
    }
    if (all <= 0)
        return {};
    return {percent_in_fives(healthy, all), percent_in_fives(warm, all)};
}

ZoneHealth HealthReportFilter::update(ZoneHealth health, Time now) {
    if (reported_ == health) {
        differs_since_.reset();
        return *reported_;
    }
    const bool at_once = !reported_ || health.healthy == 0 ||
                         std::abs(health.healthy - reported_->healthy) >= kImmediateDifference;
    const bool lasted = differs_since_ && now - *differs_since_ >= kReportDelay;
    if (at_once || lasted) {
        reported_ = health;
        differs_since_.reset();
    } else if (!differs_since_) {
        differs_since_ = now;
    }
    return *reported_;
}

}  // namespace silverrail::cluster
