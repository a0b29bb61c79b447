// Tables of well-formed and malformed input for the parsers.
#include <map>

#include "check.h"
#include "config/number.h"
#include "front/dns/response.h"
#include "front/dns/zone.h"
#include "front/platform/platform.h"
#include "net/backoff.h"
#include "net/server_protocol.h"
#include "net/sse_parser.h"

using namespace silverrail;
using namespace std::chrono_literals;
using namespace std::string_literals;

namespace {

void sse_events_are_parsed_however_the_input_is_split() {
    struct Case {
        const char* bytes;
        std::size_t events;
        const char* id;
        const char* data;
    };
    const Case cases[] = {
        {"id: 7\ndata: {}\n\n", 1, "7", "{}"},
        {"id:7\r\ndata:a\r\ndata: b\r\n\r\n", 1, "7", "a\nb"},
        {": still here\n\n", 0, "", ""},
        {"data: half", 0, "", ""},
        {"event: x\nretry: 5\ndata: y\n\n", 1, "", "y"},
        {"id: 1\ndata: a\n\ndata: b\n\n", 2, "1", "b"},
        {"\xEF\xBB\xBF"
         "data: c\n\n",
         1, "", "c"},
        {"data\n\n", 1, "", ""},
    };
    for (const Case& c : cases)
        for (const std::size_t step : {std::size_t{1}, std::size_t{1000}}) {
            net::SseParser parser;
            std::size_t events = 0;
            net::SseParser::Event last;
            const std::string_view bytes = c.bytes;
            for (std::size_t at = 0; at < bytes.size(); at += step)
                CHECK(parser.feed(bytes.substr(at, step), [&](const auto& e) { ++events, last = e; }));
            CHECK(events == c.events && last.id == c.id && last.data == c.data);
        }
    net::SseParser bounded{64};
    CHECK(!bounded.feed(std::string(100, 'x'), [](const auto&) {}));
}

void platform_requests_are_parsed_or_refused() {
    struct Case {
        net::http::verb verb;
        const char* target;
        const char* trace;
        const char* wait;
        const char* extra;
        const char* value;
        bool good;
    };
    constexpr auto get = net::http::verb::get;
    constexpr auto put = net::http::verb::put;
    const char* kTrace = "9b1f03aa5c7e2d41";
    const std::string kLongKey(129, 'k');
    const char* kTarget = "/ops/segment/7f3a9c21e0b4d655/piece-3";
    const Case cases[] = {
        {get, kTarget, kTrace, "1500", "X-Lot", "17", true},
        {put, kTarget, kTrace, "1500", "Reserve-Kb", "412.5", true},
        {net::http::verb::delete_, kTarget, kTrace, "1500", "X-Lot", "17", false},
        {get, "/ops/segment/7f3a9c21e0b4d655/3", kTrace, "1500", "X-Lot", "17", false},
        {get, "/ops/segment/7f3a9c21e0b4d655", kTrace, "1500", "X-Lot", "17", false},
        {get, "/ops//7f3a9c21e0b4d655/piece-3", kTrace, "1500", "X-Lot", "17", false},
        {get, "/ops/segment/7f3a/piece-3", kTrace, "1500", "X-Lot", "17", false},
        {get, "/ops/segment/7f3a9c21e0b4d655/piece--1", kTrace, "1500", "X-Lot", "17", false},
        {get, kTarget, "9b1f", "1500", "X-Lot", "17", false},
        {get, kTarget, kTrace, "0", "X-Lot", "17", false},
        {get, kTarget, kTrace, "soon", "X-Lot", "17", false},
        {get, kTarget, kTrace, "1500", "X-Lot", "256", false},
        {get, kTarget, kTrace, "1500", "Reserve-Kb", "nan", false},
        {put, kTarget, kTrace, "1500", "Replay-Key", "952b4cf81bd4b06dea4312995db7e770", true},
        {put, kTarget, kTrace, "1500", "Replay-Key", "", false},
        {put, kTarget, kTrace, "1500", "Replay-Key", "two words", false},
        {put, kTarget, kTrace, "1500", "Replay-Key", kLongKey.c_str(), false},
    };
    for (const Case& c : cases) {
        net::HttpRequest r{c.verb, c.target, 11};
        r.set("Trace-Id", c.trace);
        r.set("Max-Wait-Ms", c.wait);
        r.set(c.extra, c.value);
        CHECK(std::holds_alternative<core::ClientRequest>(front::parse_request(std::move(r), core::Time{})) ==
              c.good);
    }
    net::HttpRequest two_keys{put, kTarget, 11};
    two_keys.set("Trace-Id", kTrace);
    two_keys.set("Max-Wait-Ms", "1500");
    two_keys.insert("Replay-Key", "one");
    two_keys.insert("Replay-Key", "other");
    CHECK(
        std::holds_alternative<front::RequestError>(front::parse_request(std::move(two_keys), core::Time{})));
    struct Tag {
        const char* header;
        const char* bare;
    };
    for (const Tag& t :
         {Tag{"\"4be0\"", "4be0"}, Tag{"4be0", ""}, Tag{"W/\"4be0\"", ""}, Tag{"\"a\", \"b\"", ""}}) {
        net::HttpRequest r{get, kTarget, 11};
        r.set("Trace-Id", kTrace);
        r.set("Max-Wait-Ms", "5");
        r.set(net::http::field::if_none_match, t.header);
        CHECK(std::get<core::ClientRequest>(front::parse_request(std::move(r), core::Time{})).client_tag ==
              t.bare);
    }
}

void server_responses_are_converted_to_attempt_results() {
    using core::AttemptStatus;
    struct Case {
        unsigned status;
        const char* never_ran;
        const char* detail;
        AttemptStatus attempt_status;
        core::CacheStatus cache_status;
    };
    const Case cases[] = {
        {200, "", "hit", AttemptStatus::success, core::CacheStatus::hit},
        {304, "", "stale", AttemptStatus::success, core::CacheStatus::stale},
        {404, "", "src_lacks", AttemptStatus::miss, core::CacheStatus::source_missing},
        {503, "1", "no_slot", AttemptStatus::overloaded, core::CacheStatus::no_fill_slot},
        {503, "", "", AttemptStatus::error, core::CacheStatus::none},  // without Not-Begun it may have run
        {504, "1", "", AttemptStatus::not_sent, core::CacheStatus::none},
        {504, "", "", AttemptStatus::error, core::CacheStatus::none},
        {500, "", "origin_failed", AttemptStatus::error, core::CacheStatus::origin_failed},
        {418, "", "what", AttemptStatus::error, core::CacheStatus::none},
    };
    for (const Case& c : cases) {
        net::http::response<net::http::string_body> r{net::http::int_to_status(c.status), 11};
        r.result(c.status);
        if (*c.never_ran)
            r.set("Not-Begun", c.never_ran);
        r.set("Detail", c.detail);
        const auto result = net::attempt_result(std::move(r));
        CHECK(result.attempt_status == c.attempt_status && result.cache_status == c.cache_status);
    }
    const auto load = net::parse_load_report("inflight:7;util:0.61;x1:oops;;x0:0.4");
    CHECK(load.in_flight == 7 && load.utilisation == 0.61 && load.hit_ratio == 0.4 && !load.link_utilisation);
}

// The servers' names for how they obtained an object.
void cache_status_names_are_converted_both_ways() {
    using core::CacheStatus;
    const std::pair<const char*, CacheStatus> names[] = {{"hit", CacheStatus::hit},
                                                         {"filled", CacheStatus::filled},
                                                         {"via_origin", CacheStatus::filled_from_origin},
                                                         {"joined", CacheStatus::coalesced},
                                                         {"stale", CacheStatus::stale},
                                                         {"src_refused", CacheStatus::source_rejected},
                                                         {"src_broke", CacheStatus::source_unreachable},
                                                         {"src_lacks", CacheStatus::source_missing},
                                                         {"no_slot", CacheStatus::no_fill_slot},
                                                         {"origin_failed", CacheStatus::origin_failed}};
    for (const auto& [name, status] : names) {
        CHECK(net::parse_cache_status(name) == status);
        CHECK(net::cache_status_name(status) == name);
    }
    CHECK(net::parse_cache_status("unheard-of") == CacheStatus::none);
    CHECK(net::cache_status_name(CacheStatus::none).empty());
}

std::string query(const std::string& name, std::uint16_t type, const std::string& suffix = {},
                  std::uint16_t additional = 0, std::uint16_t flags = 0x0100) {
    std::string q = "\x12\x34"s;
    for (const std::uint16_t v : {flags, std::uint16_t{1}, std::uint16_t{0}, std::uint16_t{0}, additional})
        q += {static_cast<char>(v >> 8), static_cast<char>(v)};
    q += front::dns::encode_name(*front::dns::parse_name(name));
    for (const std::uint16_t v : {type, std::uint16_t{1}})
        q += {static_cast<char>(v >> 8), static_cast<char>(v)};
    return q + suffix;
}

void dns_queries_are_parsed_or_refused() {
    using namespace front::dns;
    const std::string opt = "\0\0\x29\x04\xd0\0\0\0\0\0\0"s;
    struct Case {
        std::string bytes;
        int rcode;  // -1: parsed; -2: dropped
    };
    const Case cases[] = {
        {query("a.example", 1), -1},
        {query("a.example", 1, opt, 1), -1},
        {query("a.example", 1, opt + opt, 2), 1},                         // two OPT
        {query("a.example", 1, "\1x" + opt, 1), 1},                       // OPT not at the root
        {query("a.example", 1, opt, 2), 1},                               // one record missing
        {query("a.example", 1, "junk"), 1},                               // trailing bytes
        {query("a.example", 1, {}, 0, 0x2800), 4},                        // UPDATE
        {query("a.example", 1, {}, 0, 0x8000), -2},                       // a response
        {query("a.example", 1).substr(0, 20), 1},                         // truncated in the name
        {query("a.example", 1).substr(0, 11), -2},                        // truncated in the header
        {"\x12\x34\1\0\0\1\0\0\0\0\0\0\xc0\x0c\0\1\0\1"s, 1},             // a pointer to itself
        {"\x12\x34\1\0\0\2\0\0\0\0\0\0\0\0\1\0\1\0\0\1\0\1"s, 1},         // two questions
        {"\x12\x34\1\0\0\1\0\0\0\0\0\0\x40"s + std::string(80, 'a'), 1},  // a label over 63 bytes
    };
    for (const Case& c : cases) {
        const auto parsed = parse_query(c.bytes);
        const auto* bad = std::get_if<QueryError>(&parsed);
        CHECK((bad == nullptr) == (c.rcode == -1));
        if (bad && c.rcode >= 0)
            CHECK(bad->respond && static_cast<int>(bad->rcode) == c.rcode);
        if (c.rcode == -2)
            CHECK(!bad->respond && encode_error(*bad).empty());
    }
    std::string long_name;
    for (int i = 0; i < 4; ++i)
        long_name += std::string(63, 'a') + '.';
    CHECK(!parse_name(long_name));
    CHECK(!parse_name("a..b"));

    // Over the size limit: only the question, with the TC flag.
    const auto q = std::get<Query>(parse_query(query("a.example", 16)));
    Response r;
    for (int i = 0; i < 4; ++i)
        r.answers.push_back({false, RecordType::txt, 0, txt_data(std::string(200, 'x'))});
    const std::string truncated = encode_response(q, r, *parse_name("example"), max_udp_response(q));
    CHECK(truncated.size() <= 512 && (truncated[2] & 2) && truncated[7] == 0);
    CHECK(!(encode_response(q, r, *parse_name("example"), 65535)[2] & 2));
}

void dns_names_find_their_entries() {
    using namespace front::dns;
    using Kind = ZoneEntry::Kind;
    ZoneSettings zone;
    zone.name = *parse_name("route.example");
    zone.name_server = *parse_name("ns1.hosts.route.example");
    const RequestClasses classes{[](const std::string& n) { return n == "pages" || n == "lodge"; },
                                 [](const std::string& n) {
                                     return n == "lodge";
                                 }};
    TxtRecords texts;
    texts.emplace(*parse_name("_acme-challenge.ns1.hosts.route.example"), "proof");
    struct Case {
        const char* name;
        Kind kind;
    };
    const Case cases[] = {
        {"route.example", Kind::apex},
        {"example", Kind::outside_zone},
        {"xroute.example", Kind::outside_zone},
        {"NS1.hosts.Route.example", Kind::name_server},
        {"hosts.route.example", Kind::empty_non_terminal},
        {"_acme-challenge.ns1.hosts.route.example", Kind::txt},
        {"pages.route.example", Kind::empty_non_terminal},
        {"7f3a9c21e0b4d655.pages.route.example", Kind::object},
        {"lot-17.7f3a9c21e0b4d655.PAGES.route.example", Kind::object},
        {"piece-3.lot-17.7f3a9c21e0b4d655.pages.route.example", Kind::object},
        {"piece-3.7f3a9c21e0b4d655.pages.route.example", Kind::object},
        {"lot-256.7f3a9c21e0b4d655.pages.route.example", Kind::nonexistent},
        {"lot-017.7f3a9c21e0b4d655.pages.route.example", Kind::nonexistent},
        {"x.piece-3.lot-17.7f3a9c21e0b4d655.pages.route.example", Kind::nonexistent},
        {"7f3a.pages.route.example", Kind::nonexistent},
        {"7f3a9c21e0b4d655.other.route.example", Kind::nonexistent},
        {"7f3a9c21e0b4d655.lodge.route.example", Kind::non_idempotent_class},
        {"lodge.route.example", Kind::non_idempotent_class},
    };
    for (const Case& c : cases)
        CHECK(find_entry(*parse_name(c.name), zone, classes, texts).kind == c.kind);
}

void numbers_must_fill_the_whole_string() {
    using config::parse_number;
    for (const char* bad : {"", " 1", "1 ", "+1", "-1", "1.5", "0x1", "4294967296", "one"})
        CHECK(!parse_number<std::uint32_t>(bad));
    CHECK(parse_number<std::uint32_t>("4294967295") == 4294967295U);
    CHECK(parse_number<std::uint32_t>("007") == 7U);
    CHECK(parse_number<std::int64_t>("-12") == -12);
    CHECK(parse_number<double>("1.5e3") == 1500.0);
    CHECK(!parse_number<double>("1.5;") && !parse_number<double>("+1.5"));
}

// The delays grow up to a limit, differ between seeds, and are the same for the same seed.
void backoff_grows_and_differs_between_routers() {
    using Ms = std::chrono::milliseconds;
    std::map<std::int64_t, int> first_delays;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        net::Backoff a{Ms{50}, Ms{500}, seed};
        net::Backoff same_seed{Ms{50}, Ms{500}, seed};
        Ms interval{50};
        for (int i = 0; i < 8; ++i) {
            const Ms delay = a.next();
            CHECK(delay == same_seed.next());
            if (i == 0) {
                CHECK(delay <= Ms{50});
                ++first_delays[delay.count()];
            } else {
                CHECK(delay >= interval / 2 && delay <= interval);
                interval = std::min(interval * 2, Ms{500});
            }
        }
        a.reset();
        CHECK(a.next() <= Ms{50});
    }
    CHECK(first_delays.size() > 30);  // 200 routers spread over 51 ms, without a peak
    for (const auto& [ms, count] : first_delays)
        CHECK(count < 20);
}

}  // namespace

int main() {
    numbers_must_fill_the_whole_string();
    backoff_grows_and_differs_between_routers();
    sse_events_are_parsed_however_the_input_is_split();
    platform_requests_are_parsed_or_refused();
    server_responses_are_converted_to_attempt_results();
    cache_status_names_are_converted_both_ways();
    dns_queries_are_parsed_or_refused();
    dns_names_find_their_entries();
    std::puts("parsers: all cases hold");
}
