// The recorder: records survive a queue that overflows, a folder that fails, rotation and a kill, or a gap
// record counts them.
#include "trace/recorder/recorder.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <thread>

#include "core/types.h"
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

// Files in memory; writing fails while `full`.
struct FakeDisk {
    std::mutex mutex;
    std::map<std::string, Bytes> files;
    bool full = false;
    std::uint64_t removed = 0;
};
class FakeFolder : public TraceFolder {
public:
    explicit FakeFolder(FakeDisk& disk) : disk_(disk) {}
    std::unique_ptr<ByteSink> create(const std::string& name) override {
        const std::lock_guard lock{disk_.mutex};
        if (disk_.full)
            throw IoError("no space left");
        disk_.files[name];
        return std::make_unique<Sink>(disk_, name);
    }
    std::vector<model::Retention::File> list() override {
        const std::lock_guard lock{disk_.mutex};
        std::vector<model::Retention::File> out;
        for (const auto& [name, bytes] : disk_.files)
            out.push_back({name, bytes.size()});
        return out;
    }
    void remove(const std::string& name) override {
        const std::lock_guard lock{disk_.mutex};
        CHECK(disk_.files.erase(name) == 1);
        ++disk_.removed;
    }

private:
    struct Sink : ByteSink {
        Sink(FakeDisk& s, std::string n) : disk(s), name(std::move(n)) {}
        void write(ByteView bytes) override {
            const std::lock_guard lock{disk.mutex};
            if (disk.full)
                throw IoError("no space left");
            disk.files[name] += bytes;
        }
        FakeDisk& disk;
        std::string name;
    };
    FakeDisk& disk_;
};

RecorderIdentity router_identity() {
    RecorderIdentity identity;
    identity.router_name = "n1";
    identity.settings = "{}";
    identity.incarnation_unix_ns = 1'764'576'000'000'000'000;
    return identity;
}

Record request_received(std::uint64_t request) {
    model::RequestReceived t;
    t.request = request;
    t.client_request_number = request * 7919;
    t.client = {"\x0a\0\0\x01", 4};
    return {static_cast<std::int64_t>(request) * 1000, 0, t};
}

void add_answered_request(Recorder& recorder, std::uint64_t request) {
    recorder.add(request_received(request));
    model::ResponseSent done;
    done.request = request;
    recorder.add({static_cast<std::int64_t>(request) * 1000, 0, done});
}

template <class Test>
void wait_until(Test test) {
    const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds{20};
    while (!test()) {
        CHECK(std::chrono::steady_clock::now() < bound);
        std::this_thread::yield();
    }
}

// What a reader finds in a recorder's files.
struct FileContents {
    std::vector<std::uint64_t> requests;
    std::uint64_t missing = 0;
    std::uint64_t starts = 0;
    bool complete = true;
};
void read_into(FileContents& contents, const Bytes& bytes) {
    MemorySource source{bytes};
    TraceReader reader{source};
    reader.for_each({}, [&](const Record& r, bool from_snapshot, const model::EffectiveState&) {
        if (from_snapshot)
            return true;
        if (const auto* t = std::get_if<model::RequestReceived>(&r.body)) {
            CHECK(t->client_request_number == t->request * 7919 && t->client.size() == 4);
            contents.requests.push_back(t->request);
        }
        if (const auto* g = std::get_if<model::Gap>(&r.body))
            contents.missing += g->records;
        contents.starts += std::holds_alternative<model::RouterStarted>(r.body);
        return true;
    });
    contents.complete = contents.complete && reader.indexed() && reader.damage().empty();
}

void the_queue_keeps_all_records_in_order_and_rejects_what_does_not_fit() {
    // Two threads, a ring that wraps many times: everything comes out as it went in, in order.
    RecordQueue queue{16384};
    constexpr int kCount = 30'000;
    std::thread producer{[&queue] {
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
    producer.join();
    // A record that is too large is rejected, and so is one that does not fit now.
    const std::string large(8192, 'x');
    model::ServerListEntry e;
    e.id = large;
    CHECK(!queue.push({0, 0, e}));
    int fits = 0;
    while (queue.push(request_received(1)))
        ++fits;
    CHECK(fits > 50 && queue.pop(got) && queue.pop(got) && queue.push(request_received(2)));
}

// Faster than it can be written.
void dropped_records_are_counted_by_gaps() {
    FakeDisk disk;
    constexpr std::uint64_t kCount = 100'000;
    RecorderCounts counts;
    {
        RecorderSettings s;
        s.queue_bytes = 64 << 10;
        Recorder recorder{s, router_identity(), std::make_unique<FakeFolder>(disk)};
        for (std::uint64_t i = 1; i <= kCount; ++i)
            recorder.add(request_received(i));
        // Once there is space again, the gap is recorded.
        wait_until([&] {
            recorder.add(request_received(kCount + 1));
            return recorder.counts().records > 0 && recorder.counts().dropped > 0 && disk.files.size() == 1;
        });
        recorder.stop();
        counts = recorder.counts();
    }
    FileContents contents;
    for (const auto& [name, bytes] : disk.files)
        read_into(contents, bytes);
    CHECK(counts.dropped > 0 && counts.lost == 0 && contents.complete && contents.starts == 1);
    CHECK(contents.requests.size() == counts.records);
    CHECK(contents.missing <= counts.dropped && contents.requests.size() + counts.dropped >= kCount);
    CHECK(std::is_sorted(contents.requests.begin(), contents.requests.end()));
}

// Noticed once, and tried again.
void records_lost_while_a_folder_fails_are_counted_by_gaps() {
    FakeDisk disk;
    RecorderSettings s;
    s.flush_ns = 1;
    s.queue_bytes = 64 << 20;  // nothing is to be dropped here, however slow the machine
    s.retry = std::chrono::milliseconds{1};
    Recorder recorder{s, router_identity(), std::make_unique<FakeFolder>(disk)};
    std::uint64_t request = 0;
    recorder.add(request_received(++request));
    wait_until([&] { return recorder.counts().bytes > 200; });
    {
        const std::lock_guard lock{disk.mutex};
        disk.full = true;
    }
    wait_until([&] {
        recorder.add(request_received(++request));
        return recorder.counts().write_errors >= 3 && recorder.counts().lost > 0;
    });
    const auto notices = recorder.drain_notices();
    CHECK(notices.size() == 1 && notices[0].find("no space left") != std::string::npos);
    {
        const std::lock_guard lock{disk.mutex};
        disk.full = false;
    }
    wait_until([&] {
        recorder.add(request_received(++request));
        return recorder.counts().files >= 2;
    });
    recorder.stop();
    const auto counts = recorder.counts();
    const auto again = recorder.drain_notices();
    CHECK(again.size() == 1 && again[0].starts_with("written again"));
    FileContents contents;
    for (const auto& [name, bytes] : disk.files)
        read_into(contents, bytes);
    CHECK(counts.dropped == 0 && counts.lost > 0);
    CHECK(contents.missing == counts.lost);
    CHECK(contents.requests.size() + contents.missing == request);
    CHECK(contents.requests.front() == 1 && contents.requests.back() == request);
}

void rotated_files_stand_alone_and_the_oldest_are_removed() {
    FakeDisk disk;
    RecorderSettings s;
    s.flush_ns = 1;
    s.retention = {
        .max_total_bytes = 60'000, .max_file_bytes = 10'000, .max_file_age_ns = std::int64_t{1} << 60};
    Recorder recorder{s, router_identity(), std::make_unique<FakeFolder>(disk)};
    std::uint64_t request = 0;
    wait_until([&] {
        // No faster than it is written, so that chunks are small beside the bound.
        const auto before = recorder.counts().bytes;
        for (int i = 0; i < 200; ++i) {
            add_answered_request(recorder, ++request);
        }
        wait_until([&] { return recorder.counts().bytes > before; });
        return recorder.counts().files >= 12;
    });
    recorder.stop();
    std::uint64_t all = 0;
    for (const auto& [name, bytes] : disk.files)
        all += bytes.size();
    // One chunk may come on top before the folder is looked at.
    CHECK(disk.removed >= 3 && all <= 60'000 + 20'000 && disk.files.size() >= 3);
    FileContents contents;
    for (const auto& [name, bytes] : disk.files)
        read_into(contents, bytes);
    CHECK(contents.complete && contents.starts == 0 && contents.requests.back() == request);
    for (std::size_t i = 1; i < contents.requests.size(); ++i)
        CHECK(contents.requests[i] == contents.requests[i - 1] + 1);
    MemorySource newest{disk.files.rbegin()->second};
    TraceReader reader{newest};
    CHECK(reader.flags() & kCut);
    RouterDirectory routers;
    reader.for_each({}, [&](const Record& r, bool, const model::EffectiveState&) {
        routers.update(r);
        return true;
    });
    CHECK(routers.name(0) == "n1");
}

// Only the newest records; at most once in a while by itself.
void a_flight_recorder_dumps_on_request_and_after_many_failures() {
    FakeDisk disk;
    RecorderSettings s;
    s.flush_ns = 1;
    s.flight_bytes = 20'000;
    s.trigger = {.failed_share = 0.5,
                 .window_ns = 1'000'000'000,
                 .min_responses = 20,
                 .min_interval_ns = std::int64_t{1} << 60};
    Recorder recorder{s, router_identity(), std::make_unique<FakeFolder>(disk)};
    std::uint64_t request = 0;
    for (int round = 0; round < 60; ++round) {
        for (int i = 0; i < 100; ++i)
            add_answered_request(recorder, ++request);
        std::this_thread::yield();
    }
    CHECK(disk.files.empty());
    recorder.request_dump();
    wait_until([&] { return recorder.counts().dumps == 1; });
    add_answered_request(recorder, ++request);
    for (int i = 0; i < 60; ++i) {
        model::ResponseSent a;
        a.kind = static_cast<std::uint8_t>(core::ClientResponse::Kind::failed);
        a.request = static_cast<std::uint64_t>(i) + 1;
        recorder.add({5'000'000'000 + i, 0, a});
    }
    wait_until([&] { return recorder.counts().dumps == 2; });
    recorder.stop();
    CHECK(recorder.counts().dumps == 2 && disk.files.size() == 2);
    for (const auto& [name, bytes] : disk.files) {
        CHECK(name.find("flight") != std::string::npos && bytes.size() < 40'000);
        FileContents contents;
        read_into(contents, bytes);
        CHECK(contents.complete && contents.missing == 0);
        if (name.find("00001") != std::string::npos)
            CHECK(!contents.requests.empty());
    }
}

void a_killed_recorder_loses_only_the_open_chunk() {
    const fs::path folder = fs::temp_directory_path() / ("silverrail-killed-" + std::to_string(::getpid()));
    int pipe_ends[2];
    CHECK(::pipe(pipe_ends) == 0);
    const pid_t pid = ::fork();
    if (pid == 0) {
        RecorderSettings s;
        s.flush_ns = 1;
        Recorder recorder{s, router_identity(), std::make_unique<DiskFolder>(folder.string(), "n1-")};
        for (std::uint64_t request = 1;; ++request) {
            recorder.add(request_received(request));
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
    // Every tool reads what is left.
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
    // A folder that can't be created.
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
    a_killed_recorder_loses_only_the_open_chunk();  // first: it forks, and there may be no other thread
    the_queue_keeps_all_records_in_order_and_rejects_what_does_not_fit();
    dropped_records_are_counted_by_gaps();
    records_lost_while_a_folder_fails_are_counted_by_gaps();
    rotated_files_stand_alone_and_the_oldest_are_removed();
    a_flight_recorder_dumps_on_request_and_after_many_failures();
    std::puts("recorder: no record is lost without being counted");
}
