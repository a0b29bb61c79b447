#include "link.h"

#include <array>
#include <charconv>
#include <istream>
#include <map>
#include <optional>
#include <ostream>
#include <string>

#include "settings.h"
#include "silverrail/routing/router.h"

namespace silverrail::routing::adapter {
namespace {

using Words = std::vector<std::string_view>;

struct Instance {
    std::optional<Router> router;  // absent once BROKEN was said
    std::map<std::string, std::size_t, std::less<>> class_index;
};

struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Fields {
public:
    Fields(const Words& words, std::size_t least) : words_(words) {
        if (words.size() < least + 1)
            throw Malformed(std::string{words[0]} + ": expected at least " + std::to_string(least) +
                            " values");
    }
    std::string_view text(std::size_t i) const {
        return i < words_.size() && words_[i] != "-" ? words_[i] : std::string_view{};
    }
    std::string_view needed(std::size_t i, const char* what) const {
        const auto value = text(i);
        if (value.empty())
            throw Malformed(std::string{words_[0]} + ": expected " + what);
        return value;
    }
    std::int64_t integer(std::size_t i, const char* what) const {
        return read(needed(i, what), to_integer, what);
    }
    std::int64_t integer_or_0(std::size_t i, const char* what) const {
        return text(i).empty() ? 0 : read(text(i), to_integer, what);
    }
    double number_or(std::size_t i, double fallback, const char* what) const {
        return text(i).empty() ? fallback : read(text(i), to_double, what);
    }
    ObjectId object(std::size_t i) const {
        const auto value = needed(i, "an object (16 hex digits)");
        std::uint64_t id = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), id, 16);
        if (error != std::errc{} || end != value.data() + value.size())
            throw Malformed(std::string{words_[0]} + ": expected an object (16 hex digits)");
        return ObjectId{id};
    }

private:
    template <class Read>
    auto read(std::string_view value, Read parse, const char* what) const -> decltype(parse(value)) {
        try {
            return parse(value);
        } catch (const std::invalid_argument&) {
            throw Malformed(std::string{words_[0]} + ": expected " + what + ", got '" + std::string{value} +
                            "'");
        }
    }
    const Words& words_;
};

template <class Value, std::size_t N>
Value look_up(const std::array<std::pair<std::string_view, Value>, N>& table, std::string_view word,
              const char* what) {
    for (const auto& [name, value] : table)
        if (name == word)
            return value;
    throw Malformed(std::string{"expected "} + what + ", got '" + std::string{word} + "'");
}

constexpr std::array<std::pair<std::string_view, AttemptStatus>, 9> kEndings{
    {{"GOOD", AttemptStatus::success},
     {"BAD", AttemptStatus::error},
     {"FULL", AttemptStatus::overloaded},
     {"LATE", AttemptStatus::timeout},
     {"NOCONN", AttemptStatus::connect_failed},
     {"RST", AttemptStatus::reset},
     {"CXL", AttemptStatus::cancelled},
     {"NOP", AttemptStatus::not_sent},
     {"MISS", AttemptStatus::miss}}};
constexpr std::array<std::pair<std::string_view, Condition>, 3> kConditions{
    {{"ready", Condition::ready}, {"draining", Condition::draining}, {"gone", Condition::gone}}};

LoadReport parse_load(std::string_view text) {
    LoadReport load;
    if (text.empty())
        return load;
    for (std::string_view pair : split(text, ',')) {
        const auto at = pair.find(':');
        if (at == std::string_view::npos)
            continue;
        const std::string_view name = pair.substr(0, at);
        try {
            const double value = to_double(pair.substr(at + 1));
            if (name == "concurrent")
                load.in_flight = value;
            if (name == "load_share")
                load.utilisation = value;
            if (name == "x0")
                load.hit_ratio = value;
            if (name == "x1")
                load.link_utilisation = value;
        } catch (const std::invalid_argument&) {
            throw Malformed("expected a load report (name:value), got '" + std::string{pair} + "'");
        }
    }
    return load;
}

class Link {
public:
    Link(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

    void serve() {
        Words words;
        while (next(words)) {
            if (words[0] != "BATCH")
                throw Malformed("expected BATCH, got '" + std::string{words[0]} + "'");
            now_ = Time{Span{Fields{words, 1}.integer(1, "a clock time")}};
            reply_.clear();
            do {
                if (!next(words))
                    throw Malformed("input ended inside a batch, expected COMMIT");
            } while (handle(words));
            out_ << reply_ << "YIELD\n" << std::flush;
        }
    }
    std::size_t line_number() const {
        return line_number_;
    }

private:
    // The next line that is not blank, split; false at the end of the input.
    bool next(Words& words) {
        while (std::getline(in_, line_)) {
            ++line_number_;
            if (!line_.empty() && line_.back() == '\r')
                line_.pop_back();
            if (line_.empty())
                continue;
            words = split(line_, ' ');
            return true;
        }
        return false;
    }
    // False at the end of the batch.
    bool handle(const Words& words) {
        const std::string_view name = words[0];
        if (name == "COMMIT")
            return false;
        if (name == "ROSTER")
            read_roster(words);
        else if (name == "OPEN_INSTANCE")
            open(words);
        else if (name == "DESTROY")
            instances_.erase(std::string{Fields{words, 1}.needed(1, "an instance")});
        else
            tell(words, name);
        return true;
    }
    void open(const Words& words) {
        const Fields f{words, 2};
        const std::string id{f.needed(1, "an instance")};
        const auto seed = static_cast<std::uint64_t>(f.integer(2, "a seed"));
        Instance& instance = instances_[id] = Instance{};
        try {
            Settings settings = parse_settings({words.begin() + 3, words.end()});
            for (std::size_t i = 0; i < settings.classes.size(); ++i)
                instance.class_index[settings.classes[i].name] = i;
            instance.router.emplace(std::move(settings), seed);
        } catch (const SettingsError& e) {
            reply_ += "BROKEN " + id + " " + e.what() + "\n";
        }
    }
    void read_roster(const Words& words) {
        const Fields f{words, 2};
        auto& roster = rosters_[f.integer(1, "a list number")];
        roster.clear();
        const auto rows = f.integer(2, "a count of entries");
        Words row;
        for (std::int64_t i = 0; i < rows; ++i) {
            if (!next(row))
                throw Malformed("input ended inside a batch, expected ROW");
            if (row[0] != "ROW")
                throw Malformed("expected ROW, got '" + std::string{row[0]} + "'");
            const Fields r{row, 5};
            ListedServer c;
            c.condition = look_up(kConditions, r.text(1), "a condition");
            c.id.address = r.needed(2, "a cache");
            c.weight = r.number_or(3, 1, "a nominal size");
            c.cell = CellId{r.integer_or_0(4, "a group")};
            c.zone = r.text(5);
            if (const auto up = r.integer_or_0(6, "a start time"); up != 0)
                c.started_at = Time{Span{up}};
            c.kind = r.text(7);
            roster.push_back(std::move(c));
        }
    }
    void tell(const Words& words, std::string_view name) {
        const std::string id{Fields{words, 1}.needed(1, "an instance")};
        auto at = instances_.find(id);
        Instance* instance = at == instances_.end() ? nullptr : &at->second;
        const std::optional<Event> event = parse(words, name, instance);
        if (!event || !instance || !instance->router)
            return;
        for (const Action& action : instance->router->on(*event, now_))
            std::visit([&](const auto& a) { write(id, a); }, action);
    }
    std::optional<Event> parse(const Words& words, std::string_view name, const Instance* instance) {
        if (name == "KNOCK")
            return parse_request(words, instance);
        if (name == "SETTLED")
            return parse_outcome(words);
        if (name == "WAKE")
            return Timer{TimerId{static_cast<std::uint64_t>(Fields{words, 2}.integer(2, "a timer"))}};
        if (name == "ABORTED")
            return ClientClosed{request_id(Fields{words, 2})};
        if (name == "UNDER_WAY") {
            const Fields f{words, 3};
            return ResponseStarted{request_id(f), static_cast<std::uint32_t>(f.integer(3, "an attempt"))};
        }
        if (name == "STRUCK_OUT")
            return parse_purge(words);
        if (name == "PEERS_KNOWN")
            return parse_list(words);
        if (name == "PEER" || name == "PROBE_DONE")
            return std::nullopt;  // neither is ever asked for
        throw Malformed("unknown event '" + std::string{name} + "'");
    }
    static RequestId request_id(const Fields& f) {
        return RequestId{static_cast<std::uint64_t>(f.integer(2, "a request id"))};
    }
    static std::optional<Event> parse_request(const Words& words, const Instance* instance) {
        const Fields f{words, 8};
        Request r;
        r.id = request_id(f);
        r.group = GroupId{static_cast<std::uint64_t>(f.integer_or_0(3, "a group"))};
        r.object = f.text(4).empty() ? ObjectId{} : f.object(4);
        r.deadline = Time{Span{f.integer(5, "a deadline")}};
        r.is_retry = f.text(9) == "1";
        r.segment = static_cast<std::uint32_t>(f.integer_or_0(10, "a part"));
        r.size_kb = f.number_or(11, 0, "a size");
        const auto name = f.needed(8, "a class");
        if (!instance || !instance->router)
            return std::nullopt;
        const auto index = instance->class_index.find(name);
        if (index == instance->class_index.end())
            throw Malformed("KNOCK: expected a class of the settings, got '" + std::string{name} + "'");
        r.class_index = index->second;
        return r;
    }
    static Outcome parse_outcome(const Words& words) {
        const Fields f{words, 7};
        Outcome o;
        o.request = request_id(f);
        o.attempt = static_cast<std::uint32_t>(f.integer(3, "an attempt"));
        o.attempt_status = look_up(kEndings, f.text(5), "an ending");
        o.duration = Span{f.integer_or_0(6, "a time")};
        o.request_completed = f.text(7) == "1";
        const auto cache_status = f.integer_or_0(8, "a detail");
        if (cache_status >= 0 && cache_status <= 10)
            o.cache_status = static_cast<CacheStatus>(cache_status);
        o.source_wait = Span{f.integer_or_0(9, "a time")};
        o.load = parse_load(f.text(10));
        return o;
    }
    static Purge parse_purge(const Words& words) {
        const Fields f{words, 3};
        Purge p;
        if (!f.text(2).empty())
            p.object = f.object(2);
        p.group = GroupId{static_cast<std::uint64_t>(f.integer_or_0(3, "a group"))};
        p.age = Span{f.integer_or_0(4, "an age")};
        return p;
    }
    std::optional<Event> parse_list(const Words& words) {
        const Fields f{words, 3};
        const auto form = f.text(2);
        if (form == "failed")
            return std::nullopt;
        if (form != "delta" && form != "full" && form != "cached")
            throw Malformed("PEERS_KNOWN: expected delta, full, cached or failed, got '" + std::string{form} +
                            "'");
        const auto roster = rosters_.find(f.integer(4, "a list number"));
        if (roster == rosters_.end())
            throw Malformed("PEERS_KNOWN: expected the number of a list given before");
        return ServerList{form != "delta", roster->second};
    }

    template <class... Values>
    void line(const char* name, const std::string& id, const Values&... values) {
        reply_ += name;
        reply_ += ' ';
        reply_ += id;
        ((reply_ += ' ', append(values)), ...);
        reply_ += '\n';
    }
    void append(const std::string& text) {
        reply_ += text;
    }
    template <class Number>
    void append(Number n)
        requires std::is_arithmetic_v<Number>
    {
        reply_ += std::to_string(n);
    }
    void append(Span s) {
        append(s.count());
    }
    template <class Id>
    void append(Id id)
        requires std::is_enum_v<Id>
    {
        append(static_cast<std::underlying_type_t<Id>>(id));
    }

    void write(const std::string& id, const Send& a) {
        if (!a.fill)
            return line("HAND_OFF", id, a.request, a.target.address, a.timeout);
        const int bits =
            (a.fill->coalesce ? 1 : 0) | (a.fill->only_if_cached ? 2 : 0) | (a.fill->revalidate ? 8 : 0);
        line("GET", id, a.request, a.target.address, a.timeout, a.fill->source.address, a.fill->retention,
             a.fill->max_age, bits);
    }
    void write(const std::string& id, const Cancel& a) {
        line("DROP_ATTEMPT", id, a.request, a.attempt);
    }
    void write(const std::string& id, const Reject& a) {
        line("OVERLOAD_REPLY", id, a.request, a.retry_after);
    }
    void write(const std::string& id, const Fail& a) {
        line("FAIL", id, a.request);
    }
    void write(const std::string& id, const SetTimer& a) {
        line("ARM", id, a.after, a.id);
    }

    std::istream& in_;
    std::ostream& out_;
    std::string line_;
    std::size_t line_number_ = 0;
    Time now_{};
    std::string reply_;
    std::map<std::int64_t, std::vector<ListedServer>> rosters_;
    std::map<std::string, Instance> instances_;
};

}  // namespace

int serve(std::istream& in, std::ostream& out, std::ostream& errors) {
    Link link{in, out};
    try {
        link.serve();
        return 0;
    } catch (const Malformed& e) {
        errors << "line " << link.line_number() << ": " << e.what() << '\n';
        return 2;
    }
}

}  // namespace silverrail::routing::adapter
