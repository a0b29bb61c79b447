#include "trace/tools.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <queue>
#include <set>
#include <unordered_map>

#include "config/config.h"
#include "trace/model/enum_names.h"

namespace silverrail::trace {

using namespace model;

namespace {

// A call's last records may come this long after the times that were asked for.
constexpr std::int64_t kTail = 60'000'000'000;

// Tells of progress every few thousand records.
class Pace {
public:
    Pace(const Progress& progress, std::uint64_t all)
        : progress_(progress), all_(std::max<std::uint64_t>(1, all)) {}
    void step() {
        if (++done_ % 65536 == 0 && progress_)
            progress_(static_cast<double>(done_) / static_cast<double>(all_));
    }

private:
    const Progress& progress_;
    std::uint64_t all_;
    std::uint64_t done_ = 0;
};

std::uint64_t records_of(const TraceReader& reader) {
    std::uint64_t n = 0;
    for (const auto& c : reader.chunks())
        n += c.summary.new_records();
    return n;
}

std::int64_t add_clamped(std::int64_t a, std::int64_t b) {
    std::int64_t out = 0;
    if (!__builtin_add_overflow(a, b, &out))
        return out;
    return b > 0 ? std::numeric_limits<std::int64_t>::max() : std::numeric_limits<std::int64_t>::min();
}

}  // namespace

routing::Settings settings_of(std::string_view config_json) {
    const auto json = config::parse_json(config_json);
    if (!json)
        throw config::ConfigError("the start's settings are not JSON");
    return config::parse_config(*json).settings;
}

void Routers::take(const Record& record) {
    const auto* start = std::get_if<RouterStarted>(&record.body);
    if (!start)
        return;
    Router& r = routers_[record.router_index];
    std::string& read = read_from_[record.router_index];
    r.name = start->router_name;
    r.incarnation_unix_ns = start->incarnation_unix_ns;
    if (r.settings_read && read == start->settings)
        return;
    read = start->settings;
    r.settings = {};
    r.settings_read = false;
    try {
        r.settings = settings_of(start->settings);
        r.settings_read = true;
    } catch (const config::ConfigError&) {  // names are numbers then
    }
}

std::string Routers::name(std::uint32_t source) const {
    const auto at = routers_.find(source);
    return at == routers_.end() ? "router-" + std::to_string(source) : at->second.name;
}

std::string Routers::class_name(std::uint32_t source, std::uint64_t class_index) const {
    const auto at = routers_.find(source);
    if (at != routers_.end() && class_index < at->second.settings.classes.size())
        return at->second.settings.classes[class_index].name;
    if (at != routers_.end() && at->second.settings_read)
        return "(unknown class)";
    return "class-" + std::to_string(class_index);
}

std::int64_t Routers::latency_objective(std::uint32_t source, std::uint64_t class_index,
                                        double size_kb) const {
    const auto at = routers_.find(source);
    if (at == routers_.end() || class_index >= at->second.settings.classes.size())
        return 0;
    const routing::Settings& s = at->second.settings;
    const routing::ClassSettings& c = s.classes[class_index];
    const double work_ns = s.flow_kb_per_s > 0 ? size_kb / s.flow_kb_per_s * 1e9 : 0;
    return c.latency_objective.count() + static_cast<std::int64_t>(c.objective_stretch * work_ns);
}

// ---- show --------------------------------------------------------------------------------------

std::uint64_t show(TraceReader& reader, const Selection& selection,
                   const std::function<void(const RequestTimeline&, const Names&)>& f,
                   const Progress& progress) {
    Routers routers;
    // Which clock a time is put by: the newest seen.
    EffectiveState clocks;
    const Names names{[&](std::uint32_t s) { return routers.name(s); },
                      [&](std::uint32_t s, std::uint64_t c) { return routers.class_name(s, c); },
                      [&](std::uint32_t s, std::int64_t at) {
                          return clocks.unix_ns(s, at);
                      }};
    std::uint64_t shown = 0;
    TimelineBuilder timelines{[&](const RequestTimeline& s) {
        const std::int64_t begun =
            s.received_at == kNoTime ? selection.from_unix_ns : clocks.unix_ns(s.router_index, s.received_at);
        const std::int64_t closed =
            s.closed_at == kNoTime ? selection.to_unix_ns : clocks.unix_ns(s.router_index, s.closed_at);
        if (begun >= selection.to_unix_ns || closed < selection.from_unix_ns)
            return;
        const std::string name = s.received_at == kNoTime
                                     ? "(taken earlier)"
                                     : routers.class_name(s.router_index, s.received.class_index);
        if (!selection.matches(s, name))
            return;
        ++shown;
        f(s, names);
    }};
    ReadOptions options;
    options.track_state = false;
    options.types = ~types_of<TimerFired, TimerSet, ServerListChanged, ServerListEntry, PurgeReceived>();
    options.from_unix_ns = selection.from_unix_ns;
    options.to_unix_ns = add_clamped(selection.to_unix_ns, kTail);
    // A call's id and object stand in the filter of every chunk in which it is open, so the others hold
    // nothing of it.
    if (!selection.client_request_ids.empty() || !selection.objects.empty())
        options.chunk_filter = [&](const ChunkSummary&,
                                   const std::function<bool(std::uint64_t)>& may_contain) {
            const auto one_of = [&](const auto& list, auto key_of) {
                return list.empty() || std::any_of(list.begin(), list.end(),
                                                   [&](const auto& v) { return may_contain(key_of(v)); });
            };
            return one_of(selection.client_request_ids,
                          [](const std::string& t) {
                              char* end = nullptr;
                              const auto number = std::strtoull(t.c_str(), &end, 16);
                              return t.size() == 16 && !*end ? request_key(number, {}) : request_key(0, t);
                          }) &&
                   one_of(selection.objects, [](std::uint64_t o) { return object_key(o); });
        };
    Pace pace{progress, records_of(reader)};
    reader.for_each(options, [&](const Record& r, bool from_snapshot, const EffectiveState&) {
        pace.step();
        routers.take(r);
        if (std::holds_alternative<RouterStarted>(r.body) || std::holds_alternative<ClockSample>(r.body))
            clocks.update(r);
        timelines.add(r, from_snapshot);
        return true;
    });
    timelines.finish();
    return shown;
}

// ---- cut ---------------------------------------------------------------------------------------

CutResult cut(TraceReader& reader, const Selection& selection, ByteSink& to, const Progress& progress) {
    CutResult result;
    RequestSet wanted;
    // A call that was turned away has no number: its place among these, with the top bit set.
    constexpr std::uint64_t kDoor = std::uint64_t{1} << 47;
    ReadOptions options;
    options.track_state = false;
    options.from_unix_ns = selection.from_unix_ns;
    options.to_unix_ns = selection.to_unix_ns;
    if (!selection.selects_all()) {
        Routers routers;
        std::map<std::uint32_t, std::uint64_t> door;
        TimelineBuilder timelines{[&](const RequestTimeline& s) {
            const std::uint64_t key = s.not_admitted() ? kDoor | door[s.router_index]++ : s.request;
            const std::string name = s.received_at == kNoTime
                                         ? "(taken earlier)"
                                         : routers.class_name(s.router_index, s.received.class_index);
            if (!selection.matches(s, name))
                return;
            if (wanted.full())
                throw ToolError("over 50 million calls are wanted: cut by time first");
            wanted.insert(s.router_index, key);
            ++result.calls;
        }};
        reader.for_each(options, [&](const Record& r, bool from_snapshot, const EffectiveState&) {
            routers.take(r);
            timelines.add(r, from_snapshot);
            return true;
        });
        timelines.finish();
    }
    std::map<std::uint32_t, std::uint64_t> door;
    const auto keeps = [&](const Record& r) {
        if (selection.selects_all())
            return true;
        if (std::holds_alternative<TimerFired>(r.body) || std::holds_alternative<TimerSet>(r.body))
            return false;
        const auto call = request_of(r.body);
        if (!call)
            return true;
        if (*call != 0)
            return wanted.contains(r.router_index, *call);
        std::uint64_t& place = door[r.router_index];
        const bool kept = wanted.contains(r.router_index, kDoor | place);
        if (std::holds_alternative<ResponseSent>(r.body))
            ++place;
        return kept;
    };
    TraceWriter writer{to, reader.flags() | kCut, reader.created_unix_ns()};
    EffectiveState before;
    bool open = false;
    Pace pace{progress, records_of(reader)};
    reader.for_each(options, [&](const Record& r, bool from_snapshot, const EffectiveState&) {
        pace.step();
        if (from_snapshot) {
            before.update(r);
            return true;
        }
        // A clock's own record is put by the clock that it tells.
        std::int64_t unix_ns = before.unix_ns(r.router_index, r.at);
        if (const auto* start = std::get_if<RouterStarted>(&r.body))
            unix_ns = r.at + start->offset;
        if (const auto* clock = std::get_if<ClockSample>(&r.body))
            unix_ns = r.at + clock->offset;
        if (unix_ns < selection.from_unix_ns) {
            before.update(r);
            return true;
        }
        if (unix_ns >= selection.to_unix_ns) {
            // Routers of a merged trace are only about in step: what comes may still be in time.
            return true;
        }
        if (!std::exchange(open, true)) {
            EffectiveState kept;
            before.for_each([&](const Record& held_one) {
                if (keeps(held_one))
                    kept.update(held_one);
            });
            writer.begin_with(kept);
        }
        before.update(r);
        if (!keeps(r))
            return true;
        writer.add(r);
        ++result.records;
        return true;
    });
    writer.close();
    return result;
}

// ---- merge -------------------------------------------------------------------------------------

namespace {

using Run = std::pair<std::string, std::int64_t>;  // a router and when it began: one life of it

std::uint64_t purge_key(const PurgeReceived& p) {
    const std::uint64_t parts[] = {p.whole_group, p.whole_group ? p.group : p.object,
                                   static_cast<std::uint64_t>(p.issued_unix_ms)};
    return checksum({reinterpret_cast<const char*>(parts), sizeof parts});
}

// After a start discovery tells what had been before: that says nothing of when it was heard of.
constexpr std::int64_t kSettled = 3'000'000'000;

class Merge {
public:
    Merge(const std::vector<MergeInput>& inputs, const std::map<std::string, double>& given)
        : inputs_(inputs), given_(given) {}

    void look() {
        for (std::size_t i = 0; i < inputs_.size(); ++i)
            look(i);
        if (runs_.empty())
            throw ToolError("no router's start is told in any file");
    }

    void estimate() {
        reference_ = clock_offsets_.best_reference().value_or(0);
        std::map<std::uint32_t, std::string> missing;
        for (auto& [run, number] : runs_) {
            MergedSource& s = sources_[number];
            if (const auto at = given_.find(run.first); at != given_.end()) {
                s.estimate.offset_ns = at->second * 1e6;
                s.estimate.basis = ClockOffsetEstimate::Basis::given;
                continue;
            }
            if (number == reference_) {
                s.reference = true;
                continue;
            }
            if (const auto estimate = clock_offsets_.estimate(number, reference_))
                s.estimate = *estimate;
            else
                missing[number] = estimate.error().message();
        }
        for (const auto& [number, why] : missing) {
            // The clock of a machine goes on while its router restarts.
            const MergedSource* other = nullptr;
            for (const MergedSource& s : sources_)
                if (s.router == sources_[number].router && &s != &sources_[number] &&
                    !missing.contains(static_cast<std::uint32_t>(&s - sources_.data())))
                    other = &s;
            if (!other)
                throw ToolError(sources_[number].router + ": its clock can't be compared: " + why +
                                "; tell it with --offset " + sources_[number].router + "=MS");
            sources_[number].estimate = other->estimate;
            sources_[number].borrowed = time_text(other->incarnation_unix_ns);
        }
    }

    std::uint64_t write(ByteSink& to, const Progress& progress) {
        std::int64_t created = std::numeric_limits<std::int64_t>::max();
        std::uint32_t flags = kMerged;
        std::uint64_t all = 0;
        for (const MergeInput& in : inputs_) {
            created = std::min(created, in.reader->created_unix_ns());
            flags |= in.reader->flags();
            all += records_of(*in.reader);
        }
        TraceWriter writer{to, flags, created};
        std::vector<Stream> streams;
        for (std::size_t i = 0; i < inputs_.size(); ++i) {
            ReadOptions options;
            options.track_state = false;
            streams.push_back({TraceReader::Cursor{*inputs_[i].reader, options}, {}, 0, {}});
        }
        const auto later = [&streams](std::size_t a, std::size_t b) {
            return std::pair{streams[a].unix_ns, a} > std::pair{streams[b].unix_ns, b};
        };
        std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(later)> due{later};
        // What was in force at the begin of each file, unless an earlier file of the same run tells it.
        EffectiveState begin;
        std::vector<std::pair<std::int64_t, std::size_t>> order;
        for (std::size_t i = 0; i < inputs_.size(); ++i)
            order.emplace_back(inputs_[i].reader->chunks().empty()
                                   ? 0
                                   : inputs_[i].reader->chunks()[0].summary.first_unix_ns,
                               i);
        std::sort(order.begin(), order.end());
        for (const auto& [first, i] : order) {
            std::set<std::uint32_t> fresh;
            if (!advance(streams[i], [&](const Record& r) {
                    if (std::holds_alternative<RouterStarted>(r.body) && !begin.knows_router(r.router_index))
                        fresh.insert(r.router_index);
                    if (fresh.contains(r.router_index))
                        begin.update(r);
                }))
                continue;
            due.push(i);
        }
        writer.begin_with(begin);
        Pace pace{progress, all};
        std::uint64_t records = 0;
        while (!due.empty()) {
            const std::size_t i = due.top();
            due.pop();
            writer.add(streams[i].record);
            ++records;
            pace.step();
            if (advance(streams[i], [](const Record&) {}))
                due.push(i);
        }
        writer.close();
        return records;
    }

    std::vector<MergedSource> sources() && {
        return std::move(sources_);
    }

private:
    struct Stream {
        TraceReader::Cursor cursor;
        Record record;
        std::int64_t unix_ns;  // after the correction
        std::map<std::uint32_t, std::pair<std::uint32_t, std::int64_t>>
            clocks;  // by the file's source: ours, offset
    };

    void look(std::size_t file) {
        ReadOptions options;
        options.track_state = false;
        options.types = types_of<RouterStarted, ClockSample, PurgeReceived, ResponseSent>();
        std::map<std::uint32_t, std::int64_t> began;
        inputs_[file].reader->for_each(options, [&](const Record& r, bool from_snapshot,
                                                    const EffectiveState& clocks) {
            const std::int64_t unix_ns = clocks.unix_ns(r.router_index, r.at);
            if (const auto* start = std::get_if<RouterStarted>(&r.body)) {
                const std::uint32_t n = router_index_of(*start);
                auto& files = sources_[n].files;
                if (files.empty() || files.back() != inputs_[file].name)
                    files.push_back(inputs_[file].name);
                of_file_[{file, r.router_index}] = n;
                if (!from_snapshot)
                    began[n] = r.at;
                return true;
            }
            const auto at = of_file_.find({file, r.router_index});
            if (at == of_file_.end() || from_snapshot)
                return true;
            if (const auto* p = std::get_if<PurgeReceived>(&r.body)) {
                const auto start = began.find(at->second);
                if (start != began.end() && r.at < start->second + kSettled)
                    return true;
                clock_offsets_.observe_purge(at->second, purge_key(*p), unix_ns);
            } else if (const auto* a = std::get_if<ResponseSent>(&r.body); a && a->generated_unix_ms > 0) {
                clock_offsets_.observe_copy(at->second, unix_ns, a->generated_unix_ms * 1'000'000);
            }
            return true;
        });
    }

    std::uint32_t router_index_of(const RouterStarted& start) {
        const auto [at, fresh] = runs_.try_emplace(Run{start.router_name, start.incarnation_unix_ns},
                                                   static_cast<std::uint32_t>(sources_.size()));
        if (fresh) {
            if (sources_.size() >= EffectiveState::kMaxRouters)
                throw ToolError("over 256 router runs");
            MergedSource s;
            s.router = start.router_name;
            s.incarnation_unix_ns = start.incarnation_unix_ns;
            sources_.push_back(std::move(s));
        }
        return at->second;
    }

    // On to the file's next record that is no repeat of what is in force; those go to `from_snapshot`.
    template <class F>
    bool advance(Stream& s, F&& held_one) {
        bool from_snapshot = false;
        while (s.cursor.next(s.record, from_snapshot)) {
            Record& r = s.record;
            auto at = s.clocks.find(r.router_index);
            if (const auto* start = std::get_if<RouterStarted>(&r.body))
                at = s.clocks
                         .insert_or_assign(r.router_index, std::pair{router_index_of(*start), start->offset})
                         .first;
            if (at == s.clocks.end())
                continue;  // of no router that is told of
            const std::uint32_t number = at->second.first;
            std::int64_t& offset = at->second.second;
            const ClockOffsetEstimate& e = sources_[number].estimate;
            const auto correct = [&](auto& clock) {
                offset = clock.offset;
                const std::int64_t by = e.correction_ns(r.at + offset);
                clock.offset += by;
                clock.correction_ns += by;
                s.unix_ns = r.at + clock.offset;
            };
            s.unix_ns = r.at + offset + e.correction_ns(r.at + offset);
            if (auto* start = std::get_if<RouterStarted>(&r.body))
                correct(*start);
            if (auto* clock = std::get_if<ClockSample>(&r.body))
                correct(*clock);
            r.router_index = number;
            if (!from_snapshot)
                return true;
            held_one(r);
        }
        return false;
    }

    const std::vector<MergeInput>& inputs_;
    const std::map<std::string, double>& given_;
    ClockOffsetEstimator clock_offsets_;
    std::map<Run, std::uint32_t> runs_;
    std::vector<MergedSource> sources_;
    std::map<std::pair<std::size_t, std::uint32_t>, std::uint32_t> of_file_;
    std::uint32_t reference_ = 0;
};

}  // namespace

MergeResult merge(const std::vector<MergeInput>& inputs, const std::map<std::string, double>& given,
                  ByteSink& to, const Progress& progress) {
    Merge m{inputs, given};
    m.look();
    m.estimate();
    MergeResult result;
    result.records = m.write(to, progress);
    result.sources = std::move(m).sources();
    return result;
}

// ---- strip -------------------------------------------------------------------------------------

namespace {

// Names for names under a key: the same for the same, and nothing else to be learned without the key.
class Pseudonyms {
public:
    explicit Pseudonyms(std::string key) : key_(std::move(key)) {}
    std::uint64_t of(char domain, ByteView name) {
        scratch_.assign(1, domain);
        scratch_ += name;
        const auto at = known_.find(scratch_);
        if (at != known_.end())
            return at->second;
        unsigned char out[EVP_MAX_MD_SIZE];
        unsigned int size = 0;
        if (!HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
                  reinterpret_cast<const unsigned char*>(scratch_.data()), scratch_.size(), out, &size))
            throw ToolError("HMAC failed");
        const std::uint64_t v = u64_at({reinterpret_cast<const char*>(out), size});
        if (known_.size() >= kMostKnown)
            known_.clear();  // only a memory of what can be computed again
        known_.emplace(scratch_, v);
        return v;
    }
    std::uint64_t of(char domain, std::uint64_t number) {
        return of(domain, ByteView{reinterpret_cast<const char*>(&number), sizeof number});
    }

private:
    static constexpr std::size_t kMostKnown = 200'000;
    std::string key_;
    std::string scratch_;
    std::unordered_map<std::string, std::uint64_t> known_;
};

// An IPv4 address inside an IPv6 one is the same client as by itself.
ByteView plain_address(ByteView bytes) {
    static constexpr char kMapped[] = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, '\xff', '\xff'};
    if (bytes.size() == 16 && bytes.substr(0, 12) == ByteView{kMapped, 12})
        return bytes.substr(12);
    return bytes;
}

}  // namespace

StripResult strip(TraceReader& reader, const StripOptions& options, ByteSink& to, const Progress& progress) {
    if (options.key.size() < 16)
        throw ToolError("the key has under 16 bytes");
    const std::int64_t shift = options.shift_ns;
    // Ids of objects place them: with other ones the module would decide otherwise.
    std::uint32_t flags = reader.flags() | kStripped;
    if (options.objects)
        flags |= kCut;
    TraceWriter writer{to, flags, reader.created_unix_ns() + shift};
    Pseudonyms names{options.key};
    StripResult result;
    std::set<std::uint64_t> clients;
    EffectiveState begin;
    bool open = false;
    Pace pace{progress, records_of(reader)};
    ReadOptions read_options;
    read_options.track_state = false;
    reader.for_each(read_options, [&](const Record& original, bool from_snapshot, const EffectiveState&) {
        pace.step();
        Record r = original;
        Bytes client;
        if (auto* t = std::get_if<RequestReceived>(&r.body)) {
            if (!t->client.empty()) {
                const std::uint64_t name = names.of('c', plain_address(t->client));
                clients.insert(name);
                put_u64(client, name);
                t->client = client;
            }
            if (!t->client_request_id.empty() || t->client_request_number != 0)
                t->client_request_number = t->client_request_id.empty()
                                               ? names.of('t', t->client_request_number)
                                               : names.of('T', t->client_request_id);
            t->client_request_id = {};
            t->entity_tag = {};
            if (options.objects)
                t->object = names.of('o', t->object);
        } else if (auto* a = std::get_if<ResponseSent>(&r.body)) {
            a->entity_tag = {};
            if (a->generated_unix_ms > 0)
                a->generated_unix_ms += shift / 1'000'000;
        } else if (auto* p = std::get_if<PurgeReceived>(&r.body)) {
            if (options.objects && !p->whole_group)
                p->object = names.of('o', p->object);
            if (p->issued_unix_ms > 0)
                p->issued_unix_ms += shift / 1'000'000;
        } else if (auto* s = std::get_if<RouterStarted>(&r.body)) {
            s->offset += shift;
            s->incarnation_unix_ns += shift;
        } else if (auto* c = std::get_if<ClockSample>(&r.body)) {
            c->offset += shift;
        } else if (auto* e = std::get_if<ServerListEntry>(&r.body)) {
            if (e->started_unix_ms > 0)
                e->started_unix_ms += shift / 1'000'000;
        }
        if (from_snapshot) {
            if (!open)
                begin.update(r);
            return true;
        }
        if (!std::exchange(open, true))
            writer.begin_with(begin);
        writer.add(r);
        ++result.records;
        return true;
    });
    writer.close();
    result.clients = clients.size();
    return result;
}

// ---- summary -----------------------------------------------------------------------------------

void Summarizer::add(TraceReader& reader, const Progress& progress) {
    const auto summary = [this] {
        return RequestSummary{[this](std::uint32_t s, std::uint64_t c, double kb) {
            return routers_.latency_objective(s, c, kb);
        }};
    };
    // By its begin; the one without an interval has all.
    std::map<std::int64_t, std::size_t> places;
    for (std::size_t i = 0; i < result_.intervals.size(); ++i)
        places[result_.intervals[i].from_unix_ns] = i;
    const auto of = [&](std::int64_t unix_ns) -> RequestSummary& {
        const std::int64_t from = every_ns_ > 0 ? unix_ns - (unix_ns % every_ns_ + every_ns_) % every_ns_ : 0;
        auto at = places.find(from);
        if (at == places.end()) {
            if (places.size() >= kMostIntervals)
                throw ToolError("over 100000 intervals: choose a longer one");
            at = places.emplace(from, result_.intervals.size()).first;
            result_.intervals.push_back({from, summary()});
        }
        return result_.intervals[at->second].summary;
    };
    EffectiveState clocks;
    // Names of classes, put together once for each router.
    std::map<std::pair<std::uint32_t, std::uint64_t>, std::string> names;
    TimelineBuilder timelines{[&](const RequestTimeline& s) {
        const std::int64_t at = s.received_at != kNoTime ? s.received_at
                                : s.closed_at != kNoTime ? s.closed_at
                                                         : 0;
        auto name = names.find({s.router_index, s.received.class_index});
        if (name == names.end())
            name = names
                       .emplace(std::pair{s.router_index, s.received.class_index},
                                routers_.class_name(s.router_index, s.received.class_index))
                       .first;
        of(clocks.unix_ns(s.router_index, at))
            .add(s, s.received_at == kNoTime ? "(taken earlier)" : name->second);
    }};
    ReadOptions options;
    options.track_state = false;
    options.types = ~types_of<TimerFired, TimerSet, AttemptCancelled, FirstByteDue, ServerListEntry>();
    std::uint64_t records = 0;
    Pace pace{progress, records_of(reader)};
    reader.for_each(options, [&](const Record& r, bool from_snapshot, const EffectiveState&) {
        pace.step();
        ++records;
        if (std::holds_alternative<RouterStarted>(r.body)) {
            routers_.take(r);
            names.clear();
        }
        if (std::holds_alternative<RouterStarted>(r.body) || std::holds_alternative<ClockSample>(r.body))
            clocks.update(r);
        timelines.add(r, from_snapshot);
        if (from_snapshot)
            return true;
        if (std::holds_alternative<ServerListChanged>(r.body))
            ++result_.lists;
        if (std::holds_alternative<PurgeReceived>(r.body))
            ++result_.purges;
        if (const auto* gap = std::get_if<Gap>(&r.body)) {
            ++result_.gaps;
            result_.missing += gap->records;
        }
        return true;
    });
    timelines.finish();
    for (const auto& c : reader.chunks()) {
        const bool first = result_.records == 0;
        result_.first_unix_ns =
            first ? c.summary.first_unix_ns : std::min(result_.first_unix_ns, c.summary.first_unix_ns);
        result_.last_unix_ns =
            first ? c.summary.last_unix_ns : std::max(result_.last_unix_ns, c.summary.last_unix_ns);
        result_.records += c.summary.new_records();
    }
}

namespace {

template <class Counts>
Json::Value counts_json(const Counts& counts) {
    Json::Value out{Json::objectValue};
    for (const auto& [name, n] : counts)
        out[name] = Json::Value{Json::UInt64{n}};
    return out;
}
template <std::size_t N>
Json::Value counts_json(const std::array<std::uint64_t, N>& counts,
                        const std::array<std::string_view, N>& words) {
    Json::Value out{Json::objectValue};
    for (std::size_t i = 0; i < N; ++i)
        if (counts[i])
            out[std::string{words[i]}] = Json::Value{Json::UInt64{counts[i]}};
    return out;
}

Json::Value json_of(const LatencyHistogram& t) {
    Json::Value out;
    out["count"] = Json::Value{Json::UInt64{t.count()}};
    out["mean_ms"] = t.mean_ms();
    out["p50_ms"] = t.quantile(0.5);
    out["p90_ms"] = t.quantile(0.9);
    out["p99_ms"] = t.quantile(0.99);
    out["max_ms"] = t.max_ms();
    return out;
}

double late_share(const ClassSummary& c) {
    return c.success_latency.count()
               ? static_cast<double>(c.late) / static_cast<double>(c.success_latency.count())
               : 0;
}

Json::Value json_of(const ClassSummary& c) {
    Json::Value out;
    out["calls"] = Json::Value{Json::UInt64{c.received}};
    out["outcomes"] = counts_json(c.outcomes, kOutcomeNames);
    out["late"] = Json::Value{Json::UInt64{c.late}};
    out["late_share"] = late_share(c);
    out["bytes"] = Json::Value{Json::UInt64{c.bytes}};
    out["served"] = json_of(c.success_latency);
    out["turned_down"] = json_of(c.error_latency);
    Json::Value attempts{Json::arrayValue};
    for (const auto n : c.attempts)
        attempts.append(Json::Value{Json::UInt64{n}});
    out["calls_by_attempts"] = attempts;
    out["notes"] = counts_json(c.cache_statuses, kCacheStatusNames);
    out["endings"] = counts_json(c.attempt_statuses, kAttemptStatusNames);
    out["fills"] = counts_json(c.fills);
    out["refusals"] = counts_json(c.error_reasons);
    out["hold_off"]["count"] = Json::Value{Json::UInt64{c.retry_after.count}};
    out["hold_off"]["mean_ms"] = c.retry_after.mean_ms();
    out["hold_off"]["max_ms"] = c.retry_after.max_ms;
    return out;
}

}  // namespace

Json::Value json_of(const SummaryResult& result) {
    Json::Value out;
    out["records"] = Json::Value{Json::UInt64{result.records}};
    out["from"] = time_text(result.first_unix_ns);
    out["to"] = time_text(result.last_unix_ns);
    out["lists"] = Json::Value{Json::UInt64{result.lists}};
    out["purges"] = Json::Value{Json::UInt64{result.purges}};
    out["gaps"] = Json::Value{Json::UInt64{result.gaps}};
    out["missing_records"] = Json::Value{Json::UInt64{result.missing}};
    out["intervals"] = Json::Value{Json::arrayValue};
    for (const auto& i : result.intervals) {
        Json::Value interval;
        if (i.from_unix_ns != 0)
            interval["from"] = time_text(i.from_unix_ns);
        interval["classes"] = Json::Value{Json::objectValue};
        for (const auto& [name, c] : i.summary.classes())
            interval["classes"][name] = json_of(c);
        out["intervals"].append(std::move(interval));
    }
    return out;
}

std::string text_of(const SummaryResult& result) {
    char line[256];
    std::string out;
    const auto put = [&](const char* format, auto... values) {
        std::snprintf(line, sizeof line, format, values...);
        out += line;
    };
    using ull = unsigned long long;
    put("%s to %s: %llu records, %llu list changes, %llu purges\n", time_text(result.first_unix_ns).c_str(),
        time_text(result.last_unix_ns).c_str(), ull{result.records}, ull{result.lists}, ull{result.purges});
    if (result.gaps)
        put("%llu gaps, %llu records missing\n", ull{result.gaps}, ull{result.missing});
    for (const auto& i : result.intervals) {
        if (i.from_unix_ns != 0)
            put("\nfrom %s\n", time_text(i.from_unix_ns).c_str());
        put("%-16s %9s %9s %9s %7s %7s %7s %7s | %8s %8s %8s | %6s\n", "class", "calls", "served",
            "unchanged", "refused", "failed", "aband.", "open", "p50 ms", "p90 ms", "p99 ms", "late");
        for (const auto& [name, c] : i.summary.classes())
            put("%-16s %9llu %9llu %9llu %7llu %7llu %7llu %7llu | %8.1f %8.1f %8.1f | %5.2f%%\n",
                name.c_str(), ull{c.received}, ull{c.outcomes[0]}, ull{c.outcomes[1]}, ull{c.outcomes[3]},
                ull{c.outcomes[4]}, ull{c.outcomes[5]}, ull{c.outcomes[6]}, c.success_latency.quantile(0.5),
                c.success_latency.quantile(0.9), c.success_latency.quantile(0.99), late_share(c) * 100);
        for (const auto& [name, c] : i.summary.classes()) {
            put("%s: %llu bytes", name.c_str(), ull{c.bytes});
            out += "; calls by attempts";
            for (std::size_t n = 0; n < c.attempts.size(); ++n)
                if (c.attempts[n])
                    put(" %zu:%llu", n, ull{c.attempts[n]});
            const auto list = [&](const char* title, const auto& counts, const auto& words) {
                bool any = false;
                for (std::size_t n = 0; n < counts.size(); ++n)
                    if (counts[n]) {
                        if (!std::exchange(any, true))
                            put("; %s", title);
                        put(" %s:%llu", std::string{words[n]}.c_str(), ull{counts[n]});
                    }
            };
            list("endings", c.attempt_statuses, kAttemptStatusNames);
            list("notes", c.cache_statuses, kCacheStatusNames);
            const auto named = [&](const char* title, const auto& counts) {
                if (!counts.empty())
                    put("; %s", title);
                for (const auto& [what, n] : counts)
                    put(" %s:%llu", what.c_str(), ull{n});
            };
            named("fills", c.fills);
            named("turned down", c.error_reasons);
            if (c.retry_after.count)
                put("; hold-off %.0f ms in the mean, %.0f at most", c.retry_after.mean_ms(),
                    c.retry_after.max_ms);
            out += '\n';
        }
    }
    return out;
}

}  // namespace silverrail::trace
