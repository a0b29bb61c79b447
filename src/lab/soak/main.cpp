// silverrail_soak: real routers under troubles drawn from a seed, judged by what clients and servers saw.
//   silverrail_soak PROGRAM FAULT_LIBRARY --seed 1 --runs 5 --routers 12 --seconds 20
// Exit code 0: no rule was broken; 1: one was; 2: it could not run.

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "lab/soak/soak.h"

using namespace silverrail::lab::soak;

namespace {

constexpr std::size_t kMostPrinted = 40;

struct Arguments {
    SoakOptions soak;
    int seconds = 20;
    int runs = 1;
    std::vector<std::string> without;
    std::vector<std::size_t> only;
    bool plan = false;
    bool shrink = false;
    bool keep = false;
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
        if (by_rule[violation.rule]++ < kMostPrinted / 4)
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

bool breaks(const SoakResult& result, Rule rule) {
    return std::any_of(result.violations.begin(), result.violations.end(),
                       [rule](const Violation& violation) { return violation.rule == rule; });
}

// Leaves out ever smaller parts of the schedule as long as the rule that broke first still breaks without
// them.
void shrink(SoakOptions options, Rule rule) {
    std::vector<std::size_t> places;
    for (const Trouble& trouble : draw_plan(options.plan))
        places.push_back(trouble.place);
    for (std::size_t part = std::max<std::size_t>(1, places.size() / 2); part > 0; part /= 2)
        for (std::size_t at = 0; at < places.size() && places.size() > 1;) {
            auto fewer = places;
            fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(at),
                        fewer.begin() + static_cast<std::ptrdiff_t>(std::min(at + part, fewer.size())));
            options.plan.only = {fewer.begin(), fewer.end()};
            if (!fewer.empty() && breaks(run_in_folder(options, false), rule))
                places = fewer;
            else
                at += part;
        }
    options.plan.only = {places.begin(), places.end()};
    std::printf("the shortest found that still breaks %s:\n", std::string{name_of(rule)}.c_str());
    for (const Trouble& trouble : draw_plan(options.plan))
        std::printf("  %s\n", trouble.text().c_str());
}

int play(Arguments& arguments) {
    SoakOptions& options = arguments.soak;
    bool good = true;
    for (int run = 0; run < arguments.runs; ++run, ++options.plan.seed) {
        if (arguments.plan)
            for (const Trouble& trouble : draw_plan(options.plan))
                std::printf("%s\n", trouble.text().c_str());
        const SoakResult result = run_in_folder(options, arguments.keep);
        print(options, result);
        good = good && result.violations.empty();
        if (arguments.shrink && !result.violations.empty())
            shrink(options, result.violations.front().rule);
    }
    return good ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    Arguments arguments;
    SoakOptions& soak = arguments.soak;
    CLI::App app{"Real routers under troubles drawn from a seed, judged by what clients and servers saw"};
    app.add_option("program", soak.programs.router, "the router's program")->required();
    app.add_option("faults", soak.programs.fault_library, "the fault library")->required();
    app.add_option("--seed", soak.plan.seed, "of the schedule and of all dice");
    app.add_option("--runs", arguments.runs, "how many, each with the next seed")
        ->check(CLI::Range(1, 10'000));
    app.add_option("--routers", soak.plan.routers)->check(CLI::Range(1, 60));
    app.add_option("--servers", soak.plan.servers, "two hubs and the store among them")
        ->check(CLI::Range(5, 40));
    app.add_option("--clients", soak.clients_each, "connections to each router")->check(CLI::Range(1, 60));
    app.add_option("--seconds", arguments.seconds)->check(CLI::Range(6, 3'600));
    app.add_option("--troubles", soak.plan.troubles_per_second, "begun a second")->check(CLI::Range(0, 50));
    app.add_option("--without", arguments.without, "kinds that are not played");
    app.add_option("--only", arguments.only, "places in the schedule to play");
    app.add_flag("--plan", arguments.plan, "print the schedule");
    app.add_flag("--tell", soak.tell_troubles, "print each trouble as it begins");
    app.add_flag("--shrink", arguments.shrink, "cut a schedule that breaks a rule down");
    app.add_flag("--keep", arguments.keep, "keep the logs of runs that break a rule");
    CLI11_PARSE(app, argc, argv);
    soak.plan.length = Milliseconds{arguments.seconds * 1'000};
    soak.plan.only = {arguments.only.begin(), arguments.only.end()};
    for (std::size_t i = 0; i < kTroubleKinds; ++i)
        for (const auto& name : arguments.without)
            if (name_of(static_cast<TroubleKind>(i)) == name)
                soak.plan.without.insert(static_cast<TroubleKind>(i));
    try {
        return play(arguments);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
