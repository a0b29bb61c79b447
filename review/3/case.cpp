// Many groups are purged while discovery is down; when it is back it is slow to tell the missed events. Later
// than a purge counts as told, and its grace, no copy from before it may be served, the router's own
// included.
#include <random>

#include "../common/harness.h"

using namespace review;

namespace {

constexpr int kLots = 32;
constexpr int kPurgedLots = 20;                // 62.5%
constexpr int kObjectsPerLot = 4;              // that were asked for before
constexpr std::int64_t kDownMs = 7900;         // at most 8 s
constexpr std::int64_t kPurgeAfterMs = 300;    // from when discovery went down
constexpr std::int64_t kEventIntervalMs = 50;  // between missed events, told late
constexpr std::int64_t kRequestIntervalMs = 15;
constexpr std::int64_t kSettleMs = 2500;
// "counts as told 7 s later at the latest"; the settings' grace; "every time limit is longer by 50 ms".
constexpr std::int64_t kToldByMs = 7000;
constexpr std::int64_t kGraceMs = 500;
constexpr std::int64_t kSlackMs = 50;
constexpr std::int64_t kDroppedByMs = 5000;  // caches drop purged copies, within 6 s

// What the caches hold. A copy's bytes tell when the origin made it.
class Copies {
public:
    std::string answer(const std::string& server, const ServerRequest& request) {
        const std::int64_t now = unix_ms();
        const std::lock_guard lock{mutex_};
        const auto [copy, absent] = made_.try_emplace(request.path, now);
        std::int64_t& made = copy->second;
        const bool dropped = purged_ms_ > 0 && made <= purged_ms_ && now > purged_ms_ + kDroppedByMs;
        const std::int64_t oldest = std::atoll(request.message.header("no-older-than").c_str());
        const bool fill = absent || dropped || (oldest > 0 && made < now - oldest);
        if (fill)
            made = now;
        record.line("%s answers %s for call %s, made at %lld", server.c_str(), request.path.c_str(),
                    request.call_id.c_str(), static_cast<long long>(made));
        return server_answer("200 OK",
                             "Tag: t" + std::to_string(made) + "\r\nMade-At: " + std::to_string(made) +
                                 "\r\nDetail: " + (fill ? "filled" : "hit") + "\r\n",
                             std::to_string(made));
    }
    void purge(std::int64_t issued_ms) {
        const std::lock_guard lock{mutex_};
        purged_ms_ = issued_ms;
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::int64_t> made_;  // by path
    std::int64_t purged_ms_ = 0;
};

struct Object {
    int lot = 0;
    std::string id;
};

std::vector<Object> objects() {
    std::vector<Object> out;
    for (int lot = 0; lot < kLots; ++lot)
        for (int i = 0; i < kObjectsPerLot; ++i)
            out.push_back({lot, object_id(0x7000 + lot * 16 + i)});
    std::shuffle(out.begin(), out.end(), std::mt19937{44});
    return out;
}

Message ask_for(const std::string& router, const Object& object) {
    ClientRequest request;
    request.class_name = "bulk-files";
    request.object = object.id;
    request.lot = object.lot;
    return ask(router, request);
}

// How many were served from a copy that is older than a purge which counted as told by then.
int ask_after_purge(const std::string& router, std::int64_t purged_ms, std::int64_t published_ms,
                    int& served) {
    int old = 0;
    for (const Object& object : objects()) {
        const std::int64_t sent = unix_ms();
        const Message answer = ask_for(router, object);
        const std::int64_t made = std::atoll(answer.body.c_str());
        const bool binding = sent > published_ms + kToldByMs + kGraceMs + kSlackMs;
        const bool from_before = answer.status() == 200 && object.lot < kPurgedLots && made < purged_ms;
        served += answer.status() == 200 ? 1 : 0;
        old += binding && from_before ? 1 : 0;
        record.line(
            "client: object %s of lot %d%s, sent %lld ms after the purge: answer %d, copy made at %lld%s",
            object.id.c_str(), object.lot, object.lot < kPurgedLots ? " (purged)" : "",
            static_cast<long long>(sent - purged_ms), answer.status(), static_cast<long long>(made),
            !from_before ? ""
            : binding    ? ", FROM BEFORE THE PURGE"
                         : ", from before the purge, in its grace");
        sleep_ms(kRequestIntervalMs);
    }
    return old;
}

Deployment deployment(const std::string& bulletin, const std::vector<std::unique_ptr<Server>>& servers) {
    Deployment out;
    out.bulletin = bulletin;
    for (const auto& server : servers)
        out.servers.push_back(server->json());
    out.classes = R"({"name":"bulk-files","aim":400000000,"aim-stretch":1.6,"give-up":5000000000,
"effect":"pure","worth":2,"late-worth":0.15})";
    out.per_class = R"("max-age":[0],"class-grace":[0],"stale-earns":[0.7],"segmented":[false],
"uncached":[false])";
    return out;
}

}  // namespace

int main(int, char** argv) {
    const std::string folder = argv[1];
    record.open(argv[2]);
    Copies copies;
    std::vector<std::unique_ptr<Server>> servers;
    const auto add = [&](const std::string& id, const std::string& zone, const std::string& kind) {
        servers.push_back(std::make_unique<Server>(
            id, zone, kind,
            [&copies, id](const ServerRequest& request) { return copies.answer(id, request); }));
    };
    for (int i = 0; i < 4; ++i)
        add("s-" + std::to_string(i), "edge-1", "small-box");
    add("p-0", "north", "hub");
    add("o-0", "north", "store");
    Bulletin bulletin;
    const RouterFiles files{folder, "n0", free_address(), "", ""};
    write_file(folder + "/n0.json", configuration(files, deployment(bulletin.address(), servers)));
    Router router{files};
    router.wait_until_ready();
    sleep_ms(kSettleMs);
    for (const Object& object : objects()) {
        if (ask_for(files.listen, object).status() != 200)
            could_not_run("a request before the purge was not served");
        sleep_ms(10);
    }
    if (with_trouble())
        bulletin.go_down();
    sleep_ms(kPurgeAfterMs);
    const std::int64_t purged_ms = unix_ms();
    copies.purge(purged_ms);
    for (int lot = 0; lot < kPurgedLots; ++lot)
        bulletin.publish("\"recall\":{\"lot\":" + std::to_string(lot) +
                         ",\"issued\":" + std::to_string(purged_ms) + "}");
    const std::int64_t published_ms = unix_ms();
    record.line("%d of %d lots are purged at %lld", kPurgedLots, kLots, static_cast<long long>(purged_ms));
    sleep_ms(kDownMs - kPurgeAfterMs);
    if (with_trouble())
        bulletin.come_back(kEventIntervalMs);
    int served = 0;
    const int old = ask_after_purge(files.listen, purged_ms, published_ms, served);
    record.line("%d served, %d of them from a copy older than a purge that counted as told", served, old);
    if (router.ended())
        could_not_run("the router ended");
    if (served == 0)
        could_not_run("nothing was served after the purge");
    record.line(old > 0 ? "BROKEN: purged copies were served" : "HELD");
    return old > 0 ? kBroken : kHeld;
}
