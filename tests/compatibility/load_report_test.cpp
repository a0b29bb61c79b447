// The words of servers' load reports (the header Backend-Load), held against literals. No decision rests on a
// report, and it is seen nowhere outside the program, so that the parser itself is asked.
#include <optional>
#include <string>

#include "../silverrail/check.h"
#include "net/server_protocol.h"

namespace {

// ---- the program's own names, here and nowhere else in this file

struct LoadReport {
    std::optional<double> in_flight, utilisation, hit_share, link_fullness;
};

LoadReport parse_load_report(const std::string& header) {
    const auto load = silverrail::net::parse_load_report(header);
    return {load.in_flight, load.utilisation, load.hit_ratio, load.link_utilisation};
}
void words_of_the_protocol() {
    const LoadReport report = parse_load_report("inflight:7;util:0.61;x0:0.4;x1:1.25");
    CHECK(report.in_flight == 7 && report.utilisation == 0.61);
    CHECK(report.hit_share == 0.4 && report.link_fullness == 1.25);
}

void words_of_the_simulator() {
    const LoadReport report = parse_load_report("concurrent:8;load_share:0.62");
    CHECK(report.in_flight == 8 && report.utilisation == 0.62);
    CHECK(!report.hit_share && !report.link_fullness);
}

void unknown_words_are_passed_over() {
    const LoadReport report =
        parse_load_report("in_flight:7;utilisation:1;x2:3;hit_share:1;link_fullness:1;;x1");
    CHECK(!report.in_flight && !report.utilisation && !report.hit_share && !report.link_fullness);
}

}  // namespace

int main() {
    words_of_the_protocol();
    words_of_the_simulator();
    unknown_words_are_passed_over();
    std::puts("load reports: every word is read under its name");
}
