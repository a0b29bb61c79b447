// The output of `Summarizer` as JSON and as text. The names in both are part of the tool's interface.
#include <cstdarg>
#include <cstdio>
#include <utility>

#include "trace/output/value_text.h"
#include "trace/tools/summarize.h"

namespace silverrail::trace {

using namespace model;

namespace {

using ull = unsigned long long;

Json::Value json_of(std::uint64_t number) {
    return Json::Value{Json::UInt64{number}};
}

Json::Value json_of(const CountsByName& counts) {
    Json::Value out{Json::objectValue};
    for (const auto& [name, count] : counts)
        out[name] = json_of(count);
    return out;
}

template <std::size_t N>
Json::Value json_of(const std::array<std::uint64_t, N>& counts,
                    const std::array<std::string_view, N>& names) {
    Json::Value out{Json::objectValue};
    for (std::size_t i = 0; i < N; ++i)
        if (counts[i])
            out[std::string{names[i]}] = json_of(counts[i]);
    return out;
}

Json::Value json_of(const LatencyHistogram& latency) {
    Json::Value out;
    out["count"] = json_of(latency.count());
    out["mean_ms"] = latency.mean_ms();
    out["p50_ms"] = latency.quantile(0.5);
    out["p90_ms"] = latency.quantile(0.9);
    out["p99_ms"] = latency.quantile(0.99);
    out["max_ms"] = latency.max_ms();
    return out;
}

double late_share(const ClassSummary& summary) {
    const std::uint64_t count = summary.success_latency.count();
    return count ? static_cast<double>(summary.late) / static_cast<double>(count) : 0;
}

Json::Value json_of(const ClassSummary& summary) {
    Json::Value out;
    out["calls"] = json_of(summary.received);
    out["outcomes"] = json_of(summary.outcomes, kOutcomeNames);
    out["late"] = json_of(summary.late);
    out["late_share"] = late_share(summary);
    out["bytes"] = json_of(summary.bytes);
    out["served"] = json_of(summary.success_latency);
    out["turned_down"] = json_of(summary.error_latency);
    out["calls_by_attempts"] = Json::Value{Json::arrayValue};
    for (const std::uint64_t count : summary.attempts)
        out["calls_by_attempts"].append(json_of(count));
    out["notes"] = json_of(summary.cache_statuses, kCacheStatusNames);
    out["endings"] = json_of(summary.attempt_statuses, kAttemptStatusNames);
    out["fills"] = json_of(summary.fills);
    out["refusals"] = json_of(summary.error_reasons);
    out["hold_off"]["count"] = json_of(summary.retry_after.count);
    out["hold_off"]["mean_ms"] = summary.retry_after.mean_ms();
    out["hold_off"]["max_ms"] = summary.retry_after.max_ms;
    return out;
}

// Appends formatted text.
class TextOutput {
public:
    [[gnu::format(printf, 2, 3)]] void print(const char* format, ...);
    std::string take() {
        return std::move(text_);
    }

private:
    std::string text_;
};

void TextOutput::print(const char* format, ...) {
    char line[256];
    std::va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(line, sizeof line, format, arguments);
    va_end(arguments);
    text_ += line;
}

void print_totals(TextOutput& out, const TraceSummary& summary) {
    out.print("%s to %s: %llu records, %llu list changes, %llu purges\n",
              time_text(summary.first_unix_ns).c_str(), time_text(summary.last_unix_ns).c_str(),
              ull{summary.records}, ull{summary.list_changes}, ull{summary.purges});
    if (summary.gaps)
        out.print("%llu gaps, %llu records missing\n", ull{summary.gaps}, ull{summary.missing_records});
}

void print_table(TextOutput& out, const RequestSummary& requests) {
    out.print("%-16s %9s %9s %9s %7s %7s %7s %7s | %8s %8s %8s | %6s\n", "class", "calls", "served",
              "unchanged", "refused", "failed", "aband.", "open", "p50 ms", "p90 ms", "p99 ms", "late");
    for (const auto& [name, summary] : requests.classes()) {
        const LatencyHistogram& latency = summary.success_latency;
        out.print("%-16s %9llu %9llu %9llu %7llu %7llu %7llu %7llu | %8.1f %8.1f %8.1f | %5.2f%%\n",
                  name.c_str(), ull{summary.received}, ull{summary.count(Outcome::served)},
                  ull{summary.count(Outcome::not_modified)}, ull{summary.count(Outcome::rejected)},
                  ull{summary.count(Outcome::failed)}, ull{summary.count(Outcome::client_closed)},
                  ull{summary.count(Outcome::open)}, latency.quantile(0.5), latency.quantile(0.9),
                  latency.quantile(0.99), late_share(summary) * 100);
    }
}

void print_counts(TextOutput& out, const char* title, const CountsByName& counts) {
    if (!counts.empty())
        out.print("; %s", title);
    for (const auto& [name, count] : counts)
        out.print(" %s:%llu", name.c_str(), ull{count});
}

template <std::size_t N>
void print_counts(TextOutput& out, const char* title, const std::array<std::uint64_t, N>& counts,
                  const std::array<std::string_view, N>& names) {
    bool any = false;
    for (std::size_t i = 0; i < N; ++i) {
        if (!counts[i])
            continue;
        if (!std::exchange(any, true))
            out.print("; %s", title);
        out.print(" %s:%llu", std::string{names[i]}.c_str(), ull{counts[i]});
    }
}

void print_details(TextOutput& out, const std::string& name, const ClassSummary& summary) {
    out.print("%s: %llu bytes", name.c_str(), ull{summary.bytes});
    out.print("; calls by attempts");
    for (std::size_t i = 0; i < summary.attempts.size(); ++i)
        if (summary.attempts[i])
            out.print(" %zu:%llu", i, ull{summary.attempts[i]});
    print_counts(out, "endings", summary.attempt_statuses, kAttemptStatusNames);
    print_counts(out, "notes", summary.cache_statuses, kCacheStatusNames);
    print_counts(out, "fills", summary.fills);
    print_counts(out, "turned down", summary.error_reasons);
    if (summary.retry_after.count)
        out.print("; hold-off %.0f ms in the mean, %.0f at most", summary.retry_after.mean_ms(),
                  summary.retry_after.max_ms);
    out.print("\n");
}

}  // namespace

Json::Value json_of(const TraceSummary& summary) {
    Json::Value out;
    out["records"] = json_of(summary.records);
    out["from"] = time_text(summary.first_unix_ns);
    out["to"] = time_text(summary.last_unix_ns);
    out["lists"] = json_of(summary.list_changes);
    out["purges"] = json_of(summary.purges);
    out["gaps"] = json_of(summary.gaps);
    out["missing_records"] = json_of(summary.missing_records);
    out["intervals"] = Json::Value{Json::arrayValue};
    for (const TraceSummary::Interval& interval : summary.intervals) {
        Json::Value json;
        if (interval.from_unix_ns != 0)
            json["from"] = time_text(interval.from_unix_ns);
        json["classes"] = Json::Value{Json::objectValue};
        for (const auto& [name, class_summary] : interval.requests.classes())
            json["classes"][name] = json_of(class_summary);
        out["intervals"].append(std::move(json));
    }
    return out;
}

std::string text_of(const TraceSummary& summary) {
    TextOutput out;
    print_totals(out, summary);
    for (const TraceSummary::Interval& interval : summary.intervals) {
        if (interval.from_unix_ns != 0)
            out.print("\nfrom %s\n", time_text(interval.from_unix_ns).c_str());
        print_table(out, interval.requests);
        for (const auto& [name, class_summary] : interval.requests.classes())
            print_details(out, name, class_summary);
    }
    return out.take();
}

}  // namespace silverrail::trace
