// silverrail_soak: real routers under faults drawn from a seed, judged by what clients and servers saw.
//   silverrail_soak PROGRAM FAULT_LIBRARY --seed 1 --runs 5 --routers 12 --seconds 20
// Exit code 0: no rule was broken; 1: one was; 2: it could not run.

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "lab/soak/soak.h"

using namespace silverrail::lab::soak;

namespace {

constexpr std::size_t kMaxPrintedPerRule = 10;

struct Arguments {
    SoakOptions soak;
    int seconds = 20;
    int runs = 1;
    std::vector<std::string> without;  // names of kinds
    std::vector<std::size_t> only;     // positions in the schedule
    bool print_plan = false;
    bool shrink = false;
    bool keep_logs = false;
    int deadline_ms = static_cast<int>(terms::kLongestDeadline.count());
};

void print(const SoakOptions& options, const SoakResult& result) {
    std::printf("seed %llu: %zu requests, %zu violations, own lag up to %lld ms;",
                static_cast<unsigned long long>(options.plan.seed), result.requests, result.violations.size(),
                static_cast<long long>(result.worst_lag.count()));
    for (const auto& [outcome, count] : result.outcomes)
        std::printf(" %s %zu", outcome.c_str(), count);
    std::printf("\n");
    std::map<Rule, std::size_t> by_rule;
    for (const Violation& violation : result.violations) {
        if (by_rule[violation.rule]++ < kMaxPrintedPerRule)
            std::printf("  at %lld ms, %s: %s\n", static_cast<long long>((violation.at - result.began) / 1ms),
                        std::string{name_of(violation.rule)}.c_str(), violation.what.c_str());
    }
    for (const auto& [rule, count] : by_rule)
        std::printf("  %zu of %s\n", count, std::string{name_of(rule)}.c_str());
    std::fflush(stdout);
}

SoakResult run_in_folder(SoakOptions options, bool keep) {
    options.folder =
        std::filesystem::temp_directory_path() /
        ("silverrail-soak-" + std::to_string(::getpid()) + "-" + std::to_string(options.plan.seed));
    std::filesystem::remove_all(options.folder);
    const SoakResult result = run_soak(options);
    if (keep && !result.violations.empty())
        std::printf("logs are in %s\n", options.folder.c_str());
    else
        std::filesystem::remove_all(options.folder);
    return result;
}

using Positions = std::vector<std::size_t>;

Positions without(const Positions& positions, std::size_t begin, std::size_t count) {
    Positions left = positions;
    const auto first = left.begin() + static_cast<std::ptrdiff_t>(begin);
    const auto last = left.begin() + static_cast<std::ptrdiff_t>(std::min(begin + count, left.size()));
    left.erase(first, last);
    return left;
}

bool breaks(SoakOptions options, const Positions& positions, Rule rule) {
    options.plan.only = {positions.begin(), positions.end()};
    const SoakResult result = run_in_folder(options, false);
    return std::any_of(result.violations.begin(), result.violations.end(),
                       [rule](const Violation& violation) { return violation.rule == rule; });
}

// Leaves out ever smaller parts of the schedule without which the rule that broke first still breaks.
void shrink(SoakOptions options, Rule rule) {
    Positions positions;
    for (const PlannedFault& fault : draw_plan(options.plan))
        positions.push_back(fault.position);
    for (std::size_t count = std::max<std::size_t>(1, positions.size() / 2); count > 0; count /= 2) {
        std::size_t begin = 0;
        while (begin < positions.size() && positions.size() > 1) {
            const Positions fewer = without(positions, begin, count);
            if (!fewer.empty() && breaks(options, fewer, rule))
                positions = fewer;
            else
                begin += count;
        }
    }
    options.plan.only = {positions.begin(), positions.end()};
    std::printf("the shortest found that still breaks %s:\n", std::string{name_of(rule)}.c_str());
    for (const PlannedFault& fault : draw_plan(options.plan))
        std::printf("  %s\n", fault.text().c_str());
}

int play(Arguments& arguments) {
    SoakOptions& options = arguments.soak;
    bool good = true;
    for (int run = 0; run < arguments.runs; ++run, ++options.plan.seed) {
        if (arguments.print_plan)
            for (const PlannedFault& fault : draw_plan(options.plan))
                std::printf("%s\n", fault.text().c_str());
        const SoakResult result = run_in_folder(options, arguments.keep_logs);
        print(options, result);
        good = good && result.violations.empty();
        if (arguments.shrink && !result.violations.empty())
            shrink(options, result.violations.front().rule);
    }
    return good ? 0 : 1;
}

void add_options(CLI::App& app, Arguments& arguments) {
    SoakOptions& soak = arguments.soak;
    app.add_option("program", soak.programs.router, "the router's program")->required();
    app.add_option("faults", soak.programs.fault_library, "the fault library")->required();
    app.add_option("--seed", soak.plan.seed, "of the schedule and of everything else that is drawn");
    app.add_option("--runs", arguments.runs, "how many, each with the next seed")
        ->check(CLI::Range(1, 10'000));
    app.add_option("--routers", soak.plan.routers)->check(CLI::Range(1, 60));
    app.add_option("--servers", soak.plan.servers, "two hubs and the store among them")
        ->check(CLI::Range(5, 40));
    app.add_option("--clients", soak.clients_per_router, "connections to each router")
        ->check(CLI::Range(1, 60));
    app.add_option("--seconds", arguments.seconds)->check(CLI::Range(6, 3'600));
    app.add_option("--troubles", soak.plan.faults_per_second, "faults begun a second")
        ->check(CLI::Range(0, 50));
    app.add_option("--without", arguments.without, "kinds that are not played");
    app.add_option("--only", arguments.only, "positions in the schedule to play");
    app.add_option("--crowd", soak.crowd_per_router, "connections to each router that hold memory")
        ->check(CLI::Range(0, 400));
    app.add_option("--deadline", arguments.deadline_ms, "the longest deadline of all classes, in ms")
        ->check(CLI::Range(100, 10'000));
    app.add_flag(
        "--until-kill", soak.use_until_kill,
        "clients use open connections until a router has ended, and SIGKILL comes as early as it may");
    app.add_flag("--judge-memory", soak.judge_memory, "for a program without sanitizers");
    app.add_flag("--plan", arguments.print_plan, "print the schedule");
    app.add_flag("--tell", soak.print_faults, "print each fault as it begins");
    app.add_flag("--shrink", arguments.shrink, "cut a schedule that breaks a rule down");
    app.add_flag("--keep", arguments.keep_logs, "keep the logs of runs that break a rule");
}

// Unknown names are passed over.
std::set<FaultKind> kinds_named(const std::vector<std::string>& names) {
    std::set<FaultKind> kinds;
    for (std::size_t i = 0; i < kFaultKinds; ++i) {
        const auto kind = static_cast<FaultKind>(i);
        if (std::find(names.begin(), names.end(), name_of(kind)) != names.end())
            kinds.insert(kind);
    }
    return kinds;
}

}  // namespace

int main(int argc, char** argv) {
    Arguments arguments;
    CLI::App app{"Real routers under faults drawn from a seed, judged by what clients and servers saw"};
    add_options(app, arguments);
    CLI11_PARSE(app, argc, argv);
    PlanOptions& plan = arguments.soak.plan;
    arguments.soak.longest_deadline = Millis{arguments.deadline_ms};
    plan.length = Milliseconds{arguments.seconds * 1'000};
    plan.only = {arguments.only.begin(), arguments.only.end()};
    plan.without = kinds_named(arguments.without);
    try {
        return play(arguments);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
