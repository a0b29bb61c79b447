// Times and addresses as text.
#include "trace/output/value_text.h"

#include <cstdio>

#include "records.h"

using namespace silverrail;
using namespace silverrail::trace;
using namespace silverrail::trace::model;

namespace {

constexpr std::int64_t kSecond = 1'000'000'000;

void times_are_parsed_and_printed_as_rfc_3339() {
    const struct {
        const char* text;
        std::int64_t ns;  // -1: no time
    } kCases[] = {
        {"1970-01-01T00:00:00Z", 0},
        {"2026-06-30T10:00:00Z", 1'782'813'600 * kSecond},
        {"2026-06-30T20:00:00.25+10:00", 1'782'813'600 * kSecond + 250'000'000},
        {"2026-06-30T10:00:00", -1},
        {"2026-06-31T10:00:00Z", -1},
        {"2026-06-30T25:00:00Z", -1},
        {"2026-06-30T10:00:00.Z", -1},
        {"2026-06-30 10:00:00Z", -1},
        {"", -1},
    };
    for (const auto& c : kCases)
        CHECK(parse_time(c.text).value_or(-1) == c.ns);
    CHECK(time_text(1'782'813'600 * kSecond + 123'456'789) == "2026-06-30T10:00:00.123456Z");
    CHECK(address_text(Text{"\x0a\0\0\x01", 4}) == "10.0.0.1" && address_text("") == "");
}

}  // namespace

int main() {
    times_are_parsed_and_printed_as_rfc_3339();
    std::puts("value text: as RFC 3339 says");
}
