#include "trace/file.h"

#include <algorithm>
#include <utility>

namespace silverrail::trace {

namespace {

constexpr View kMagic{"SLTRACE\n", 8};
constexpr View kEndMagic{"SLTREND\n", 8};
constexpr std::size_t kHeaderBytes = 32;
constexpr std::size_t kFrameBytes = 24;    // before a block's head
constexpr std::size_t kTrailerBytes = 24;  // offset of the index, checksum of that, magic
constexpr View kChunkKind{"SLCK", 4};
constexpr View kIndexKind{"SLIX", 4};
constexpr std::size_t kMostIndex = 256 << 20;
constexpr Types kClocks = types_of<model::RouterStarted, model::ClockSample>();
constexpr std::size_t kMostDamage = 1000;  // named; more are only counted in the last one

// kind, head length, body length, reserved, checksum of the first 16 and the head | head | body | checksum
Bytes block(View kind, const Bytes& head, const Bytes& body) {
    Bytes out;
    out.reserve(kFrameBytes + head.size() + body.size() + 8);
    out += kind;
    put_u32(out, static_cast<std::uint32_t>(head.size()));
    put_u32(out, static_cast<std::uint32_t>(body.size()));
    put_u32(out, 0);
    put_u64(out, checksum(head, checksum(out)));
    out += head;
    out += body;
    put_u64(out, checksum(body));
    return out;
}

}  // namespace

// ---- writing -----------------------------------------------------------------------------------

Writer::Writer(ByteSink& sink, std::uint32_t flags, std::int64_t created_unix_ns, WriterLimits limits)
    : sink_(sink), limits_(limits) {
    limits_.records = std::min(limits_.records, kMostRecords / 2);
    Bytes header{kMagic};
    put_u16(header, kMajor);
    put_u16(header, kMinor);
    put_u32(header, flags);
    put_u64(header, static_cast<std::uint64_t>(created_unix_ns));
    put_u64(header, checksum(header));
    put(header);
}

void Writer::put(const Bytes& bytes) {
    sink_.write(bytes);
    bytes_ += bytes.size();
}

void Writer::begin() {
    began_ = true;
    effective_state_.for_each(
        [this](const Record& r) { builder_.add(r, effective_state_.unix_ns(r.router_index, r.at), true); });
}

void Writer::open_with(const model::EffectiveState& effective_state) {
    effective_state.for_each([this](const Record& r) { effective_state_.update(r); });
}

void Writer::add(const Record& record) {
    if (!began_) {
        begin();
        first_at_ = record.at;
    }
    effective_state_.update(record);
    builder_.add(record, effective_state_.unix_ns(record.router_index, record.at), false);
    ++records_;
    const std::size_t fresh = builder_.records() - builder_.summary().held;
    // Routers of a merged trace have clocks of their own: the span is of the index's times.
    const ChunkSummary& s = builder_.summary();
    if (fresh >= limits_.records || builder_.records() >= kMostRecords ||
        (limits_.span > 0 && difference(s.last_unix_ns, s.first_unix_ns) >= limits_.span))
        flush();
}

void Writer::flush() {
    if (builder_.records() == builder_.summary().held)
        return;
    auto parts = builder_.finish(limits_.level);
    began_ = false;
    const Bytes bytes = block(kChunkKind, parts.head, parts.body);
    const std::uint64_t offset = bytes_;
    put(bytes);
    if (limits_.index)
        index_.push_back({offset, bytes.size(), parts.summary});
}

void Writer::close() {
    flush();
    if (limits_.index)
        put(index_at(bytes_, index_));
}

Bytes index_at(std::uint64_t offset, const std::vector<Placed>& chunks) {
    Bytes head;
    put_varint(head, chunks.size());
    for (const Placed& p : chunks) {
        put_varint(head, p.offset);
        put_varint(head, p.bytes);
        put_summary(head, p.summary);
    }
    Bytes end = block(kIndexKind, head, {});
    Bytes trailer;
    put_u64(trailer, offset);
    put_u64(trailer, checksum(trailer));
    trailer += kEndMagic;
    return end + trailer;
}

// ---- reading -----------------------------------------------------------------------------------

struct Reader::Block {
    Bytes kind;
    Bytes head;
    std::uint64_t body_offset = 0;
    std::uint64_t body_bytes = 0;
    std::uint64_t bytes = 0;  // all of it
};

Reader::Reader(const ByteSource& source) : source_(source) {
    Bytes header;
    source_.read(0, kHeaderBytes, header);
    if (header.size() < kMagic.size() || View{header}.substr(0, kMagic.size()) != kMagic)
        throw Unreadable("not a trace: it does not begin with SLTRACE");
    if (header.size() < kHeaderBytes)
        throw Unreadable("not a trace: it ends inside its header");
    const bool whole = u64_at(header.data() + 24) == checksum(View{header}.substr(0, 24));
    const std::uint16_t major = u16_at(header.data() + 8);
    if (major != kMajor && whole)
        throw Unreadable("a trace of major version " + std::to_string(major) + "; this program reads " +
                         std::to_string(kMajor));
    if (!whole)
        cache_status(0, kHeaderBytes, "header: checksum does not fit; its flags are not believed");
    minor_ = u16_at(header.data() + 10);
    // Without flags that can be believed, nothing may be taken for a whole recording.
    flags_ = whole ? u32_at(header.data() + 12) : std::uint32_t{kCut};
    created_unix_ns_ = static_cast<std::int64_t>(u64_at(header.data() + 16));
    indexed_ = read_index();
    if (!indexed_)
        scan();
}

void Reader::cache_status(std::uint64_t offset, std::uint64_t bytes, std::string what) {
    for (const Damage& d : damage_)
        if (d.offset == offset && d.what == what)
            return;
    if (damage_.size() >= kMostDamage) {
        damage_.back().bytes += bytes;
        damage_.back().what = "and more";
        return;
    }
    damage_.push_back({offset, bytes, std::move(what)});
}

bool Reader::block_at(std::uint64_t offset, Block& block, std::string* why) const {
    const auto no = [why](const char* text) {
        if (why)
            *why = text;
        return false;
    };
    Bytes frame;
    source_.read(offset, kFrameBytes, frame);
    if (frame.size() < kFrameBytes)
        return no("ends inside a block's frame");
    const std::uint32_t head = u32_at(frame.data() + 4);
    const std::uint32_t body = u32_at(frame.data() + 8);
    if (head > kMostIndex || body > kMostBody)
        return no("no block begins here");
    block.body_offset = offset + kFrameBytes + head;
    block.body_bytes = body;
    block.bytes = kFrameBytes + head + std::uint64_t{body} + 8;
    source_.read(offset + kFrameBytes, head, block.head);
    if (block.head.size() < head)
        return no("ends inside a block's head, or no block begins here");
    if (u64_at(frame.data() + 16) != checksum(block.head, checksum(View{frame}.substr(0, 16))))
        return no("a block's head does not fit its checksum");
    block.kind = frame.substr(0, 4);
    return true;
}

bool Reader::read_index() {
    const std::uint64_t size = source_.size();
    if (size < kHeaderBytes + kTrailerBytes)
        return false;
    Bytes trailer;
    source_.read(size - kTrailerBytes, kTrailerBytes, trailer);
    if (trailer.size() < kTrailerBytes || View{trailer}.substr(16) != kEndMagic ||
        u64_at(trailer.data() + 8) != checksum(View{trailer}.substr(0, 8)))
        return false;
    const std::uint64_t offset = u64_at(trailer.data());
    Block index;
    if (offset >= size || !block_at(offset, index, nullptr) || index.kind != kIndexKind)
        return false;
    Bytes end;
    source_.read(index.body_offset + index.body_bytes, 8, end);
    if (index.body_bytes != 0 || end.size() < 8 || u64_at(end.data()) != checksum({}))
        return false;
    View rest = index.head;
    std::uint64_t count = 0;
    if (!get_varint(rest, count) || count > rest.size())
        return false;
    std::vector<Chunk> chunks(count);
    for (Chunk& c : chunks)
        if (!get_varint(rest, c.offset) || !get_varint(rest, c.bytes) || !get_summary(rest, c.summary) ||
            c.offset > offset || c.bytes > offset - c.offset)
            return false;
    chunks_ = std::move(chunks);
    return true;
}

// Block by block; past what is spoilt, on to the next chunk whose head fits.
void Reader::scan() {
    const std::uint64_t size = source_.size();
    std::uint64_t at = kHeaderBytes;
    bool after_loss = false;
    while (at < size) {
        Block block;
        std::string why;
        if (block_at(at, block, &why)) {
            if (block.kind == kIndexKind) {
                // The index ends the file, with its trailer. Read from here, the chunks are known already.
                if (size - at != block.bytes + kTrailerBytes)
                    cache_status(at, size - at, "the index's trailer is cut off or spoilt");
                else
                    cache_status(size - kTrailerBytes, kTrailerBytes, "the trailer is spoilt");
                return;
            }
            const auto view = block.kind == kChunkKind ? ChunkView::open(block.head) : nullptr;
            after_loss = after_loss || (block.kind == kChunkKind && !view);
            if (block.kind == kChunkKind && !view)
                cache_status(at, block.bytes, "a chunk's head can't be read");
            if (view && size - at < block.bytes)
                cache_status(
                    at, size - at,
                    "ends inside a chunk of " + std::to_string(view->summary().records) + " records");
            else if (view)
                chunks_.push_back({{at, block.bytes, view->summary()}, std::exchange(after_loss, false)});
            at += std::min(block.bytes, size - at);
            continue;
        }
        // Where does the next one begin?
        std::uint64_t next = size;
        Bytes window;
        for (std::uint64_t from = at + 1; from < size && next == size;) {
            source_.read(from, 1 << 20, window);
            for (std::size_t i = window.find("SL"); i != Bytes::npos; i = window.find("SL", i + 1)) {
                const View kind = View{window}.substr(i, 4);
                if (kind != kChunkKind && kind != kIndexKind)
                    continue;
                Block found;
                if (!block_at(from + i, found, nullptr))
                    continue;
                next = from + i;
                break;
            }
            if (window.size() < (1 << 20))
                break;
            from += window.size() - 3;
        }
        cache_status(at, next - at, why);
        after_loss = true;
        at = next;
    }
    if (damage_.empty() || damage_.back().what.find("trailer") == std::string::npos)
        cache_status(size, 0, "no index: the writer did not end in good order");
}

std::unique_ptr<ChunkView> Reader::head(std::size_t chunk) {
    const Chunk& c = chunks_.at(chunk);
    Block block;
    std::string why;
    if (!block_at(c.offset, block, &why) || block.kind != kChunkKind) {
        cache_status(c.offset, c.bytes, why.empty() ? "no chunk where the index says so" : why);
        return nullptr;
    }
    auto view = ChunkView::open(block.head);
    if (!view)
        cache_status(c.offset, c.bytes, "a chunk's head can't be read");
    return view;
}

std::unique_ptr<ChunkView> Reader::load(std::size_t chunk, Types wanted) {
    const Chunk& c = chunks_.at(chunk);
    Bytes all;
    source_.read(c.offset, c.bytes, all);
    const auto lost = [&](const char* what) {
        lost_.insert(chunk);
        cache_status(c.offset, c.bytes,
                     std::string{what} + ", " + std::to_string(c.summary.records) + " records lost");
        return nullptr;
    };
    if (all.size() < kFrameBytes + 8 || all.size() != c.bytes)
        return lost("a chunk is cut off");
    const std::uint64_t head = u32_at(all.data() + 4);
    const std::uint64_t body = u32_at(all.data() + 8);
    if (View{all}.substr(0, 4) != kChunkKind || kFrameBytes + head + body + 8 != all.size())
        return lost("a chunk's frame is spoilt");
    const View head_bytes = View{all}.substr(kFrameBytes, head);
    if (u64_at(all.data() + 16) != checksum(head_bytes, checksum(View{all}.substr(0, 16))))
        return lost("a chunk's head does not fit its checksum");
    const View body_bytes = View{all}.substr(kFrameBytes + head, body);
    if (u64_at(all.data() + kFrameBytes + head + body) != checksum(body_bytes))
        return lost("a chunk's body does not fit its checksum");
    auto view = ChunkView::open(head_bytes);
    if (!view || !view->load(Bytes{body_bytes}, wanted))
        return lost("a chunk's columns can't be read");
    return view;
}

bool Reader::Cursor::open_next() {
    for (; chunk_ < reader_.chunks_.size(); ++chunk_) {
        const ChunkSummary& s = reader_.chunks_[chunk_].summary;
        const auto may_hold = [this](std::uint64_t key) {
            const auto head = reader_.head(chunk_);
            return head && head->may_hold(key);
        };
        const bool overlaps = s.last_unix_ns >= pass_.from_unix_ns && s.first_unix_ns < pass_.to_unix_ns;
        if (overlaps && (!pass_.priority_weight || pass_.priority_weight(s, may_hold)))
            view_ = reader_.load(chunk_, pass_.wanted);
        if (view_) {
            if (resume_)
                effective_state_ = {};
            loss_ = loss_ || reader_.chunks_[chunk_].after_loss;
            return true;
        }
        if (reader_.lost_.contains(chunk_)) {
            loss_ = true;
            lost_ += s.records - s.held;
        }
        resume_ = true;
    }
    return false;
}

bool Reader::Cursor::next(Record& record, bool& held) {
    while (view_ || open_next()) {
        if (std::exchange(loss_, false) && pass_.wanted >> model::type_of<model::Gap>() & 1) {
            held = false;
            record = {at_, 0, model::Gap{std::exchange(lost_, 0), at_, at_}};
            return true;
        }
        while (view_->next(record, held)) {
            if (held && !resume_)
                continue;
            at_ = record.at;
            if (pass_.track || kClocks >> record.body.index() & 1)
                effective_state_.update(record);
            return true;
        }
        const Chunk& c = reader_.chunks_[chunk_];
        if (view_->bad())
            reader_.cache_status(c.offset, c.bytes, "a chunk's columns can't be read");
        reader_.unknown_ += view_->unknown();
        resume_ = false;
        view_ = nullptr;
        ++chunk_;
    }
    return false;
}

void Reader::each(const Pass& pass, const Take& f) {
    Cursor cursor{*this, pass};
    Record record;
    bool held = false;
    while (cursor.next(record, held))
        if (!f(record, held, cursor.effective_state()))
            return;
}

}  // namespace silverrail::trace
