#include "trace/chunk.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace silverrail::trace {

using model::Encoding;
using model::Text;

namespace {

// Columns 0 to 2 belong to all records; then 64 for each type, two for each field: values, and dictionary.
constexpr std::uint64_t kTypeColumn = 0;
constexpr std::uint64_t kSourceColumn = 1;
constexpr std::uint64_t kTimeColumn = 2;
constexpr std::uint64_t column_of(std::size_t type, std::size_t place) {
    return 64 + type * 64 + place * 2;
}

enum Codec : int { kRaw = 0, kNumbers = 1 };
constexpr int kZstd = 0x80;
constexpr std::uint64_t kMostColumns = 64 + 64 * 64;
constexpr std::size_t kMostTypes = 64;

constexpr std::array<std::int64_t, 3> kScales{1'000'000, 1'000, 1};

// One rule for each kind of field: its 64 bits, and whether small negative ones are usual.
template <class T>
constexpr bool kSigned = std::is_same_v<T, std::int64_t>;

template <class T>
std::uint64_t bits_of(const T& value) {
    if constexpr (std::is_same_v<T, double>)
        return std::bit_cast<std::uint64_t>(value);
    else
        return static_cast<std::uint64_t>(value);
}
template <class T>
T of_bits(std::uint64_t bits) {
    if constexpr (std::is_same_v<T, double>)
        return std::bit_cast<double>(bits);
    else if constexpr (std::is_same_v<T, bool>)
        return bits != 0;
    else
        return static_cast<T>(bits);
}

// Small whole numbers of a type come as they are, wherever they would be picked or stepped otherwise.
template <class T>
constexpr Encoding pack_of(Encoding wanted) {
    if constexpr (std::is_same_v<T, Text> || std::is_same_v<T, double>)
        return Encoding::dictionary;
    if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, std::uint8_t>)
        return Encoding::plain;
    return wanted;
}

// Fields of a type, in number.
template <class T>
std::size_t field_count() {
    std::size_t n = 0;
    T none{};
    T::fields(none, [&n](const char*, auto&, Encoding) { ++n; });
    return n;
}

constexpr std::uint64_t kServerSeed = 0x626f78;
constexpr std::uint64_t kCallSeed = 0x63616c6c;
constexpr std::uint64_t kObjectSeed = 0x6f626a;

}  // namespace

void ChunkSummary::name(std::string_view server) {
    if (server.empty())
        return;
    const auto bit = checksum(server, kServerSeed) & 255;
    servers[bit / 64] |= std::uint64_t{1} << (bit % 64);
}
bool ChunkSummary::may_name(std::string_view server) const {
    const auto bit = checksum(server, kServerSeed) & 255;
    return servers[bit / 64] >> (bit % 64) & 1;
}

std::uint64_t call_key(std::uint64_t client_request_number, std::string_view trace) {
    if (!trace.empty())
        return checksum(trace, kCallSeed);
    return checksum({reinterpret_cast<const char*>(&client_request_number), sizeof client_request_number},
                    kCallSeed);
}
std::uint64_t object_key(std::uint64_t object) {
    return checksum({reinterpret_cast<const char*>(&object), sizeof object}, kObjectSeed);
}

void detail::ColumnBuffer::clear() {
    values.clear();
    any = false;
    words.clear();
    next = 1;
    numbers.clear();
    texts.clear();
}

// ---- packing -----------------------------------------------------------------------------------

ChunkBuilder::ChunkBuilder() : columns_(model::kTypes) {
    for (std::size_t type = 0; type < model::kTypes; ++type)
        model::with_type(type, [&]<class T>(T) { columns_[type].resize(field_count<T>()); });
}
ChunkBuilder::~ChunkBuilder() = default;

void ChunkBuilder::cache_status(const Record& record, std::int64_t unix_ns, bool held) {
    ++summary_.records;
    if (held) {
        ++summary_.held;
    } else {
        const bool first = summary_.records == summary_.held + 1;
        summary_.first_unix_ns = first ? unix_ns : std::min(summary_.first_unix_ns, unix_ns);
        summary_.last_unix_ns = first ? unix_ns : std::max(summary_.last_unix_ns, unix_ns);
        summary_.types |= Types{1} << record.body.index();
    }
    // What a call that was open before is, is part of what a search may ask for.
    if (const auto* taken = std::get_if<model::RequestReceived>(&record.body)) {
        summary_.classes |= std::uint64_t{1} << std::min<std::uint64_t>(63, taken->class_index);
        keys_.push_back(call_key(taken->client_request_number, taken->client_request_id));
        keys_.push_back(object_key(taken->object));
    } else if (const auto* sent = std::get_if<model::AttemptSent>(&record.body)) {
        summary_.name(sent->target);
        summary_.name(sent->fill_source);
    } else if (const auto* ended = std::get_if<model::AttemptEnded>(&record.body)) {
        summary_.outcomes |= std::uint64_t{1} << std::min(63, 16 + ended->attempt_status);
    } else if (const auto* answered = std::get_if<model::ResponseSent>(&record.body)) {
        summary_.outcomes |= std::uint64_t{1} << std::min<int>(15, answered->kind);
    } else if (const auto* entry = std::get_if<model::ServerListEntry>(&record.body)) {
        if (!held)
            summary_.name(entry->id);
    }
}

void ChunkBuilder::add(const Record& record, std::int64_t unix_ns, bool held) {
    cache_status(record, unix_ns, held);
    const std::size_t type = record.body.index();
    types_.push_back(static_cast<char>(type));
    put_varint(sources_, record.router_index);
    any_source_ = any_source_ || record.router_index != 0;
    std::int64_t& last = last_[record.router_index];
    times_.push_back(zigzag(difference(record.at, last)));
    last = record.at;
    std::visit(
        [&](const auto& body) {
            using T = std::decay_t<decltype(body)>;
            std::size_t place = 0;
            T::fields(body, [&](const char*, const auto& value, Encoding wanted) {
                using F = std::decay_t<decltype(value)>;
                ColumnBuffer& p = columns_[type][place++];
                const Encoding pack = pack_of<F>(wanted);
                if constexpr (std::is_same_v<F, Text>) {
                    if (value.empty()) {
                        p.values.push_back(0);
                        return;
                    }
                    p.any = true;
                    auto at = p.texts.find(value);
                    if (at == p.texts.end()) {
                        at = p.texts.emplace(std::string{value}, p.next++).first;
                        put_varint(p.words, value.size());
                        p.words.append(value);
                    }
                    p.values.push_back(at->second);
                } else {
                    const std::uint64_t bits = bits_of(value);
                    p.any = p.any || bits != 0;
                    if (pack == Encoding::dictionary) {
                        if (bits == 0) {
                            p.values.push_back(0);
                            return;
                        }
                        const auto [at, fresh] = p.numbers.try_emplace(bits, p.next);
                        if (fresh) {
                            ++p.next;
                            put_u64(p.words, bits);
                        }
                        p.values.push_back(at->second);
                    } else {
                        p.values.push_back(bits);
                    }
                }
            });
        },
        record.body);
}

void ChunkBuilder::column(Bytes& head, Bytes& body, std::uint64_t id, int codec, std::uint64_t count,
                          View raw, int level) {
    const auto packed = zstd_.compressed(raw, level);
    const View stored = packed ? View{*packed} : raw;
    put_varint(head, id);
    put_varint(head, static_cast<std::uint64_t>(codec | (packed ? kZstd : 0)));
    put_varint(head, count);
    put_varint(head, raw.size());
    put_varint(head, stored.size());
    body.append(stored);
    ++written_;
}

// Spans and times are mostly whole micro- or milliseconds: the largest unit that all of them are multiples of
// stands before them.
void ChunkBuilder::numbers(Bytes& head, Bytes& body, std::uint64_t id,
                           const std::vector<std::uint64_t>& values, bool zigzagged, int level) {
    Bytes raw;
    raw.reserve(values.size() * 3);
    std::int64_t scale = 1;
    if (zigzagged)
        for (const std::int64_t s : kScales)
            if (std::all_of(values.begin(), values.end(),
                            [s](std::uint64_t v) { return unzigzag(v) % s == 0; })) {
                scale = s;
                break;
            }
    put_varint(raw, static_cast<std::uint64_t>(scale));
    if (scale == 1)
        for (const std::uint64_t v : values)
            put_varint(raw, v);
    else
        for (const std::uint64_t v : values)
            put_varint(raw, zigzag(unzigzag(v) / scale));
    column(head, body, id, kNumbers, values.size(), raw, level);
}

ChunkBuilder::Parts ChunkBuilder::finish(int level) {
    Bytes columns;
    Bytes body;
    written_ = 0;
    column(columns, body, kTypeColumn, kRaw, types_.size(), types_, level);
    if (any_source_)
        column(columns, body, kSourceColumn, kRaw, types_.size(), sources_, level);
    numbers(columns, body, kTimeColumn, times_, true, level);
    for (std::size_t type = 0; type < columns_.size(); ++type)
        model::with_type(type, [&]<class T>(T none) {
            std::size_t place = 0;
            T::fields(none, [&](const char*, auto& value, Encoding wanted) {
                using F = std::decay_t<decltype(value)>;
                const std::uint64_t id = column_of(type, place);
                ColumnBuffer& p = columns_[type][place++];
                if (!p.any)
                    return;  // absent: all are the default
                const Encoding pack = pack_of<F>(wanted);
                if (pack == Encoding::fixed) {
                    Bytes raw;
                    raw.reserve(p.values.size() * 8);
                    for (const std::uint64_t v : p.values)
                        put_u64(raw, v);
                    return column(columns, body, id, kRaw, p.values.size(), raw, level);
                }
                if (pack == Encoding::dictionary) {
                    numbers(columns, body, id, p.values, false, level);
                    return column(columns, body, id + 1, kRaw, p.next - 1, p.words, level);
                }
                if (pack == Encoding::delta) {
                    std::uint64_t last = 0;
                    for (std::uint64_t& v : p.values)
                        v = zigzag(static_cast<std::int64_t>(v - std::exchange(last, v)));
                    return numbers(columns, body, id, p.values, true, level);
                }
                if constexpr (kSigned<F>)
                    for (std::uint64_t& v : p.values)
                        v = zigzag(static_cast<std::int64_t>(v));
                numbers(columns, body, id, p.values, kSigned<F>, level);
            });
        });
    Parts parts;
    parts.summary = summary_;
    put_summary(parts.head, summary_);
    Filter filter{keys_.size()};
    for (const std::uint64_t key : keys_)
        filter.add(key);
    put_varint(parts.head, filter.bits().size());
    parts.head += filter.bits();
    put_varint(parts.head, written_);
    parts.head += columns;
    parts.body = std::move(body);
    summary_ = {};
    types_.clear();
    sources_.clear();
    any_source_ = false;
    times_.clear();
    last_.clear();
    keys_.clear();
    for (auto& type : columns_)
        for (ColumnBuffer& p : type)
            p.clear();
    return parts;
}

void put_summary(Bytes& to, const ChunkSummary& s) {
    put_varint(to, s.records);
    put_varint(to, s.held);
    put_varint(to, zigzag(s.first_unix_ns));
    put_varint(to, zigzag(s.last_unix_ns));
    put_varint(to, s.types);
    put_varint(to, s.classes);
    put_varint(to, s.outcomes);
    for (const std::uint64_t word : s.servers)
        put_u64(to, word);
}

bool get_summary(View& from, ChunkSummary& s) {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    if (!get_varint(from, s.records) || !get_varint(from, s.held) || !get_varint(from, first) ||
        !get_varint(from, last) || !get_varint(from, s.types) || !get_varint(from, s.classes) ||
        !get_varint(from, s.outcomes))
        return false;
    for (std::uint64_t& word : s.servers)
        if (!get_u64(from, word))
            return false;
    s.first_unix_ns = unzigzag(first);
    s.last_unix_ns = unzigzag(last);
    return s.held <= s.records && s.records <= kMostRecords;
}

// ---- reading -----------------------------------------------------------------------------------

struct ChunkView::Column {
    int codec = 0;
    std::uint64_t count = 0;
    std::uint64_t raw = 0;
    std::uint64_t stored = 0;
    std::uint64_t offset = 0;
};

// The columns of one type, unpacked; a column that is absent has no values: all are the default.
struct ChunkView::TypeColumns {
    struct Field {
        std::vector<std::uint64_t> values;
        Bytes words;
        std::vector<Text> texts;  // into `words`
        std::vector<std::uint64_t> numbers;
    };
    std::vector<Field> fields;
    std::size_t row = 0;
    std::size_t rows = 0;
};

ChunkView::ChunkView() = default;
ChunkView::~ChunkView() = default;

std::unique_ptr<ChunkView> ChunkView::open(View head) {
    std::unique_ptr<ChunkView> view{new ChunkView};
    if (!view->read_head(head))
        return nullptr;
    return view;
}

bool ChunkView::read_head(View head) {
    std::uint64_t bits = 0;
    if (!get_summary(head, summary_) || !get_varint(head, bits) || bits > head.size())
        return false;
    filter_ = Filter{Bytes{head.substr(0, bits)}};
    head.remove_prefix(bits);
    std::uint64_t columns = 0;
    if (!get_varint(head, columns) || columns > kMostColumns)
        return false;
    for (std::uint64_t i = 0; i < columns; ++i) {
        std::uint64_t id = 0;
        std::uint64_t codec = 0;
        Column c;
        if (!get_varint(head, id) || !get_varint(head, codec) || !get_varint(head, c.count) ||
            !get_varint(head, c.raw) || !get_varint(head, c.stored))
            return false;
        if (c.raw > kMostColumn || c.stored > kMostBody || codec > 0xff)
            return false;
        c.codec = static_cast<int>(codec);
        c.offset = body_bytes_;
        body_bytes_ += c.stored;
        if (body_bytes_ > kMostBody || !places_.try_emplace(id, c).second)
            return false;
    }
    return true;  // what a later minor version adds behind is passed over
}

std::map<std::string, std::uint64_t> ChunkView::column_bytes() const {
    std::map<std::uint64_t, std::string> names{
        {kTypeColumn, "(types)"}, {kSourceColumn, "(sources)"}, {kTimeColumn, "(times)"}};
    for (std::size_t type = 0; type < model::kTypes; ++type)
        model::with_type(type, [&]<class T>(T none) {
            std::size_t place = 0;
            T::fields(none, [&](const char* name, auto&, Encoding) {
                const std::string full = std::string{T::kName} + "." + name;
                names[column_of(type, place)] = full;
                names[column_of(type, place++) + 1] = full + ".words";
            });
        });
    std::map<std::string, std::uint64_t> bytes;
    for (const auto& [id, column] : places_) {
        const auto name = names.find(id);
        bytes[name == names.end() ? "(unknown)" : name->second] += column.stored;
    }
    return bytes;
}

bool ChunkView::may_hold(std::uint64_t key) const {
    return filter_.may_hold(key);
}

bool ChunkView::unpack(std::uint64_t id, Bytes& raw, int& codec) {
    const Column& c = places_.at(id);
    const View stored = View{body_}.substr(c.offset, c.stored);
    codec = c.codec & ~kZstd;
    if (c.codec & kZstd) {
        auto expanded = zstd_.expanded(stored, c.raw);
        if (!expanded)
            return false;
        raw = std::move(*expanded);
    } else {
        if (c.raw != c.stored)
            return false;
        raw = stored;
    }
    return true;
}

bool ChunkView::numbers(std::uint64_t id, std::vector<std::uint64_t>& to, bool zigzagged) {
    Bytes raw;
    int codec = 0;
    std::uint64_t scale = 0;
    if (!unpack(id, raw, codec) || codec != kNumbers)
        return false;
    const std::uint64_t count = places_.at(id).count;
    View rest = raw;
    if (!get_varint(rest, scale) || scale == 0 || scale > 1'000'000'000 || count > rest.size())
        return false;
    to.resize(count);
    for (std::uint64_t& v : to)
        if (!get_varint(rest, v))
            return false;
    if (scale > 1) {
        const auto by = static_cast<std::int64_t>(scale);
        for (std::uint64_t& v : to) {
            std::int64_t whole = 0;
            if (!zigzagged || __builtin_mul_overflow(unzigzag(v), by, &whole))
                return false;
            v = zigzag(whole);
        }
    }
    return rest.empty();
}

bool ChunkView::load(Bytes body, Types wanted) {
    body_ = std::move(body);
    wanted_ = wanted;
    const std::uint64_t n = summary_.records;
    int codec = 0;
    bad_ = true;
    if (body_.size() < body_bytes_ || !places_.contains(kTypeColumn) || !places_.contains(kTimeColumn))
        return false;
    if (!unpack(kTypeColumn, types_, codec) || codec != kRaw || types_.size() != n)
        return false;
    if (!numbers(kTimeColumn, times_, true) || times_.size() != n)
        return false;
    sources_.clear();
    if (places_.contains(kSourceColumn)) {
        Bytes raw;
        if (!unpack(kSourceColumn, raw, codec) || codec != kRaw)
            return false;
        View rest = raw;
        sources_.resize(n);
        for (std::uint64_t& v : sources_)
            if (!get_varint(rest, v) || v > 0xffffffffu)
                return false;
        if (!rest.empty())
            return false;
    }
    columns_.clear();
    columns_.resize(model::kTypes);
    std::array<std::size_t, kMostTypes> rows{};
    for (const char type : types_)
        if (static_cast<unsigned char>(type) < kMostTypes)
            ++rows[static_cast<unsigned char>(type)];
    for (std::size_t type = 0; type < model::kTypes; ++type) {
        if (rows[type] == 0 || !(wanted >> type & 1))
            continue;
        columns_[type] = std::make_unique<TypeColumns>();
        columns_[type]->rows = rows[type];
        if (!prepare(type))
            return false;
    }
    last_.clear();
    at_ = 0;
    unknown_ = 0;
    bad_ = false;
    return true;
}

bool ChunkView::prepare(std::size_t type) {
    TypeColumns& columns = *columns_[type];
    bool good = true;
    model::with_type(type, [&]<class T>(T none) {
        columns.fields.resize(field_count<T>());
        std::size_t place = 0;
        T::fields(none, [&](const char*, auto& value, Encoding wanted) {
            using F = std::decay_t<decltype(value)>;
            const std::uint64_t id = column_of(type, place);
            auto& field = columns.fields[place++];
            if (!good || !places_.contains(id))
                return;
            const Encoding pack = pack_of<F>(wanted);
            int codec = 0;
            if (pack == Encoding::fixed) {
                Bytes raw;
                good = unpack(id, raw, codec) && codec == kRaw && raw.size() == columns.rows * 8;
                if (!good)
                    return;
                field.values.resize(columns.rows);
                for (std::size_t i = 0; i < columns.rows; ++i)
                    field.values[i] = u64_at(raw.data() + i * 8);
                return;
            }
            const bool zigzagged = pack == Encoding::delta || (pack == Encoding::plain && kSigned<F>);
            good = numbers(id, field.values, zigzagged) && field.values.size() == columns.rows;
            if (!good)
                return;
            if (pack == Encoding::delta) {
                std::uint64_t last = 0;
                for (std::uint64_t& v : field.values)
                    v = last += static_cast<std::uint64_t>(unzigzag(v));
            } else if (zigzagged) {
                for (std::uint64_t& v : field.values)
                    v = static_cast<std::uint64_t>(unzigzag(v));
            }
            if (pack != Encoding::dictionary)
                return;
            good = places_.contains(id + 1) && unpack(id + 1, field.words, codec) && codec == kRaw;
            if (!good)
                return;
            View rest = field.words;
            std::size_t words = 0;
            if constexpr (std::is_same_v<F, Text>) {
                field.texts.emplace_back();
                for (std::uint64_t size = 0; good && !rest.empty();) {
                    good = get_varint(rest, size) && size <= rest.size();
                    if (!good)
                        return;
                    field.texts.push_back(rest.substr(0, size));
                    rest.remove_prefix(size);
                }
                words = field.texts.size();
            } else {
                field.numbers.push_back(0);
                for (std::uint64_t v = 0; get_u64(rest, v);)
                    field.numbers.push_back(v);
                good = rest.empty();
                words = field.numbers.size();
            }
            for (const std::uint64_t v : field.values)
                good = good && v < words;
        });
    });
    return good;
}

bool ChunkView::next(Record& record, bool& held) {
    while (!bad_ && at_ < types_.size()) {
        const std::size_t i = at_++;
        const auto type = static_cast<unsigned char>(types_[i]);
        record.router_index = sources_.empty() ? 0 : static_cast<std::uint32_t>(sources_[i]);
        std::int64_t& last = last_[record.router_index];
        record.at = last = sum(last, unzigzag(times_[i]));
        if (type >= model::kTypes) {
            ++unknown_;
            continue;
        }
        if (!(wanted_ >> type & 1))
            continue;
        held = i < summary_.held;
        TypeColumns& columns = *columns_[type];
        const std::size_t row = columns.row++;
        model::with_type(type, [&]<class T>(T) {
            T& body = record.body.template emplace<T>();
            std::size_t place = 0;
            T::fields(body, [&](const char*, auto& value, Encoding wanted) {
                using F = std::decay_t<decltype(value)>;
                const auto& field = columns.fields[place++];
                if (field.values.empty()) {
                    value = F{};
                    return;
                }
                if constexpr (std::is_same_v<F, Text>)
                    value = field.texts[field.values[row]];
                else if (pack_of<F>(wanted) == Encoding::dictionary)
                    value = of_bits<F>(field.numbers[field.values[row]]);
                else
                    value = of_bits<F>(field.values[row]);
            });
        });
        return true;
    }
    return false;
}

}  // namespace silverrail::trace
