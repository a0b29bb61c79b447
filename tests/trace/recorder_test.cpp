// The recorder: what its queue, its folder and its end do to the records, and never to the request thread.
#include "trace/recorder.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <thread>

#include "records.h"
#include "trace/tools/cut.h"
#include "trace/tools/merge.h"
#include "trace/tools/show.h"
#include "trace/tools/strip.h"
#include "trace/tools/summarize.h"

using namespace silverrail;
using namespace silverrail::trace;
using model::Record;
namespace fs = std::filesystem;

namespace {

// A folder in memory whose writes fail when told to.
struct Shelf {
    std::mutex mutex;
    std::map<std::string, Bytes> files;
    bool full = false;
    std::uint64_t removed = 0;
};
class ShelfFolder : public Folder {
public:
    explicit ShelfFolder(Shelf& shelf) : shelf_(shelf) {}
    std::unique_ptr<ByteSink> create(const std::string& name) override {
        const std::lock_guard lock{shelf_.mutex};
        if (shelf_.full)
            throw IoError("no space left");
        shelf_.files[name];
        return std::make_unique<Sink>(shelf_, name);
    }
    std::vector<model::Retention::File> list() override {
        const std::lock_guard lock{shelf_.mutex};
        std::vector<model::Retention::File> out;
        for (const auto& [name, bytes] : shelf_.files)
            out.push_back({name, bytes.size()});
        return out;
    }
    void remove(const std::string& name) override {
        const std::lock_guard lock{shelf_.mutex};
        CHECK(shelf_.files.erase(name) == 1);
        ++shelf_.removed;
    }

private:
    struct Sink : ByteSink {
        Sink(Shelf& s, std::string n) : shelf(s), name(std::move(n)) {}
        void write(ByteView bytes) override {
            const std::lock_guard lock{shelf.mutex};
            if (shelf.full)
                throw IoError("no space left");
            shelf.files[name] += bytes;
        }
        Shelf& shelf;
        std::string name;
    };
    Shelf& shelf_;
};

Identity who() {
    Identity i;
    i.router = "n1";
    i.settings = "{}";
    i.incarnation_unix_ns = 1'764'576'000'000'000'000;
    return i;
}

Record taken(std::uint64_t request) {
    model::RequestReceived t;
    t.request = request;
    t.client_request_number = request * 7919;
    t.client = {"\x0a\0\0\x01", 4};
    return {static_cast<std::int64_t>(request) * 1000, 0, t};
}

void take_and_answer(Recorder& recorder, std::uint64_t request) {
    recorder.take(taken(request));
    model::ResponseSent done;
    done.request = request;
    recorder.take({static_cast<std::int64_t>(request) * 1000, 0, done});
}

template <class Test>
void wait_until(Test test) {
    const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds{20};
    while (!test()) {
        CHECK(std::chrono::steady_clock::now() < bound);
        std::this_thread::yield();
    }
}

struct Seen {
    std::vector<std::uint64_t> calls;
    std::uint64_t missing = 0;
    std::uint64_t starts = 0;
    bool whole = true;
};
void read_into(Seen& seen, const Bytes& bytes) {
    MemorySource source{bytes};
    TraceReader reader{source};
    reader.for_each({}, [&](const Record& r, bool from_snapshot, const model::EffectiveState&) {
        if (from_snapshot)
            return true;
        if (const auto* t = std::get_if<model::RequestReceived>(&r.body)) {
            CHECK(t->client_request_number == t->request * 7919 && t->client.size() == 4);
            seen.calls.push_back(t->request);
        }
        if (const auto* g = std::get_if<model::Gap>(&r.body))
            seen.missing += g->records;
        seen.starts += std::holds_alternative<model::RouterStarted>(r.body);
        return true;
    });
    seen.whole = seen.whole && reader.indexed() && reader.damage().empty();
}

void check_queue() {
    // Two threads, a ring that wraps many times: everything comes out as it went in, in order.
    RecordQueue queue{16384};
    constexpr int kCount = 30'000;
    std::thread maker{[&queue] {
        RandomRecords random{21};
        for (int i = 0; i < kCount; ++i) {
            const Record r = random.next();
            while (!queue.push(r))
                std::this_thread::yield();
        }
    }};
    RandomRecords expected{21};
    Record got;
    for (int i = 0; i < kCount;) {
        if (!queue.pop(got)) {
            std::this_thread::yield();
            continue;
        }
        CHECK(same(got, expected.next()));
        ++i;
    }
    CHECK(!queue.pop(got));
    maker.join();
    // What is too large for it is refused, and what does not fit now is.
    const std::string large(8192, 'x');
    model::ServerListEntry e;
    e.id = large;
    CHECK(!queue.push({0, 0, e}));
    int fits = 0;
    while (queue.push(taken(1)))
        ++fits;
    CHECK(fits > 50 && queue.pop(got) && queue.pop(got) && queue.push(taken(2)));
}

// Faster than it can be written: what is dropped is told of by gaps, to the record.
void check_overrun() {
    Shelf shelf;
    constexpr std::uint64_t kCount = 100'000;
    Recorder::Counts counts;
    {
        RecorderSettings s;
        s.queue_bytes = 64 << 10;
        Recorder recorder{s, who(), std::make_unique<ShelfFolder>(shelf)};
        for (std::uint64_t i = 1; i <= kCount; ++i)
            recorder.take(taken(i));
        // Once there is room again, the gap is told.
        wait_until([&] {
            recorder.take(taken(kCount + 1));
            return recorder.counts().records > 0 && recorder.counts().dropped > 0 && shelf.files.size() == 1;
        });
        recorder.stop();
        counts = recorder.counts();
    }
    Seen seen;
    for (const auto& [name, bytes] : shelf.files)
        read_into(seen, bytes);
    CHECK(counts.dropped > 0 && counts.lost == 0 && seen.whole && seen.starts == 1);
    CHECK(seen.calls.size() == counts.records);
    CHECK(seen.missing <= counts.dropped && seen.calls.size() + counts.dropped >= kCount);
    CHECK(std::is_sorted(seen.calls.begin(), seen.calls.end()));
}

// The folder fails for a while: told once, counted, tried again; a gap tells what is missing.
void check_failing_folder() {
    Shelf shelf;
    RecorderSettings s;
    s.flush_ns = 1;
    s.queue_bytes = 64 << 20;  // nothing is to be dropped here, however slow the machine
    s.retry = std::chrono::milliseconds{1};
    Recorder recorder{s, who(), std::make_unique<ShelfFolder>(shelf)};
    std::uint64_t request = 0;
    recorder.take(taken(++request));
    wait_until([&] { return recorder.counts().bytes > 200; });
    {
        const std::lock_guard lock{shelf.mutex};
        shelf.full = true;
    }
    wait_until([&] {
        recorder.take(taken(++request));
        return recorder.counts().write_errors >= 3 && recorder.counts().lost > 0;
    });
    const auto said = recorder.notices();
    CHECK(said.size() == 1 && said[0].find("no space left") != std::string::npos);
    {
        const std::lock_guard lock{shelf.mutex};
        shelf.full = false;
    }
    wait_until([&] {
        recorder.take(taken(++request));
        return recorder.counts().files >= 2;
    });
    recorder.stop();
    const auto counts = recorder.counts();
    const auto again = recorder.notices();
    CHECK(again.size() == 1 && again[0].starts_with("written again"));
    Seen seen;
    for (const auto& [name, bytes] : shelf.files)
        read_into(seen, bytes);
    CHECK(counts.dropped == 0 && counts.lost > 0);
    CHECK(seen.missing == counts.lost);
    CHECK(seen.calls.size() + seen.missing == request);
    CHECK(seen.calls.front() == 1 && seen.calls.back() == request);
}

// Files are changed by size, the oldest go, and the newest stand alone.
void check_rotation() {
    Shelf shelf;
    RecorderSettings s;
    s.flush_ns = 1;
    s.retention = {
        .max_total_bytes = 60'000, .max_file_bytes = 10'000, .max_file_age_ns = std::int64_t{1} << 60};
    Recorder recorder{s, who(), std::make_unique<ShelfFolder>(shelf)};
    std::uint64_t request = 0;
    wait_until([&] {
        // No faster than it is written, so that chunks are small beside the bound.
        const auto before = recorder.counts().bytes;
        for (int i = 0; i < 200; ++i) {
            take_and_answer(recorder, ++request);
        }
        wait_until([&] { return recorder.counts().bytes > before; });
        return recorder.counts().files >= 12;
    });
    recorder.stop();
    std::uint64_t all = 0;
    for (const auto& [name, bytes] : shelf.files)
        all += bytes.size();
    // One chunk may come on top before the folder is looked at.
    CHECK(shelf.removed >= 3 && all <= 60'000 + 20'000 && shelf.files.size() >= 3);
    Seen seen;
    for (const auto& [name, bytes] : shelf.files)
        read_into(seen, bytes);
    CHECK(seen.whole && seen.starts == 0 && seen.calls.back() == request);
    for (std::size_t i = 1; i < seen.calls.size(); ++i)
        CHECK(seen.calls[i] == seen.calls[i - 1] + 1);
    MemorySource newest{shelf.files.rbegin()->second};
    TraceReader reader{newest};
    CHECK(reader.flags() & kCut);
    RouterDirectory routers;
    reader.for_each({}, [&](const Record& r, bool, const model::EffectiveState&) {
        routers.update(r);
        return true;
    });
    CHECK(routers.name(0) == "n1");
}

// In memory, the newest only; written when asked, and by itself when many fail, once.
void check_flight() {
    Shelf shelf;
    RecorderSettings s;
    s.flush_ns = 1;
    s.flight_bytes = 20'000;
    s.trigger = {.failed_share = 0.5,
                 .window_ns = 1'000'000'000,
                 .min_responses = 20,
                 .min_interval_ns = std::int64_t{1} << 60};
    Recorder recorder{s, who(), std::make_unique<ShelfFolder>(shelf)};
    std::uint64_t request = 0;
    for (int round = 0; round < 60; ++round) {
        for (int i = 0; i < 100; ++i)
            take_and_answer(recorder, ++request);
        std::this_thread::yield();
    }
    CHECK(shelf.files.empty());
    recorder.dump();
    wait_until([&] { return recorder.counts().dumps == 1; });
    take_and_answer(recorder, ++request);
    for (int i = 0; i < 60; ++i) {
        model::ResponseSent a;
        a.kind = static_cast<std::uint8_t>(core::Answer::Kind::failed);
        a.request = static_cast<std::uint64_t>(i) + 1;
        recorder.take({5'000'000'000 + i, 0, a});
    }
    wait_until([&] { return recorder.counts().dumps == 2; });
    recorder.stop();
    CHECK(recorder.counts().dumps == 2 && shelf.files.size() == 2);
    for (const auto& [name, bytes] : shelf.files) {
        CHECK(name.find("flight") != std::string::npos && bytes.size() < 40'000);
        Seen seen;
        read_into(seen, bytes);
        CHECK(seen.whole && seen.missing == 0);
        if (name.find("00001") != std::string::npos)
            CHECK(!seen.calls.empty());
    }
}

// kill -9 while it records: only the chunk that was open is lost, and everything before can be read.
void check_killed() {
    const fs::path folder = fs::temp_directory_path() / ("silverrail-killed-" + std::to_string(::getpid()));
    int pipe_ends[2];
    CHECK(::pipe(pipe_ends) == 0);
    const pid_t pid = ::fork();
    if (pid == 0) {
        RecorderSettings s;
        s.flush_ns = 1;
        Recorder recorder{s, who(), std::make_unique<DiskFolder>(folder.string(), "n1-")};
        for (std::uint64_t request = 1;; ++request) {
            recorder.take(taken(request));
            if (request % 50 == 0)
                ::usleep(500);
            if (recorder.counts().bytes > 20'000) {
                const char byte = 1;
                if (::write(pipe_ends[1], &byte, 1) != 1)
                    ::_exit(1);
            }
        }
    }
    char byte = 0;
    CHECK(::read(pipe_ends[0], &byte, 1) == 1);
    CHECK(::kill(pid, SIGKILL) == 0 && ::waitpid(pid, nullptr, 0) == pid);
    DiskFolder disk{folder.string(), "n1-"};
    const auto files = disk.list();
    CHECK(files.size() == 1 && files[0].bytes >= 20'000);
    const std::string path = (folder / files[0].name).string();
    const auto source = open_source(path);
    TraceReader reader{*source};
    CHECK(!reader.indexed() && !reader.damage().empty());
    std::uint64_t last = 0;
    reader.for_each({}, [&](const Record& r, bool from_snapshot, const model::EffectiveState&) {
        if (const auto* t = std::get_if<model::RequestReceived>(&r.body); t && !from_snapshot)
            CHECK(t->request == ++last);
        return true;
    });
    CHECK(last > 100);
    // Every tool goes on what is left.
    Summarizer summary;
    summary.add(reader);
    CHECK(summary.result().intervals.size() == 1);
    MemorySink out;
    CHECK(cut(reader, {}, out).records == last + 1);
    MemorySink stripped;
    CHECK(strip(reader, {.key = std::string(32, 'k')}, stripped).clients == 1);
    MemorySink merged;
    CHECK(merge({{path, &reader}}, {}, merged).records == last + 1);
    disk.remove(files[0].name);
    fs::remove_all(folder);
    // A folder that can't be had.
    DiskFolder none{"/dev/null/no", "n1-"};
    bool thrown = false;
    try {
        none.create("x.slt");
    } catch (const IoError&) {
        thrown = true;
    }
    CHECK(thrown);
}

}  // namespace

int main() {
    check_killed();  // first: it forks, and no other thread may be about
    check_queue();
    check_overrun();
    check_failing_folder();
    check_rotation();
    check_flight();
    std::puts("recorder: nothing is lost untold");
}
