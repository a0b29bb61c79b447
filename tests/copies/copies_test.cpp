// Copies of the router's own: what is kept, when one is the answer, and that nothing purged ever is.
#include "copies/copies.h"

#include <cstdio>
#include <random>
#include <vector>

#include "../silverrail/check.h"

using namespace silverrail::copies;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t kNowMs = 1'764'576'000'000;
const Time kNow{1000s};
const std::vector<silverrail::routing::ClassSettings> kClasses{
    {.name = "files", .latency_objective = 200ms, .objective_stretch = 1.5, .client_timeout = 2s},
    {.name = "pages", .latency_objective = 200ms, .client_timeout = 2s, .max_age = 8s, .grace = 20s},
    {.name = "lodge", .latency_objective = 200ms, .client_timeout = 2s, .uncached = true},
};
constexpr Limits kLimits{.bytes = 100'000, .link = {.flow_bytes_per_s = 10'000, .link_bytes_per_s = 30'000}};

Wanted want(std::size_t class_index, std::uint64_t object = 1, std::string_view have = {}) {
    return {{ObjectId{object}, class_index, 3}, GroupId{17}, true, have};
}

void fresh_stale_or_none() {
    const struct {
        const char* what;
        std::size_t class_index;
        std::int64_t age_ms;
        bool answers, last_resort, stale;
    } kCases[] = {
        {"good until it is purged", 0, 3'600'000, true, true, false},
        {"fresh", 1, 7'900, true, true, false},
        {"at the end of its fresh time", 1, 7'990, false, true, true},
        {"within its grace", 1, 27'900, false, true, true},
        {"past its grace", 1, 27'990, false, false, false},
        {"never kept", 2, 10, false, false, false},
    };
    for (const auto& c : kCases) {
        Copies copies{kClasses, kLimits};
        copies.told_of_purges(true);
        copies.keep(want(c.class_index), "bytes", "tag", kNowMs - c.age_ms, 0);
        const auto last = copies.last_resort(want(c.class_index), kNow, kNowMs, kNow + 2s);
        const auto now = copies.answer(want(c.class_index), kNow + 1s, kNowMs);
        std::printf("  %s\n", c.what);
        CHECK(now.has_value() == c.answers && last.has_value() == c.last_resort);
        if (last)
            CHECK(last->stale == c.stale && *last->body == "bytes" && last->tag == "tag");
    }
}

void only_what_is_known_in_full() {
    Copies copies{kClasses, kLimits};
    copies.told_of_purges(true);
    Wanted no_group = want(0);
    no_group.group_known = false;
    copies.keep(no_group, "bytes", "tag", kNowMs, 0);
    copies.keep(want(0), "bytes", "tag", 0, 0);            // its age is not told
    copies.keep(want(0), "bytes", "", kNowMs, 0);          // nor which copy it is
    copies.keep(want(0), "bytes", "tag", kNowMs, kNowMs);  // made no later than the purge
    CHECK(!copies.answer(want(0), kNow, kNowMs) && copies.bytes() == 0);
    copies.keep(want(0), "bytes", "tag", kNowMs + 1, kNowMs);
    CHECK(copies.answer(want(0), kNow, kNowMs));
    Wanted part = want(0);
    part.key.part = 4;
    CHECK(!copies.answer(part, kNow, kNowMs) && !copies.answer(want(1), kNow, kNowMs));
    CHECK(!copies.answer(no_group, kNow, kNowMs));
    // An older copy that comes later does not take a newer one's place.
    copies.keep(want(0), "old", "older", kNowMs - 5, 0);
    CHECK(copies.answer(want(0), kNow + 1s, kNowMs)->tag == "tag");
}

void purges() {
    for (const bool whole_group : {false, true}) {
        Copies copies{kClasses, kLimits};
        copies.told_of_purges(true);
        copies.keep(want(0, 1), "a", "a", kNowMs - 100, 0);
        copies.keep(want(1, 1), "b", "b", kNowMs - 50, 0);  // the same object in another class
        copies.keep(want(0, 2), "c", "c", kNowMs - 100, 0);
        if (whole_group)
            copies.purge_group(GroupId{17}, kNowMs - 60);
        else
            copies.purge_object(ObjectId{1}, kNowMs - 60);
        copies.purge_group(GroupId{18}, kNowMs);
        CHECK(!copies.last_resort(want(0, 1), kNow, kNowMs, kNow + 2s));
        CHECK(copies.last_resort(want(1, 1), kNow, kNowMs, kNow + 2s));  // made after it
        CHECK(copies.last_resort(want(0, 2), kNow, kNowMs, kNow + 2s).has_value() != whole_group);
    }
    // Not sure to hear of purges: nothing is served, and what was kept serves again afterwards.
    Copies copies{kClasses, kLimits};
    copies.keep(want(0), "a", "a", kNowMs, 0);
    CHECK(!copies.answer(want(0), kNow, kNowMs) && !copies.last_resort(want(0), kNow, kNowMs, kNow + 2s));
    copies.told_of_purges(true);
    CHECK(copies.answer(want(0), kNow, kNowMs));
    copies.told_of_purges(false);
    CHECK(!copies.answer(want(0), kNow + 1s, kNowMs));
}

// 1,000 bytes take 100 ms alone, 33 ms of the link: the aim of 200 ms + 1.5 x 100 ms bears eight at once.
void only_as_far_as_the_link_carries() {
    Copies copies{kClasses, kLimits};
    copies.told_of_purges(true);
    copies.keep(want(0), std::string(1000, 'x'), "tag", kNowMs, 0);
    int at_once = 0;
    while (copies.answer(want(0), kNow, kNowMs))
        ++at_once;
    CHECK(at_once == 8);
    CHECK(!copies.answer(want(0), kNow + 1ms, kNowMs) && copies.answer(want(0), kNow + 20ms, kNowMs));
    // Given up otherwise, it may come after its aim, but by the deadline.
    CHECK(copies.last_resort(want(0), kNow + 20ms, kNowMs, kNow + 2s));
    CHECK(!copies.last_resort(want(0), kNow + 20ms, kNowMs, kNow + 200ms));
    // To say that the client's copy holds takes next to nothing.
    Copies other{kClasses, kLimits};
    other.told_of_purges(true);
    other.keep(want(0), std::string(1000, 'x'), "tag", kNowMs, 0);
    for (int i = 0; i < 50; ++i) {
        const auto held = other.answer(want(0, 1, "tag"), kNow, kNowMs);
        CHECK(held && !held->body);
    }
    CHECK(other.answer(want(0, 1, "other"), kNow, kNowMs)->body);
    Copies off{kClasses, {.bytes = 100'000, .link = {}}};  // rates not told
    off.told_of_purges(true);
    off.keep(want(0), "bytes", "tag", kNowMs, 0);
    CHECK(!off.answer(want(0), kNow, kNowMs) && off.bytes() == 0);
}

// Against a plain model: the same answers, within the bound, whatever comes.
void bounded() {
    std::mt19937_64 random{3};
    Store store{20'000};
    std::map<std::uint64_t, std::int64_t> newest;  // object -> made_ms of the copy last put, 0: purged
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
        const Copy* held = store.find({ObjectId{object}, 0, 0});
        CHECK(!held || held->made_ms == newest[object]);
    }
    CHECK(store.size() > 5);
    for (std::uint64_t group = 0; group < 7; ++group)
        store.purge_group(GroupId{group}, kNowMs + 20'000);
    CHECK(store.size() == 0 && store.bytes() == 0);
}

// The one unused for longest goes; a use counts.
void the_longest_unused_goes() {
    Store store{5 * 1000};
    const auto key = [](std::uint64_t object) {
        return Key{.object = ObjectId{object}};
    };
    const auto put = [&](std::uint64_t object) {
        store.put(key(object), {std::make_shared<const std::string>(200, 'x'), "t", GroupId{1}, 1});
    };
    std::uint64_t last = 0;
    while (store.size() == last)
        put(++last);  // until one is pushed out
    CHECK(!store.find(key(1)) && store.find(key(2)));
    put(100);
    CHECK(store.find(key(2)) && !store.find(key(3)));
}

}  // namespace

int main() {
    fresh_stale_or_none();
    only_what_is_known_in_full();
    purges();
    only_as_far_as_the_link_carries();
    bounded();
    the_longest_unused_goes();
    std::puts("copies: every case holds");
}
