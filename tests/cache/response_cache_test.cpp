// The response cache: which responses are stored, when they are used, and that purged ones never are.
#include "cache/response_cache.h"

#include <cstdio>
#include <random>
#include <vector>

#include "../silverrail/check.h"

using namespace silverrail::cache;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t kNowMs = 1'764'576'000'000;
const Time kNow{1000s};
const PurgeCoverage kCoverage{500ms, 6s};
const std::vector<silverrail::routing::ClassSettings> kClasses{
    {.name = "files", .latency_objective = 200ms, .objective_transfer_factor = 1.5, .client_timeout = 2s},
    {.name = "pages", .latency_objective = 200ms, .client_timeout = 2s, .max_age = 8s, .stale_grace = 20s},
    {.name = "lodge", .latency_objective = 200ms, .client_timeout = 2s, .uncached = true},
};
constexpr CacheLimits kLimits{.bytes = 100'000,
                              .uplink = {.per_response_bytes_per_s = 10'000, .total_bytes_per_s = 30'000}};

Lookup lookup(std::size_t class_index, std::uint64_t object = 1, std::string_view client_tag = {}) {
    return {{ObjectId{object}, class_index, 3}, GroupId{17}, true, client_tag};
}

void the_age_decides_between_a_fresh_a_stale_and_no_response() {
    const struct {
        const char* what;
        std::size_t class_index;
        std::int64_t age_ms;
        bool fresh, last_resort, stale;
    } kCases[] = {
        {"no max_age: fresh until purged", 0, 3'600'000, true, true, false},
        {"fresh", 1, 7'900, true, true, false},
        {"at its max_age", 1, 7'990, false, true, true},
        {"within its stale grace", 1, 27'900, false, true, true},
        {"past its stale grace", 1, 27'990, false, false, false},
        {"an uncached class", 2, 10, false, false, false},
    };
    for (const auto& c : kCases) {
        ResponseCache cache{kClasses, kLimits, kCoverage};
        cache.coverage().set_live(kNow - 1h);
        cache.store(lookup(c.class_index), "bytes", "tag", kNowMs - c.age_ms, 0, kNow);
        const auto last = cache.find_last_resort(lookup(c.class_index), kNow, kNowMs, kNow + 2s);
        const auto now = cache.find_fresh(lookup(c.class_index), kNow + 1s, kNowMs);
        std::printf("  %s\n", c.what);
        CHECK(now.has_value() == c.fresh && last.has_value() == c.last_resort);
        if (last)
            CHECK(last->stale == c.stale && *last->body == "bytes" && last->tag == "tag");
    }
}

void responses_without_group_age_or_tag_are_not_stored() {
    ResponseCache cache{kClasses, kLimits, kCoverage};
    cache.coverage().set_live(kNow - 1h);
    Lookup no_group = lookup(0);
    no_group.group_known = false;
    cache.store(no_group, "bytes", "tag", kNowMs, 0, kNow);
    cache.store(lookup(0), "bytes", "tag", 0, 0, kNow);            // unknown age
    cache.store(lookup(0), "bytes", "", kNowMs, 0, kNow);          // no tag
    cache.store(lookup(0), "bytes", "tag", kNowMs, kNowMs, kNow);  // generated no later than the purge
    CHECK(!cache.find_fresh(lookup(0), kNow, kNowMs) && cache.bytes() == 0);
    cache.store(lookup(0), "bytes", "tag", kNowMs + 1, kNowMs, kNow);
    CHECK(cache.find_fresh(lookup(0), kNow, kNowMs));
    Lookup part = lookup(0);
    part.key.segment = 4;
    CHECK(!cache.find_fresh(part, kNow, kNowMs) && !cache.find_fresh(lookup(1), kNow, kNowMs));
    CHECK(!cache.find_fresh(no_group, kNow, kNowMs));
    // An older response that arrives later does not replace a newer one.
    cache.store(lookup(0), "old", "older", kNowMs - 5, 0, kNow);
    CHECK(cache.find_fresh(lookup(0), kNow + 1s, kNowMs)->tag == "tag");
}

void purges_drop_older_responses_of_all_classes() {
    for (const bool whole_group : {false, true}) {
        ResponseCache cache{kClasses, kLimits, kCoverage};
        cache.coverage().set_live(kNow - 1h);
        cache.store(lookup(0, 1), "a", "a", kNowMs - 100, 0, kNow);
        cache.store(lookup(1, 1), "b", "b", kNowMs - 50, 0, kNow);  // the same object in another class
        cache.store(lookup(0, 2), "c", "c", kNowMs - 100, 0, kNow);
        if (whole_group)
            cache.purge_group(GroupId{17}, kNowMs - 60);
        else
            cache.purge_object(ObjectId{1}, kNowMs - 60);
        cache.purge_group(GroupId{18}, kNowMs);
        CHECK(!cache.find_last_resort(lookup(0, 1), kNow, kNowMs, kNow + 2s));
        CHECK(cache.find_last_resort(lookup(1, 1), kNow, kNowMs, kNow + 2s));  // generated after the purge
        CHECK(cache.find_last_resort(lookup(0, 2), kNow, kNowMs, kNow + 2s).has_value() != whole_group);
    }
    // No hits while purges may be missed; stored responses are used again afterwards.
    ResponseCache cache{kClasses, kLimits, kCoverage};
    cache.store(lookup(0), "a", "a", kNowMs, 0, kNow);
    CHECK(!cache.find_fresh(lookup(0), kNow, kNowMs) &&
          !cache.find_last_resort(lookup(0), kNow, kNowMs, kNow + 2s));
    cache.coverage().set_live(kNow - 1h);
    CHECK(cache.find_fresh(lookup(0), kNow, kNowMs));
    cache.coverage().set_interrupted(kNow);
    CHECK(!cache.find_fresh(lookup(0), kNow + 1s, kNowMs));
}

// 1,000 bytes take 100 ms at the rate of a single response, and 33 ms of the whole uplink, so the latency
// objective of 200 ms + 1.5 x 100 ms allows eight responses at once.
void the_uplink_limits_the_number_of_hits() {
    ResponseCache cache{kClasses, kLimits, kCoverage};
    cache.coverage().set_live(kNow - 1h);
    cache.store(lookup(0), std::string(1000, 'x'), "tag", kNowMs, 0, kNow);
    int at_once = 0;
    while (cache.find_fresh(lookup(0), kNow, kNowMs))
        ++at_once;
    CHECK(at_once == 8);
    CHECK(!cache.find_fresh(lookup(0), kNow + 1ms, kNowMs) &&
          cache.find_fresh(lookup(0), kNow + 20ms, kNowMs));
    // As a last resort, a response may miss its latency objective, but not its deadline.
    CHECK(cache.find_last_resort(lookup(0), kNow + 20ms, kNowMs, kNow + 2s));
    CHECK(!cache.find_last_resort(lookup(0), kNow + 20ms, kNowMs, kNow + 200ms));
    // "Not modified" responses take almost no uplink time.
    ResponseCache other{kClasses, kLimits, kCoverage};
    other.coverage().set_live(kNow - 1h);
    other.store(lookup(0), std::string(1000, 'x'), "tag", kNowMs, 0, kNow);
    for (int i = 0; i < 50; ++i) {
        const auto hit = other.find_fresh(lookup(0, 1, "tag"), kNow, kNowMs);
        CHECK(hit && !hit->body);
    }
    CHECK(other.find_fresh(lookup(0, 1, "other"), kNow, kNowMs)->body);
    ResponseCache off{kClasses, {.bytes = 100'000, .uplink = {}}, kCoverage};  // unknown uplink rates
    off.coverage().set_live(kNow - 1h);
    off.store(lookup(0), "bytes", "tag", kNowMs, 0, kNow);
    CHECK(!off.find_fresh(lookup(0), kNow, kNowMs) && off.bytes() == 0);
}

void the_store_matches_a_model_within_its_capacity() {
    std::mt19937_64 random{3};
    ResponseStore store{20'000};
    std::map<std::uint64_t, std::int64_t>
        newest;  // object -> generated_ms of the response last put, 0: purged
    for (int step = 0; step < 20'000; ++step) {
        const std::uint64_t object = random() % 200;
        const auto now = kNowMs + step;
        if (random() % 10 == 0) {
            store.purge_object(ObjectId{object}, now);
            newest[object] = 0;
        } else if (random() % 50 == 0) {
            const auto group = object % 7;
            store.purge_group(GroupId{group}, now);
            for (auto& [id, made] : newest)
                if (id % 7 == group)
                    made = 0;
        } else {
            store.put({ObjectId{object}, 0, 0}, {std::make_shared<const std::string>(random() % 4000, 'x'),
                                                 "t", GroupId{object % 7}, now});
            newest[object] = now;
        }
        CHECK(store.bytes() <= 20'000);
        const StoredResponse* found = store.find({ObjectId{object}, 0, 0});
        CHECK(!found || found->generated_ms == newest[object]);
    }
    CHECK(store.size() > 5);
    for (std::uint64_t group = 0; group < 7; ++group)
        store.purge_group(GroupId{group}, kNowMs + 20'000);
    CHECK(store.size() == 0 && store.bytes() == 0);
}

// find() counts as a use.
void the_least_recently_used_response_is_evicted() {
    ResponseStore store{5 * 1000};
    const auto key = [](std::uint64_t object) {
        return ResponseKey{.object = ObjectId{object}};
    };
    const auto put = [&](std::uint64_t object) {
        store.put(key(object), {std::make_shared<const std::string>(200, 'x'), "t", GroupId{1}, 1});
    };
    std::uint64_t last = 0;
    while (store.size() == last)
        put(++last);  // until one is evicted
    CHECK(!store.find(key(1)) && store.find(key(2)));
    put(100);
    CHECK(store.find(key(2)) && !store.find(key(3)));
}

}  // namespace

int main() {
    the_age_decides_between_a_fresh_a_stale_and_no_response();
    responses_without_group_age_or_tag_are_not_stored();
    purges_drop_older_responses_of_all_classes();
    the_uplink_limits_the_number_of_hits();
    the_store_matches_a_model_within_its_capacity();
    the_least_recently_used_response_is_evicted();
    std::puts("response cache: all cases passed");
}
