// The platform's protocol as the program speaks it, held against literals: fields of clients' requests and of
// their answers, fields of the attempts that go to servers and of the servers' answers, discovery events. The
// real program runs between stand-in clients, servers and a discovery stream.
#include <set>

#include "support.h"

using namespace compatibility;

namespace {

constexpr const char* kTag = "4be0c1927d55a6f3";
constexpr const char* kObject = "7f3a9c21e0b4d655";

std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string http_answer(const std::string& status, const std::string& headers, const std::string& body = {}) {
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// A server's good answer: a copy that the origin gave out just now.
std::string good_answer(const std::string& detail = "hit") {
    return http_answer("200 OK",
                       std::string{"Tag: "} + kTag + "\r\nMade-At: " + std::to_string(unix_ms()) +
                           "\r\nDetail: " + detail + "\r\n",
                       "bytes of the object");
}

StandInServer::Answer always(const std::string& answer) {
    return [answer](const HttpMessage&) {
        return answer;
    };
}

// Ids of requests and objects, each used once.
std::string fresh_id() {
    static unsigned long long used = 0;
    char text[17];
    std::snprintf(text, sizeof text, "9b1f%012llx", ++used);
    return text;
}

// A client's request: method, class and object, and header lines beside the two that every request has.
std::string client_request(const std::string& method, const std::string& class_name,
                           const std::string& object, const std::string& headers = {},
                           const std::string& body = {}) {
    std::string request =
        method + " /ops/" + class_name + "/" + object + "/piece-3 HTTP/1.1\r\nHost: app.svc\r\n";
    request += "Trace-Id: " + fresh_id() + "\r\nMax-Wait-Ms: 1500\r\n" + headers;
    if (!body.empty())
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return request + "\r\n" + body;
}

std::string read_request(const std::string& class_name, const std::string& object) {
    return client_request("GET", class_name, object, "X-Lot: 17\r\n");
}

std::set<std::string> header_names(const HttpMessage& message) {
    std::set<std::string> names;
    for (const auto& [name, value] : message.headers)
        names.insert(name);
    return names;
}

// One cache, and a parent and an origin that are only ever named as sources.
std::vector<Json::Value> one_cache(const std::string& address) {
    return {listed_server("s-00c41f7a", address, "small-box", "edge-1"),
            listed_server("s-parent", "127.0.0.1:9", "parent", "north"),
            listed_server("s-origin", "127.0.0.1:9", "origin", "north")};
}

// The first attempt gets this answer, all further ones a good one.
StandInServer::Answer once(const std::string& answer) {
    return [answer, used = std::make_shared<std::atomic<bool>>(false)](const HttpMessage&) {
        return used->exchange(true) ? good_answer() : answer;
    };
}

// ---- requests of clients and attempts at servers

void phases_and_counters_are_served(const RouterProcess& router) {
    const auto alive = get(router.port, "/alive");
    CHECK(alive.status() == 200 && alive.body == "ready");
    CHECK(get(router.port, "/counters").status() == 200);
}

void fields_of_a_read(const RouterProcess& router, StandInServer& cache) {
    cache.answer_with(always(good_answer()));
    const auto answer = http_call(router.port,
                                  "GET /ops/pages/7f3a9c21e0b4d655/piece-3 HTTP/1.1\r\nHost: app.svc\r\n"
                                  "Trace-Id: 9b1f03aa5c7e2d41\r\nMax-Wait-Ms: 1500\r\nX-Lot: 17\r\n"
                                  "Reserve-Kb: 412.5\r\nIf-None-Match: \"aaaaaaaaaaaaaaaa\"\r\n\r\n");
    CHECK(answer.status() == 200 && answer.body == "bytes of the object");
    CHECK(answer.header("ETag") == "\"4be0c1927d55a6f3\"");
    CHECK((header_names(answer) == std::set<std::string>{"Content-Length", "ETag"}));

    const auto attempt = cache.last_request();
    CHECK(attempt.start_line == "GET /obj/pages/7f3a9c21e0b4d655/3 HTTP/1.1");
    CHECK((header_names(attempt) ==
           std::set<std::string>{"Host", "Call-Id", "Call-Ms", "Miss-To", "Handling", "Have"}));
    CHECK(attempt.header("Host") == cache.address());
    CHECK(attempt.header("Call-Id") == "9b1f03aa5c7e2d41");
    const int call_ms = std::atoi(attempt.header("Call-Ms").c_str());
    CHECK(call_ms > 0 && call_ms <= 1500);
    CHECK(attempt.header("Miss-To") == "s-parent");
    CHECK(attempt.header("Handling") == "j");
    CHECK(attempt.header("Have") == "aaaaaaaaaaaaaaaa");
}

// Asked for again and again, an object is kept, at a higher rank, and renewed.
void fields_of_a_popular_read(const RouterProcess& router, StandInServer& cache) {
    const std::string object = fresh_id();
    HttpMessage attempt;
    for (int i = 0; i < 3; ++i) {
        CHECK(http_call(router.port, read_request("pages", object)).status() == 200);
        attempt = cache.last_request();
    }
    CHECK((header_names(attempt) ==
           std::set<std::string>{"Host", "Call-Id", "Call-Ms", "Miss-To", "Store-As", "Handling"}));
    CHECK(attempt.header("Store-As") == "3");
    CHECK(attempt.header("Handling") == "j+r");
}

void fields_of_a_write(const RouterProcess& router, StandInServer& cache) {
    const auto answer =
        http_call(router.port,
                  client_request("PUT", "order", kObject, "X-Lot: 17\r\nReplay-Key: key-1\r\n", "timesheet"));
    CHECK(answer.status() == 200);
    const auto attempt = cache.last_request();
    CHECK(attempt.start_line == "PUT /obj/order/7f3a9c21e0b4d655/3 HTTP/1.1");
    CHECK(attempt.body == "timesheet" && attempt.header("Call-Once") == "key-1");
    // Nothing of this class is kept by caches: the origin is the source.
    CHECK(attempt.header("Miss-To") == "s-origin");
    CHECK((header_names(attempt) ==
           std::set<std::string>{"Host", "Call-Id", "Call-Ms", "Call-Once", "Miss-To", "Content-Length"}));
}

void the_clients_copy_is_the_one(const RouterProcess& router, StandInServer& cache) {
    cache.answer_with(always(http_answer(
        "304 Not Modified",
        std::string{"Tag: "} + kTag + "\r\nMade-At: " + std::to_string(unix_ms()) + "\r\nDetail: hit\r\n")));
    const auto answer = http_call(
        router.port, client_request("GET", "pages", fresh_id(),
                                    std::string{"X-Lot: 17\r\nIf-None-Match: \""} + kTag + "\"\r\n"));
    CHECK(answer.status() == 304 && answer.header("ETag") == std::string{"\""} + kTag + "\"");
}

// Each request differs in one field from a good one.
void unfit_requests_are_refused(const RouterProcess& router) {
    const std::string target = "GET /ops/pages/7f3a9c21e0b4d655/piece-3";
    const std::string id = "Trace-Id: 9b1f03aa5c7e2d41\r\n";
    const std::string wait = "Max-Wait-Ms: 1500\r\n";
    const struct {
        std::string target, headers;
        int status;
    } kRequests[] = {{target, id + wait, 200},
                     {target, wait, 400},
                     {target, "Trace-Id: 9b1f03aa5c7e2d4\r\n" + wait, 400},
                     {target, id, 400},
                     {target, id + "Max-Wait-Ms: x\r\n", 400},
                     {target, id + "Max-Wait-Ms: 600001\r\n", 400},
                     {target, id + wait + "X-Lot: 255\r\n", 200},
                     {target, id + wait + "X-Lot: 256\r\n", 400},
                     {target, id + wait + "Reserve-Kb: 412.5\r\n", 200},
                     {target, id + wait + "Reserve-Kb: x\r\n", 400},
                     {target, id + wait + "Replay-Key: a\r\n", 200},
                     {target, id + wait + "Replay-Key: a\r\nReplay-Key: b\r\n", 400},
                     {"GET /obj/pages/7f3a9c21e0b4d655/piece-3", id + wait, 400},
                     {"GET /ops/pages/7f3a9c21e0b4d65/piece-3", id + wait, 400},
                     {"GET /ops/pages/7f3a9c21e0b4d655/part-3", id + wait, 400},
                     {"POST /ops/pages/7f3a9c21e0b4d655/piece-3", id + wait, 400}};
    for (const auto& request : kRequests) {
        const auto answer = http_call(
            router.port, request.target + " HTTP/1.1\r\nHost: app.svc\r\n" + request.headers + "\r\n");
        check_that(answer.status() == request.status, request.target + "\n" + request.headers + "gives " +
                                                          std::to_string(request.status) + ", not " +
                                                          answer.start_line);
    }
}

// ---- answers of servers

// How each answer is counted tells what the program took it for.
void endings_of_attempts(const RouterProcess& router, StandInServer& cache) {
    const std::string not_begun = "Not-Begun: 1\r\n";
    const struct {
        std::string answer, counter;
    } kAnswers[] = {{http_answer("404 Not Found", ""), "ending_miss"},
                    {http_answer("503 Service Unavailable", not_begun), "ending_full"},
                    {http_answer("503 Service Unavailable", ""), "ending_error"},
                    {http_answer("500 Internal Server Error", ""), "ending_error"},
                    {http_answer("504 Gateway Timeout", not_begun), "ending_not_sent"},
                    {http_answer("504 Gateway Timeout", ""), "ending_error"},
                    {"no HTTP\r\n\r\n", "ending_reset"},
                    {good_answer(), "ending_good"}};
    for (const auto& [answer, counter] : kAnswers) {
        const auto before = router.counters();
        cache.answer_with(once(answer));
        http_call(router.port, read_request("pages", fresh_id()));
        const auto after = router.counters();
        const auto grown = after.at(counter) - before.at(counter);
        check_that(grown >= 1, answer + "counts as " + counter);
        for (const char* other :
             {"ending_miss", "ending_full", "ending_error", "ending_not_sent", "ending_reset"})
            if (other != counter)
                check_that(after.at(other) == before.at(other), answer + "does not count as " + other);
    }
}

void final_answers(const RouterProcess& router, StandInServer& cache) {
    // It may have run, and is not repeated: failed.
    cache.answer_with(always(http_answer("500 Internal Server Error", "")));
    const auto failed =
        http_call(router.port, client_request("PUT", "lodge", fresh_id(), "X-Lot: 17\r\n", "timesheet"));
    CHECK(failed.status() == 502);
    // It never ran: refused, and the client is told how long to stay away.
    cache.answer_with(always(http_answer("503 Service Unavailable", "Not-Begun: 1\r\n")));
    const auto refused =
        http_call(router.port, client_request("PUT", "lodge", fresh_id(), "X-Lot: 17\r\n", "timesheet"));
    CHECK(refused.status() == 503);
    check_that(std::atoi(refused.header("Hold-Off-Ms").c_str()) > 0, refused.start_line);
}

// No answer by the deadline, and it may have run.
void a_deadline_that_passes(const RouterProcess& router, StandInServer& cache) {
    cache.answer_with([](const HttpMessage&) {
        std::this_thread::sleep_for(600ms);
        return good_answer();
    });
    const auto answer = http_call(router.port,
                                  "PUT /ops/lodge/7f3a9c21e0b4d655/piece-3 HTTP/1.1\r\nHost: app.svc\r\n"
                                  "Trace-Id: 9b1f03aa5c7e2d42\r\nMax-Wait-Ms: 200\r\nX-Lot: 17\r\n"
                                  "Content-Length: 1\r\n\r\nx");
    check_that(answer.status() == 504, answer.start_line);
}

// The notes of servers' answers, and the time waited for a source, as the program's own trace tells them.
void details_of_answers() {
    const std::pair<const char*, const char*> kDetails[] = {{"hit", "hit"},
                                                            {"filled", "filled"},
                                                            {"via_origin", "filled_by_origin"},
                                                            {"joined", "joined"},
                                                            {"stale", "stale"},
                                                            {"src_refused", "source_refused"},
                                                            {"src_broke", "source_unreached"},
                                                            {"src_lacks", "source_lacks"},
                                                            {"no_slot", "no_fill_place"},
                                                            {"origin_failed", "origin_failed"}};
    StandInServer cache{always(good_answer())};
    RouterProcess router;
    const auto traces = router.folder().path() / "traces";
    router.settings["trace"]["folder"] = traces.string();
    router.start(platform_config(router.port, one_cache(cache.address())));
    std::map<std::string, std::string> object_of;
    for (const auto& [detail, note] : kDetails) {
        object_of[detail] = fresh_id();
        cache.answer_with(
            once(http_answer("200 OK",
                             std::string{"Tag: "} + kTag + "\r\nMade-At: " + std::to_string(unix_ms()) +
                                 "\r\nDetail: " + detail + "\r\nFill-Wait: 12.5\r\n",
                             "bytes")));
        CHECK(http_call(router.port, read_request("pages", object_of[detail])).status() == 200);
    }
    CHECK(router.stop() == 0);
    std::string trace_file;
    for (const auto& file : std::filesystem::directory_iterator{traces})
        trace_file = file.path().string();
    for (const auto& [detail, note] : kDetails) {
        const auto shown =
            run_program({"trace", "show", trace_file, "--json", "--object", object_of[detail]});
        CHECK(shown.exit_code == 0);
        const Json::Value attempt = parse_json(shown.output)["attempts"][0];
        check_that(attempt["note"] == note, std::string{detail} + " is " + note + ": " + shown.output);
        check_that(attempt["source_wait_ms"] == 12.5, shown.output);
    }
}

// After failures of the origin the parent is asked only for what it holds.
void handling_after_the_origin_failed() {
    StandInServer cache{
        always(http_answer("503 Service Unavailable", "Not-Begun: 1\r\nDetail: origin_failed\r\n"))};
    RouterProcess router;
    router.start(platform_config(router.port, one_cache(cache.address())));
    constexpr int kMostRequests = 100;
    const auto asked_for_held = [&cache] {
        for (const auto& attempt : cache.requests())
            if (attempt.header("Handling") == "j+h")
                return true;
        return false;
    };
    for (int i = 0; i < kMostRequests && !asked_for_held(); ++i)
        http_call(router.port, read_request("pages", fresh_id()));
    CHECK(asked_for_held());
}

// ---- discovery

std::string roster_event(bool full, const std::vector<Json::Value>& servers) {
    Json::Value event;
    event["roster"]["version"] = 7;
    event["roster"]["full"] = full;
    event["roster"]["servers"] = Json::Value{Json::arrayValue};
    for (const auto& server : servers)
        event["roster"]["servers"].append(server);
    Json::StreamWriterBuilder one_line;
    one_line["indentation"] = "";
    return Json::writeString(one_line, event);
}

void changes_of_the_endpoint_list() {
    StandInServer first{always(good_answer())};
    StandInServer second{always(good_answer())};
    DiscoveryStream discovery;
    RouterProcess router;
    Json::Value config = platform_config(router.port, one_cache(first.address()));
    config["bulletin"] = discovery.address();
    config["known"]["no"] = 41;
    router.start(config);

    // It resumes after the number that the configuration gives.
    CHECK(wait_until([&] { return !discovery.request().start_line.empty(); }));
    CHECK(discovery.request().start_line == "GET /bulletins HTTP/1.1");
    CHECK(discovery.request().header("Last-Event-ID") == "41");
    CHECK(discovery.request().header("Accept") == "text/event-stream");

    const auto listed_now = [&router](long long count) {
        return wait_until([&] { return router.counters().at("hosts_listed") == count; });
    };
    // Of several objects, so that none goes to another server by chance.
    const auto asks_only = [&router](const StandInServer& server) {
        constexpr int kRequests = 12;
        const auto before = server.count();
        for (int i = 0; i < kRequests; ++i)
            CHECK(http_call(router.port, read_request("pages", fresh_id())).status() == 200);
        return server.count() == before + kRequests;
    };
    CHECK(listed_now(3) && asks_only(first));
    // A change: one server comes, the other leaves but is still listed.
    discovery.send_event(
        "42",
        roster_event(false, {listed_server("s-00c41f7a", first.address(), "small-box", "edge-1", "leaving"),
                             listed_server("s-second", second.address(), "small-box", "edge-1", "active")}));
    CHECK(listed_now(4) && asks_only(second));
    discovery.send_event(
        "43",
        roster_event(false, {listed_server("s-00c41f7a", first.address(), "small-box", "edge-1", "left")}));
    CHECK(listed_now(3) && asks_only(second));
    // A whole list: what it does not name has gone.
    auto whole = one_cache(first.address());
    whole.pop_back();
    discovery.send_event("44", roster_event(true, whole));
    CHECK(listed_now(2) && asks_only(first));
    CHECK(router.counters().at("lists") == 4);
}

// Kind and zone tell what a server is for: a cache of another zone is not asked, a parent is named as a
// source.
void kinds_and_zones_of_servers() {
    StandInServer near{always(good_answer())};
    StandInServer far{always(good_answer())};
    RouterProcess router;
    auto servers = one_cache(near.address());
    servers.push_back(listed_server("s-far", far.address(), "small-box", "north"));
    Json::Value config = platform_config(router.port, servers);
    // Other places in the list of kinds: the parent's is now the origin's.
    value_at(config, "settings.family-info.second-tier-kind") = 2;
    value_at(config, "settings.family-info.origin-kind") = 1;
    router.start(config);
    constexpr int kRequests = 20;
    for (int i = 0; i < kRequests; ++i)
        CHECK(http_call(router.port, read_request("pages", fresh_id())).status() == 200);
    CHECK(near.count() == kRequests && far.count() == 0);
    CHECK(near.last_request().header("Miss-To") == "s-origin");
}

// Weights of 1 and 20: the heavier server has the more objects.
void weights_of_servers() {
    StandInServer light{always(good_answer())};
    StandInServer heavy{always(good_answer())};
    auto servers = one_cache(light.address());
    servers[0]["weight"] = 1;
    servers.push_back(listed_server("s-heavy", heavy.address(), "small-box", "edge-1"));
    servers.back()["weight"] = 20;
    RouterProcess router;
    router.start(platform_config(router.port, servers));
    constexpr int kRequests = 60;
    for (int i = 0; i < kRequests; ++i)
        CHECK(http_call(router.port, read_request("pages", fresh_id())).status() == 200);
    check_that(heavy.count() > 5 * light.count(),
               std::to_string(heavy.count()) + " and " + std::to_string(light.count()));
}

// A write that may have run is repeated within its cell only.
void cells_of_servers() {
    StandInServer one{always(http_answer("500 Internal Server Error", ""))};
    StandInServer other{always(http_answer("500 Internal Server Error", ""))};
    auto servers = one_cache(one.address());
    servers[0]["cell"] = 1;
    servers.push_back(listed_server("s-other", other.address(), "small-box", "edge-1"));
    servers.back()["cell"] = 2;
    RouterProcess router;
    Json::Value config = platform_config(router.port, servers);
    value_at(config, "settings.classes.2.group") = "cell";
    router.start(config);
    constexpr int kRequests = 4;
    for (int i = 0; i < kRequests; ++i) {
        const auto before_one = one.count();
        const auto before_other = other.count();
        http_call(router.port,
                  client_request("PUT", "order", fresh_id(), "X-Lot: 17\r\nReplay-Key: k\r\n", "timesheet"));
        const bool only_one = one.count() > before_one && other.count() == before_other;
        const bool only_other = other.count() > before_other && one.count() == before_one;
        CHECK(only_one || only_other);
    }
}

// A purge bounds the age of the copies that servers may answer from, of an object or of a group.
void purges() {
    StandInServer cache{always(good_answer())};
    DiscoveryStream discovery;
    RouterProcess router;
    Json::Value config = platform_config(router.port, one_cache(cache.address()));
    config["bulletin"] = discovery.address();
    router.start(config);
    const auto purges_heard = [&router](long long count) {
        return wait_until([&] { return router.counters().at("purges") == count; });
    };
    const auto oldest_for = [&](const std::string& object, const std::string& group) {
        const auto before = cache.count();
        http_call(router.port, client_request("GET", "pages", object, "X-Lot: " + group + "\r\n"));
        CHECK(cache.count() > before);
        return cache.last_request().header("No-Older-Than");
    };
    const auto is_age_of_purge = [](const std::string& oldest) {
        const int ms = std::atoi(oldest.c_str());
        return ms > 500 && ms < 4000;
    };
    CHECK(oldest_for(fresh_id(), "18").empty());
    const auto issued = std::to_string(unix_ms() - 1000);
    discovery.send_event("2", R"({"no":2,"recall":{"item":"00000000000000aa","issued":)" + issued + "}}");
    CHECK(purges_heard(1));
    CHECK(is_age_of_purge(oldest_for("00000000000000aa", "18")));
    CHECK(oldest_for(fresh_id(), "18").empty());
    discovery.send_event("3", R"({"no":3,"recall":{"lot":17,"issued":)" + issued + "}}");
    CHECK(purges_heard(2));
    CHECK(is_age_of_purge(oldest_for(fresh_id(), "17")));
    CHECK(oldest_for(fresh_id(), "18").empty());
    // An event of no known form is counted, and passed over.
    discovery.send_event("4", R"({"no":4,"recalled":{"lot":17,"issued":1}})");
    CHECK(wait_until([&] { return router.counters().at("bulletin.unreadable") > 0; }));
}

// Made-At is the age of a copy: one given out just now is kept by the router and answers by itself, an old
// one not.
void own_copies_go_by_their_age() {
    StandInServer cache{always(good_answer())};
    DiscoveryStream discovery;
    RouterProcess router;
    Json::Value config = platform_config(router.port, one_cache(cache.address()));
    config["bulletin"] = discovery.address();
    router.start(config);
    const std::string young = fresh_id();
    const auto answered_by_itself = [&](const std::string& object) {
        const auto before = router.counters().at("own_fresh");
        CHECK(http_call(router.port, read_request("pages", object)).status() == 200);
        return router.counters().at("own_fresh") > before;
    };
    CHECK(wait_until([&] { return answered_by_itself(young); }));
    cache.answer_with([](const HttpMessage&) {
        return http_answer("200 OK",
                           std::string{"Tag: "} + kTag + "\r\nMade-At: " + std::to_string(unix_ms() - 7900) +
                               "\r\nDetail: hit\r\n",
                           "bytes of the object");
    });
    const std::string old = fresh_id();
    for (int i = 0; i < 3; ++i) {
        CHECK(!answered_by_itself(old));
        std::this_thread::sleep_for(150ms);
    }
}

}  // namespace

int main() {
    {
        StandInServer cache{always(good_answer())};
        RouterProcess router;
        router.start(platform_config(router.port, one_cache(cache.address())));
        phases_and_counters_are_served(router);
        fields_of_a_read(router, cache);
        fields_of_a_popular_read(router, cache);
        fields_of_a_write(router, cache);
        the_clients_copy_is_the_one(router, cache);
    }
    {
        StandInServer cache{always(good_answer())};
        RouterProcess router;
        router.start(platform_config(router.port, one_cache(cache.address())));
        unfit_requests_are_refused(router);
        endings_of_attempts(router, cache);
        final_answers(router, cache);
        a_deadline_that_passes(router, cache);
    }
    details_of_answers();
    handling_after_the_origin_failed();
    changes_of_the_endpoint_list();
    kinds_and_zones_of_servers();
    weights_of_servers();
    cells_of_servers();
    purges();
    own_copies_go_by_their_age();
    std::puts("protocol: every field and event is read and written under its name");
}
