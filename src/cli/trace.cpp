#include "cli/trace.h"

#include <openssl/rand.h>
#include <unistd.h>

#include <charconv>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>

#include "config/config.h"
#include "lab/site.h"
#include "trace/model/enum_names.h"
#include "trace/replay.h"
#include "trace/synth.h"
#include "trace/tools.h"

namespace silverrail::cli {

namespace {

using namespace trace;
using ull = unsigned long long;

constexpr int kFailed = 1;
constexpr int kUsage = 2;
constexpr int kDamaged = 3;
constexpr int kUnreadable = 4;
constexpr int kDiffers = 5;

struct Usage : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// One file, opened. Its damage is told when it is closed, on standard error.
class Input {
public:
    explicit Input(const std::string& path) : path_(path), source_(open_source(path)) {
        try {
            reader_ = std::make_unique<TraceReader>(*source_);
        } catch (const Unreadable& e) {
            throw Unreadable(path + ": " + e.what());
        }
    }
    TraceReader& reader() {
        return *reader_;
    }
    const std::string& path() const {
        return path_;
    }
    std::uint64_t bytes() const {
        return source_->size();
    }
    // 0 or 3.
    int tell() const {
        for (const Damage& d : reader_->damage())
            std::fprintf(stderr, "%s: at %llu, %llu bytes: %s\n", path_.c_str(), ull{d.offset}, ull{d.bytes},
                         d.description.c_str());
        if (reader_->unknown_records())
            std::fprintf(stderr,
                         "%s: %llu records of types that this program does not know were passed over\n",
                         path_.c_str(), ull{reader_->unknown_records()});
        return reader_->damage().empty() ? 0 : kDamaged;
    }

private:
    std::string path_;
    std::unique_ptr<ByteSource> source_;
    std::unique_ptr<TraceReader> reader_;
};

// A line on standard error that is written over, where that is a terminal.
class Bar {
public:
    Bar() : shown_(::isatty(STDERR_FILENO) != 0) {}
    ~Bar() {
        if (any_)
            std::fputs("\r          \r", stderr);
    }
    Progress progress() {
        if (!shown_)
            return {};
        return [this](double share) {
            any_ = true;
            std::fprintf(stderr, "\r%3.0f %%", std::min(1.0, share) * 100);
        };
    }

private:
    bool shown_;
    bool any_ = false;
};

std::int64_t first_time(const TraceReader& reader) {
    std::int64_t first = std::numeric_limits<std::int64_t>::max();
    for (const auto& c : reader.chunks())
        first = std::min(first, c.summary.first_unix_ns);
    return reader.chunks().empty() ? 0 : first;
}

// 10s, 250ms, 5m, 2h, 1.5s
std::int64_t parse_span(const std::string& text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const std::string_view unit{end, static_cast<std::size_t>(text.data() + text.size() - end)};
    double by = 0;
    for (const auto& [word, ns] : {std::pair<std::string_view, double>{"ns", 1},
                                   {"us", 1e3},
                                   {"ms", 1e6},
                                   {"s", 1e9},
                                   {"m", 60e9},
                                   {"h", 3600e9}})
        if (unit == word)
            by = ns;
    if (error != std::errc{} || by == 0 || !(std::abs(value * by) < 9e18))
        throw Usage("not a span of time (as 10s, 250ms, 1.5h): " + text);
    return static_cast<std::int64_t>(value * by);
}

std::int64_t parse_when(const std::string& text, const TraceReader& reader) {
    if (text.starts_with('+'))
        return first_time(reader) + parse_span(text.substr(1));
    if (const auto t = parse_time(text))
        return *t;
    throw Usage("not a time (as 2026-06-30T10:00:00Z, or +10s from the begin): " + text);
}

// The options that choose calls, for `show` and `cut`.
struct Choice {
    std::string from, to;
    std::vector<std::string> classes, outcomes, servers, calls, objects;
    void add(CLI::App& app) {
        app.add_option("--from", from, "this time and later: RFC 3339, or +10s from the begin");
        app.add_option("--to", to, "before this time");
        app.add_option("--class", classes, "calls of this class");
        app.add_option(
            "--outcome", outcomes,
            "served, unchanged, referred, refused, failed, abandoned, open, turned_away, or how an "
            "attempt ended: error, full, late, no_connection, reset, miss …");
        app.add_option("--box", servers, "with an attempt at this box, or filled from it");
        app.add_option("--call", calls, "the client's id");
        app.add_option("--object", objects, "16 hex digits");
    }
    model::Selection selection(const TraceReader& reader) const {
        model::Selection s;
        if (!from.empty())
            s.from_unix_ns = parse_when(from, reader);
        if (!to.empty())
            s.to_unix_ns = parse_when(to, reader);
        if (s.from_unix_ns >= s.to_unix_ns)
            throw Usage("--from is not before --to");
        s.classes = classes;
        s.outcomes = outcomes;
        s.servers = servers;
        s.client_request_ids = calls;
        for (const std::string& o : objects) {
            std::uint64_t id = 0;
            const auto [end, error] = std::from_chars(o.data(), o.data() + o.size(), id, 16);
            if (o.size() != 16 || error != std::errc{} || end != o.data() + o.size())
                throw Usage("not an object (16 hex digits): " + o);
            s.objects.push_back(id);
        }
        if (const auto* word = s.unknown_outcome())
            throw Usage("not an outcome: " + *word);
        return s;
    }
};

void print(const Json::Value& json) {
    std::cout << config::json_line(json) << '\n';
}

// ---- info, verify ------------------------------------------------------------------------------

struct Facts {
    std::uint64_t records = 0;
    std::int64_t first = 0, last = 0;
};
Facts facts_of(const TraceReader& reader) {
    Facts f;
    for (const auto& c : reader.chunks()) {
        const bool first = f.records == 0;
        f.first = first ? c.summary.first_unix_ns : std::min(f.first, c.summary.first_unix_ns);
        f.last = first ? c.summary.last_unix_ns : std::max(f.last, c.summary.last_unix_ns);
        f.records += c.summary.new_records();
    }
    return f;
}

void print_columns(TraceReader& reader) {
    std::map<std::string, std::uint64_t> all;
    for (std::size_t i = 0; i < reader.chunks().size(); ++i)
        if (const auto head = reader.read_chunk_head(i))
            for (const auto& [name, bytes] : head->column_bytes())
                all[name] += bytes;
    std::vector<std::pair<std::uint64_t, std::string>> largest;
    for (const auto& [name, bytes] : all)
        largest.emplace_back(bytes, name);
    std::sort(largest.rbegin(), largest.rend());
    for (const auto& [bytes, name] : largest)
        std::printf("%12llu  %s\n", ull{bytes}, name.c_str());
}

int info(const std::vector<std::string>& files, bool as_json, bool columns) {
    int code = 0;
    for (const std::string& path : files) {
        Input in{path};
        TraceReader& reader = in.reader();
        const Facts f = facts_of(reader);
        Routers routers;
        ReadOptions options;
        options.types = types_of<model::RouterStarted>();
        options.track_state = false;
        reader.for_each(options, [&](const Record& r, bool, const model::EffectiveState&) {
            routers.take(r);
            return true;
        });
        Json::Value j;
        j["file"] = path;
        j["version"] = std::to_string(kMajorVersion) + "." + std::to_string(reader.minor());
        j["bytes"] = Json::Value{Json::UInt64{in.bytes()}};
        j["chunks"] = Json::Value{Json::UInt64{reader.chunks().size()}};
        j["records"] = Json::Value{Json::UInt64{f.records}};
        j["from"] = time_text(f.first);
        j["to"] = time_text(f.last);
        j["whole"] = (reader.flags() & kCut) == 0;
        j["merged"] = (reader.flags() & kMerged) != 0;
        j["stripped"] = (reader.flags() & kStripped) != 0;
        j["indexed"] = reader.indexed();
        j["damage"] = Json::Value{Json::UInt64{reader.damage().size()}};
        j["routers"] = Json::Value{Json::arrayValue};
        for (const auto& [source, r] : routers.all()) {
            Json::Value one;
            one["source"] = source;
            one["name"] = r.name;
            one["started"] = time_text(r.incarnation_unix_ns);
            j["routers"].append(one);
        }
        if (as_json) {
            print(j);
        } else {
            std::printf("%s: version %s, %llu bytes, %llu chunks, %llu records\n    %s to %s\n    %s%s%s%s\n",
                        path.c_str(), j["version"].asCString(), ull{in.bytes()}, ull{reader.chunks().size()},
                        ull{f.records}, time_text(f.first).c_str(), time_text(f.last).c_str(),
                        reader.flags() & kCut ? "cut" : "from its router's start",
                        reader.flags() & kMerged ? ", merged" : "",
                        reader.flags() & kStripped ? ", stripped" : "",
                        reader.indexed() ? "" : ", without an index");
            for (const auto& [source, r] : routers.all())
                std::printf("    router %s, started %s\n", r.name.c_str(),
                            time_text(r.incarnation_unix_ns).c_str());
        }
        if (columns)
            print_columns(reader);
        code = std::max(code, in.tell());
    }
    return code;
}

int verify(const std::string& path) {
    Input in{path};
    std::uint64_t records = 0;
    in.reader().for_each({}, [&](const Record&, bool from_snapshot, const model::EffectiveState&) {
        records += !from_snapshot;
        return true;
    });
    const int code = in.tell();
    std::printf("%s: %s, %llu records read\n", path.c_str(), code ? "damaged" : "whole", ull{records});
    return code;
}

// ---- replay ------------------------------------------------------------------------------------

int replay(const std::vector<std::string>& files, bool diff, bool as_json) {
    Replay replay{settings_of, diff};
    int code = 0;
    Routers routers;
    bool whole = true;
    for (const std::string& path : files) {
        Input in{path};
        if (in.reader().flags() & kCut && !replay.events())
            throw ToolError(
                path + ": cut, or begun after its router's start: what the module knew then is not in it");
        in.reader().for_each({kAllTypes,
                              std::numeric_limits<std::int64_t>::min(),
                              std::numeric_limits<std::int64_t>::max(),
                              false,
                              {}},
                             [&](const Record& r, bool from_snapshot, const model::EffectiveState&) {
                                 routers.take(r);
                                 return from_snapshot || replay.take(r);
                             });
        whole = in.reader().indexed();
        code = std::max(code, in.tell());
    }
    replay.end(whole);
    const auto& first = replay.first();
    if (as_json) {
        Json::Value j;
        j["events"] = Json::Value{Json::UInt64{replay.events()}};
        j["decisions"] = Json::Value{Json::UInt64{replay.decisions()}};
        j["differences"] = Json::Value{Json::UInt64{replay.differences()}};
        if (replay.stopped())
            j["stopped"] = *replay.stopped();
        j["by_class"] = Json::Value{Json::objectValue};
        for (const auto& [key, n] : replay.sums())
            j["by_class"][key.first][Replay::name_of(key.second)] = Json::Value{Json::UInt64{n}};
        if (first) {
            j["first"]["event"] = Json::Value{Json::UInt64{first->event}};
            j["first"]["recorded"] = first->recorded;
            j["first"]["now"] = first->now;
        }
        print(j);
    } else if (!first) {
        std::printf("%llu events, %llu decisions, all the same\n", ull{replay.events()},
                    ull{replay.decisions()});
    } else {
        std::printf("%llu events, %llu decisions, %llu events answered otherwise%s\n", ull{replay.events()},
                    ull{replay.decisions()}, ull{replay.differences()}, diff ? "" : ": stopped at the first");
        std::printf("first: event %llu, %s, call %llu\n    recorded: %s\n    now:      %s\n",
                    ull{first->event}, Replay::name_of(first->difference), ull{first->request},
                    first->recorded.c_str(), first->now.c_str());
        for (const auto& [key, n] : replay.sums())
            std::printf("%-16s %-32s %llu\n", key.first.c_str(), Replay::name_of(key.second), ull{n});
    }
    if (first && first->request != 0) {
        // The call itself, as it was.
        for (const std::string& path : files) {
            Input in{path};
            show(in.reader(), {}, [&](const model::RequestTimeline& s, const Names& names) {
                if (!as_json && s.request == first->request && s.router_index == first->source)
                    std::fputs(trace::text_of(s, names).c_str(), stdout);
            });
        }
    }
    if (replay.stopped())
        std::fprintf(stderr, "compared up to there: %s\n", replay.stopped()->c_str());
    if (first)
        return kDiffers;
    return replay.stopped() ? std::max(code, kDamaged) : code;
}

// ---- merge, strip, synth -----------------------------------------------------------------------

const char* from_word(const MergedSource& s) {
    using From = model::ClockOffsetEstimate::Basis;
    switch (s.estimate.basis) {
        case From::reference:
            return "reference";
        case From::purges:
            return "purges";
        case From::copies:
            return "copies";
        case From::given:
            return "given";
    }
    return "";
}

int merge_files(const std::vector<std::string>& files, const std::string& out,
                const std::vector<std::string>& offsets, bool as_json) {
    std::map<std::string, double> given;
    for (const std::string& o : offsets) {
        const auto at = o.rfind('=');
        double ms = 0;
        if (at == std::string::npos || at == 0)
            throw Usage("--offset takes NAME=MS: " + o);
        const auto [end, error] = std::from_chars(o.data() + at + 1, o.data() + o.size(), ms);
        if (error != std::errc{} || end != o.data() + o.size() || !(std::abs(ms) < 1e12))
            throw Usage("not a number of ms: " + o);
        given[o.substr(0, at)] = ms;
    }
    std::vector<std::unique_ptr<Input>> inputs;
    std::vector<MergeInput> merge_inputs;
    for (const std::string& path : files) {
        inputs.push_back(std::make_unique<Input>(path));
        merge_inputs.push_back({path, &inputs.back()->reader()});
    }
    FileSink sink{out};
    Bar bar;
    const MergeResult result = merge(merge_inputs, given, sink, bar.progress());
    Json::Value j;
    j["records"] = Json::Value{Json::UInt64{result.records}};
    j["routers"] = Json::Value{Json::arrayValue};
    // Standard output may be the merged trace itself.
    std::FILE* to = out == "-" ? stderr : stdout;
    for (const MergedSource& s : result.sources) {
        const auto& e = s.estimate;
        Json::Value one;
        one["name"] = s.router;
        one["started"] = time_text(s.incarnation_unix_ns);
        one["add_ms"] = e.offset_ns / 1e6;
        one["at"] = e.at_unix_ns ? Json::Value{time_text(e.at_unix_ns)} : Json::Value{};
        one["drift_ppm"] = -e.drift * 1e6;
        one["uncertainty_ms"] = e.uncertainty_ns / 1e6;
        one["from"] = s.reference ? "reference" : from_word(s);
        one["shared"] = Json::Value{Json::UInt64{e.shared}};
        one["trimmed"] = Json::Value{Json::UInt64{e.trimmed}};
        if (e.min_delay_difference_ns)
            one["order_gap_ms"] = *e.min_delay_difference_ns / 1e6;
        if (!s.borrowed.empty())
            one["borrowed_from_start"] = s.borrowed;
        for (const auto& f : s.files)
            one["files"].append(f);
        j["routers"].append(one);
        if (as_json)
            continue;
        std::fprintf(to, "%s (started %s): %+.3f ms", s.router.c_str(),
                     time_text(s.incarnation_unix_ns).c_str(), e.offset_ns / 1e6);
        if (s.reference) {
            std::fputs(", the reference\n", to);
        } else if (e.basis == model::ClockOffsetEstimate::Basis::given) {
            std::fputs(", as given\n", to);
        } else {
            std::fprintf(to, " +- %.3f ms, its clock runs %+.1f ppm; from %zu %s (%zu left out)%s%s\n",
                         e.uncertainty_ns / 1e6, -e.drift * 1e6, e.shared, from_word(s), e.trimmed,
                         s.borrowed.empty() ? "" : ", borrowed from its run of ", s.borrowed.c_str());
            if (e.min_delay_difference_ns && std::abs(*e.min_delay_difference_ns) > 200e6)
                std::fprintf(to, "    but the quickest copies come %+.0f ms apart: do not trust it\n",
                             *e.min_delay_difference_ns / 1e6);
        }
    }
    if (as_json)
        std::fprintf(to, "%s\n", config::json_line(j).c_str());
    else
        std::fprintf(to, "%llu records\n", ull{result.records});
    int code = 0;
    for (const auto& in : inputs)
        code = std::max(code, in->tell());
    return code;
}

std::string key_for(const std::string& file) {
    std::string key;
    if (file.empty()) {
        key.resize(32);
        if (RAND_bytes(reinterpret_cast<unsigned char*>(key.data()), 32) != 1)
            throw ToolError("no random bytes to be had");
        return key;
    }
    std::ifstream in{file, std::ios::binary};
    if (!in)
        throw IoError(file + ": can't be read");
    key.assign(std::istreambuf_iterator<char>{in}, {});
    if (key.size() < 16)
        throw ToolError(file + ": a key of under 16 bytes");
    return key;
}

std::string numbered(const std::string& path, const std::string& router, int incarnation) {
    const auto dot = path.rfind('.');
    const auto slash = path.rfind('/');
    const bool has = dot != std::string::npos && (slash == std::string::npos || dot > slash);
    std::string name = (has ? path.substr(0, dot) : path) + "-" + router;
    if (incarnation > 1)
        name += "-" + std::to_string(incarnation);
    return name + (has ? path.substr(dot) : "");
}

int make_synth(const SynthPlan& plan, const std::string& out, const std::string& truth_file) {
    std::vector<std::unique_ptr<FileSink>> sinks;
    if (plan.routers > 1 && out == "-")
        throw Usage("several routers make several files: -o takes a name");
    std::vector<SynthTruth> truth;
    {
        Bar bar;
        truth = synth(
            plan,
            [&](int, const std::string& router, int incarnation, std::string& file) -> ByteSink& {
                file = plan.routers == 1 && incarnation == 1 ? out : numbered(out, router, incarnation);
                sinks.push_back(std::make_unique<FileSink>(file));
                return *sinks.back();
            },
            bar.progress());
    }
    Json::Value j{Json::arrayValue};
    for (const SynthTruth& t : truth) {
        Json::Value one;
        one["file"] = t.file;
        one["router"] = t.router;
        one["started_unix_ns"] = Json::Value{Json::Int64{t.incarnation_unix_ns}};
        one["ahead_ms"] = t.ahead_ms;
        one["drift_ppm"] = t.drift_ppm;
        one["calls"] = Json::Value{Json::UInt64{t.calls}};
        j.append(one);
        std::fprintf(stderr, "%s: %llu calls\n", t.file.c_str(), ull{t.calls});
    }
    if (!truth_file.empty()) {
        FileSink sink{truth_file};
        sink.write(config::json_line(j) + "\n");
    }
    return 0;
}

// Runs a tool and turns what it throws into an exit code.
template <class F>
int guarded(F&& f) {
    try {
        return f();
    } catch (const Usage& e) {
        std::fprintf(stderr, "%s\n", e.what());
        return kUsage;
    } catch (const std::invalid_argument& e) {
        std::fprintf(stderr, "%s\n", e.what());
        return kUsage;
    } catch (const Unreadable& e) {
        std::fprintf(stderr, "%s\n", e.what());
        return kUnreadable;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "%s\n", e.what());
        return kFailed;
    }
}

}  // namespace

void add_trace(CLI::App& app, int& code) {
    auto* group = app.add_subcommand("trace", "tools on trace files");
    group->require_subcommand(1);
    // Options live as long as the program's command line does.
    struct All {
        std::vector<std::string> files;
        std::string file, out, every, key_file, shift, truth;
        std::vector<std::string> offsets;
        bool columns = false, json = false, diff = false, objects = false;
        Choice choice;
        SynthPlan plan;
    };
    const auto all = std::make_shared<All>();
    const auto sub = [&](const char* name, const char* what, const char* example) {
        auto* s = group->add_subcommand(name, what);
        s->footer(std::string{"Example: silverrail trace "} + example);
        return s;
    };
    const auto on = [&code](CLI::App* s, std::function<int()> f) {
        s->callback([&code, f = std::move(f)] { code = guarded(f); });
    };

    auto* s = sub("info", "what files hold", "info n1-*.slt");
    s->add_option("FILE", all->files, "trace files, or - for standard input")->required();
    s->add_flag("--json", all->json);
    s->add_flag("--columns", all->columns, "bytes that each column takes, the largest first");
    on(s, [all] { return info(all->files, all->json, all->columns); });

    s = sub("verify", "reads all of a file and names what is damaged", "verify n1.slt");
    s->add_option("FILE", all->file)->required();
    on(s, [all] { return verify(all->file); });

    s = sub("show", "calls with their attempts in order",
            "show n1.slt --from +10s --to +12s --outcome refused");
    s->add_option("FILE", all->file)->required();
    s->add_flag("--json", all->json, "a line of JSON for each call");
    all->choice.add(*s);
    on(s, [all] {
        Input in{all->file};
        Bar bar;
        show(
            in.reader(), all->choice.selection(in.reader()),
            [&](const model::RequestTimeline& timeline, const Names& names) {
                if (all->json)
                    print(json_of(timeline, names));
                else
                    std::fputs(trace::text_of(timeline, names).c_str(), stdout);
            },
            all->json ? bar.progress() : Progress{});
        return in.tell();
    });

    s = sub("cut", "keeps a part, so that it stands alone",
            "cut day.slt -o noon.slt --from +3600s --to +3610s");
    s->add_option("FILE", all->file)->required();
    s->add_option("-o,--output", all->out)->required();
    all->choice.add(*s);
    on(s, [all] {
        Input in{all->file};
        const auto selection = all->choice.selection(in.reader());
        FileSink sink{all->out};
        Bar bar;
        const auto result = cut(in.reader(), selection, sink, bar.progress());
        std::fprintf(stderr, "%llu records", ull{result.records});
        if (!selection.selects_all())
            std::fprintf(stderr, " of %llu calls", ull{result.calls});
        std::fputc('\n', stderr);
        return in.tell();
    });

    s = sub("merge", "one trace of several routers, their clocks brought together",
            "merge n1.slt n2.slt -o all.slt");
    s->add_option("FILE", all->files)->required();
    s->add_option("-o,--output", all->out)->required();
    s->add_option("--offset", all->offsets, "NAME=MS: add this to that router's times; no estimate is made");
    s->add_flag("--json", all->json);
    on(s, [all] { return merge_files(all->files, all->out, all->offsets, all->json); });

    s = sub("strip", "puts pseudonyms in place of clients", "strip n1.slt -o for-others.slt --objects");
    s->add_option("FILE", all->file)->required();
    s->add_option("-o,--output", all->out)->required();
    s->add_flag("--objects", all->objects, "objects get pseudonyms too; no replay is possible after that");
    s->add_option("--key-file", all->key_file,
                  "16 bytes or more: the same names over files; otherwise a key is drawn and thrown away");
    s->add_option("--shift", all->shift, "move all Unix times by this span, as -36h");
    on(s, [all] {
        Input in{all->file};
        StripOptions options;
        options.key = key_for(all->key_file);
        options.objects = all->objects;
        if (!all->shift.empty())
            options.shift_ns = parse_span(all->shift);
        FileSink sink{all->out};
        Bar bar;
        const auto result = strip(in.reader(), options, sink, bar.progress());
        std::fprintf(stderr, "%llu records, %llu clients\n", ull{result.records}, ull{result.clients});
        return in.tell();
    });

    s = sub("summary", "counts and times by class and outcome", "summary n1.slt --every 10s --json");
    s->add_option("FILE", all->files)->required();
    s->add_option("--every", all->every, "a table for each such interval");
    s->add_flag("--json", all->json);
    on(s, [all] {
        Summarizer summarizer{all->every.empty() ? 0 : parse_span(all->every)};
        int worst = 0;
        Bar bar;
        for (const std::string& path : all->files) {
            Input in{path};
            summarizer.add(in.reader(), bar.progress());
            worst = std::max(worst, in.tell());
        }
        if (all->json)
            print(json_of(summarizer.result()));
        else
            std::fputs(trace::text_of(summarizer.result()).c_str(), stdout);
        return worst;
    });

    s = sub("replay", "asks this build's decision module again, and compares", "replay n1.slt --diff");
    s->add_option("FILE", all->files, "one router's files in order")->required();
    s->add_flag("--diff", all->diff, "go on after the first difference, and sum up by class and kind");
    s->add_flag("--json", all->json);
    on(s, [all] { return replay(all->files, all->diff, all->json); });

    s = sub("synth", "makes synthetic traces",
            "synth -o h.slt --seconds 3600 --rate 950 --routers 2 --skew 1000 --seed 7");
    s->add_option("-o,--output", all->out, "with several routers, each one's name is put in")->required();
    s->add_option("--seconds", all->plan.seconds);
    s->add_option("--rate", all->plan.rate, "calls a second at each router");
    s->add_option("--routers", all->plan.routers);
    s->add_option("--skew", all->plan.skew_ms, "clocks are up to so many ms off");
    s->add_option("--drift", all->plan.drift_ppm, "and run up to so many ppm fast or slow");
    s->add_option("--seed", all->plan.seed);
    s->add_flag("--restart", all->plan.restart, "the second router dies half-way and comes back");
    s->add_option("--truth", all->truth, "writes what the clocks were, as JSON");
    on(s, [all] { return make_synth(all->plan, all->out, all->truth); });
}

}  // namespace silverrail::cli
