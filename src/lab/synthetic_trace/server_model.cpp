#include "lab/synthetic_trace/server_model.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "lab/synthetic_trace/object_catalog.h"
#include "trace/format/coding.h"

namespace silverrail::lab {

using namespace std::chrono_literals;
using core::AttemptKey;
using routing::AttemptStatus;
using routing::CacheStatus;
using Duration = EventScheduler::Duration;

namespace {

constexpr double kBandwidthKbPerS = 4000;  // of one response
constexpr double kDefaultSizeKb = 20;
constexpr double kBodyBytesPerKb = 8;  // bodies are stand-ins: their bytes are not recorded
constexpr auto kMinConnectDelay = 80us;
constexpr auto kConnectJitter = 400us;
constexpr auto kMinServiceTime = 2ms;
constexpr auto kServiceJitter = 3ms;
constexpr auto kRejectDelay = 1ms;
constexpr int kUncrowdedInFlight = 40;  // above, responses take longer: twice as long at twice as many
constexpr double kFullInFlight = 80;
constexpr int kMaxInFlight = 160;  // above, a server is overloaded
// Of a number that is uniform from 0 to 1: below the first a reset, up to the second an error, up to the
// third silence.
constexpr double kResetBelow = 0.002;
constexpr double kErrorBelow = 0.005;
constexpr double kSilentBelow = 0.006;
constexpr double kEvictedShare = 0.05;  // of copies that were there
constexpr std::size_t kMaxCached = 200'000;
constexpr auto kMaxCopyAge = 6s;
constexpr std::int64_t kNsPerMs = 1'000'000;
constexpr const char* kEntityTag = "4be0c1927d55a6f3";

std::string cache_server_id(std::size_t index) {
    char id[16];
    std::snprintf(id, sizeof id, "s-%08x", static_cast<unsigned>(hash_number(index + 100)));
    return id;
}

SampleServer cache_server(std::size_t index) {
    const auto remainder = static_cast<std::int64_t>(index % 3);
    const double weight = 10.0 + 3 * static_cast<double>(remainder);
    const std::string address = "127.0.1." + std::to_string(index + 1) + ":4100";
    return {cache_server_id(index), address, "small-box", weight, 1 + remainder, 0};
}

double rounded_to_percent(double value) {
    return std::round(value * 100) / 100;
}

}  // namespace

// ---- servers -------------------------------------------------------------------------------------------

SimulatedServers::SimulatedServers() {
    for (std::size_t i = 0; i < kCaches; ++i)
        servers_.push_back({cache_server(i)});
    servers_.push_back({{"h-north", "127.0.2.1:4100", "hub", 40, 9, 0}});
    servers_.push_back({{"h-south", "127.0.2.2:4100", "hub", 40, 9, 0}});
    servers_.push_back({{"o-head", "127.0.2.9:4100", "store", 60, 9, 0}});
}

SimulatedServer& SimulatedServers::find(const std::string& id) {
    const auto server = std::find_if(servers_.begin(), servers_.end(),
                                     [&id](const SimulatedServer& s) { return s.listing.id == id; });
    if (server == servers_.end())
        throw std::out_of_range("no simulated server " + id);
    return *server;
}

// ---- attempts ------------------------------------------------------------------------------------------

void SimulatedAttemptSender::start(core::AttemptRequest request, core::AttemptEvents& events) {
    const AttemptKey key = request.key;
    SimulatedServer& server = servers_.find(request.target.address);
    in_flight_.insert(key);
    ++server.in_flight;
    const Duration delay = kMinConnectDelay + random_.below(kConnectJitter);
    schedule(key, server, delay,
             [this, request = std::move(request), &events, &server] { connect(request, events, server); });
}

void SimulatedAttemptSender::cancel(const AttemptKey& key) {
    in_flight_.erase(key);
}

void SimulatedAttemptSender::discard_connections(const core::ServerId&) {}

void SimulatedAttemptSender::connect(const core::AttemptRequest& request, core::AttemptEvents& events,
                                     SimulatedServer& server) {
    const AttemptKey key = request.key;
    if (!events.before_first_byte(key))
        return end(key, events, server, {.attempt_status = AttemptStatus::not_sent});
    if (server.down)
        return end(key, events, server, {.attempt_status = AttemptStatus::connect_failed});
    auto response = respond(request, server);
    if (!response)
        return;  // its timeout ends it
    schedule(key, server, response->delay,
             [this, key, &events, &server, result = std::move(response->result)] {
                 end(key, events, server, result);
             });
}

void SimulatedAttemptSender::schedule(const AttemptKey& key, SimulatedServer& server, Duration delay,
                                      EventScheduler::Action action) {
    scheduler_.schedule_after(delay, [this, key, &server, action = std::move(action)] {
        if (in_flight_.contains(key))
            action();
        else
            --server.in_flight;
    });
}

void SimulatedAttemptSender::end(const AttemptKey& key, core::AttemptEvents& events, SimulatedServer& server,
                                 core::AttemptResult result) {
    --server.in_flight;
    if (in_flight_.erase(key) > 0)
        events.ended(key, std::move(result));
}

// ---- responses -----------------------------------------------------------------------------------------

std::optional<SimulatedAttemptSender::Response> SimulatedAttemptSender::respond(
    const core::AttemptRequest& request, const SimulatedServer& server) {
    const double requested_kb = request.client_request->size_kb;
    const double size_kb = requested_kb > 0 ? requested_kb : kDefaultSizeKb;
    const double crowding =
        1 + static_cast<double>(std::max(0, server.in_flight - kUncrowdedInFlight)) / kUncrowdedInFlight;
    const Duration transfer{static_cast<Duration::rep>(size_kb / kBandwidthKbPerS * 1e9 * crowding)};
    Response response{{.attempt_status = AttemptStatus::success},
                      transfer + kMinServiceTime + random_.below(kServiceJitter)};
    response.result.load = load_report(server);
    const double luck = random_.uniform();
    if (luck < kResetBelow) {
        response.result = {.attempt_status = AttemptStatus::reset};
    } else if (luck < kErrorBelow) {
        response.result = {.attempt_status = AttemptStatus::error};
    } else if (server.in_flight > kMaxInFlight) {
        response.result.attempt_status = AttemptStatus::overloaded;
        response.delay = kRejectDelay;
    } else if (luck < kSilentBelow) {
        return std::nullopt;
    } else {
        serve(request, server, response);
    }
    if (response.result.attempt_status == AttemptStatus::success)
        add_content(size_kb, response.result);
    return response;
}

routing::LoadReport SimulatedAttemptSender::load_report(const SimulatedServer& server) {
    routing::LoadReport load;
    load.in_flight = server.in_flight;
    load.utilisation = rounded_to_percent(std::min(1.0, server.in_flight / kFullInFlight));
    load.hit_ratio = 0.7;
    load.link_utilisation = std::round(random_.uniform() * 20) / 100 + 0.3;
    return load;
}

void SimulatedAttemptSender::serve(const core::AttemptRequest& request, const SimulatedServer& server,
                                   Response& response) {
    if (request.client_request->write) {
        response.delay += 30ms + random_.below(60ms);
        response.result.cache_status = CacheStatus::filled_from_origin;
    } else if (is_cached(server, *request.client_request)) {
        response.result.cache_status = CacheStatus::hit;
    } else if (!request.source) {
        response.result.attempt_status = AttemptStatus::miss;
        response.delay = kMinServiceTime;
    } else {
        response.result.cache_status = CacheStatus::filled;
        response.result.source_wait =
            std::chrono::duration_cast<std::chrono::microseconds>(20ms + random_.below(60ms));
        response.delay += response.result.source_wait;
    }
}

void SimulatedAttemptSender::add_content(double size_kb, core::AttemptResult& result) {
    const bool fresh = result.cache_status != CacheStatus::hit;
    const Duration age = fresh ? Duration{0} : random_.below(kMaxCopyAge);
    result.body.assign(static_cast<std::size_t>(size_kb * kBodyBytesPerKb), 'x');
    result.tag = kEntityTag;
    result.generated_ms = (clock_.true_unix_ns() - age.count()) / kNsPerMs;
}

// A copy is there once its object was asked for at that server, and may have been evicted since.
bool SimulatedAttemptSender::is_cached(const SimulatedServer& server, const core::ClientRequest& request) {
    const std::uint64_t object_part = static_cast<std::uint64_t>(request.object_id) ^ request.segment;
    const std::uint64_t key = trace::checksum(server.listing.id, object_part);
    if (cached_.size() > kMaxCached)
        cached_.clear();
    const bool asked_before = !cached_.insert(key).second;
    return asked_before && random_.uniform() > kEvictedShare;
}

}  // namespace silverrail::lab
