// The store of the replicated state: written state is restored, no completed commit is lost if the
// write-ahead log is truncated in the last one, and files that are damaged or of another program are rejected
// with their path and left unchanged.
#include "store/replica_store.h"

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <vector>

#include "../silverrail/check.h"

// Counts the disk synchronisations that SQLite asks for, in place of the C library's function.
namespace {
int disk_syncs = 0;
}
extern "C" int fdatasync(int) {
    ++disk_syncs;
    return 0;
}

using namespace silverrail;
using namespace silverrail::cluster;
using store::ReplicaStore;
using namespace std::chrono_literals;
namespace fs = std::filesystem;

namespace {

constexpr UnixMs kNow = 1'800'000'000'000;

struct Folder {
    fs::path path = fs::temp_directory_path() / ("silverrail-store-" + std::to_string(::getpid()));
    Folder() {
        fs::remove_all(path);
        fs::create_directories(path);
    }
    ~Folder() {
        fs::remove_all(path);
    }
    std::string file(const char* name) const {
        return (path / name).string();
    }
};

std::string read(const std::string& file) {
    std::ifstream in{file, std::ios::binary};
    return {std::istreambuf_iterator<char>{in}, {}};
}
void write(const std::string& file, const std::string& bytes) {
    std::ofstream{file, std::ios::binary} << bytes;
}

bool same(const WriterLog& a, const WriterLog& b) {
    return a.version == b.version && a.collected_version == b.collected_version &&
           a.keys_by_version == b.keys_by_version && a.versions_by_key == b.versions_by_key;
}

bool holds(ReplicaStore& store, const Replica& replica) {
    const auto origins = store.writer_logs();
    for (const auto& [origin, log] : replica.writer_logs()) {
        const auto found = origins.find(origin);
        if (found == origins.end() ? log.version > 0 : !same(found->second, log))
            return false;
    }
    return store.entries() == replica.entries();
}

std::optional<std::string> rejection(const std::string& file) {
    try {
        ReplicaStore store{file, "new@1"};
        (void)store.entries();
        (void)store.writer_logs();
    } catch (const std::runtime_error& e) {
        return e.what();
    }
    return std::nullopt;
}

void written_state_is_restored_and_deleted_entries_are_removed(const Folder& folder) {
    const auto file = folder.file("restored");
    Replica a{"a", "a", "a@1", {}, 1, 0ms};
    {
        ReplicaStore store{file, "a@1"};
        CHECK(store.writer() == "a@1" && store.entries().empty());
        for (int i = 0; i < 30; ++i) {
            CHECK(a.set("ban/" + std::to_string(i % 9), std::to_string(i), kNow + i));
            if (i % 4 == 3)
                CHECK(a.clear("ban/" + std::to_string(i % 9), kNow + i));
            store.write(a, a.take_unsaved_changes());
            CHECK(holds(store, a));
        }
        // The file is locked by one process at a time.
        bool held = false;
        try {
            ReplicaStore second{file, "b@1"};
        } catch (const ReplicaStore::Locked&) {
            held = true;
        }
        CHECK(held);
    }
    // The stored writer id takes precedence over the one passed in, and versions continue.
    ReplicaStore store{file, "later@2"};
    CHECK(store.writer() == "a@1" && holds(store, a));
    Replica again{"a", "a", store.writer(), {}, 1, 0ms};
    again.restore(store.entries(), store.writer_logs());
    CHECK(again.digest() == a.digest());
    CHECK(again.set("ban/new", "", kNow) && again.versions().at("a@1") == a.versions().at("a@1") + 1);
    // A full write removes entries that no longer exist from the file, too.
    Replica empty{"a", "a", "a@1", {}, 1, 0ms};
    Replica::UnsavedChanges all;
    all.everything = true;
    store.write(empty, all);
    CHECK(store.entries().empty() && holds(store, empty));
}

// A killed process may leave the write-ahead log truncated anywhere in the last commit. All earlier commits
// must be intact, and the last one restored completely or not at all.
void a_truncated_log_contains_the_last_commit_completely_or_not_at_all(const Folder& folder) {
    const auto file = folder.file("truncated");
    Replica a{"a", "a", "a@1", {}, 1, 0ms};
    ReplicaStore store{file, "a@1"};
    std::size_t truncations = 0;
    for (int i = 0; i < 12; ++i) {
        const auto before_log = read(file + "-wal");
        const auto entries_before = a.entries();
        CHECK(i % 5 == 4 ? a.clear("ban/1", kNow + i) : a.set("ban/" + std::to_string(i % 4), "x", kNow + i));
        store.write(a, a.take_unsaved_changes());
        const auto main_file = read(file), log = read(file + "-wal");
        CHECK(log.size() > before_log.size());
        for (std::size_t at = before_log.size(); at <= log.size(); at += at + 97 < log.size() ? 97 : 1) {
            const auto copy = folder.file("copy");
            write(copy, main_file);
            write(copy + "-wal", log.substr(0, at));
            {
                ReplicaStore opened{copy, "x@9"};
                const auto entries = opened.entries();
                (void)opened.writer_logs();
                CHECK(opened.writer() == "a@1");
                CHECK(at == log.size() ? entries == a.entries()
                                       : entries == a.entries() || entries == entries_before);
            }
            fs::remove(copy);
            fs::remove(copy + "-wal");
            ++truncations;
        }
    }
    CHECK(truncations > 500);
    std::printf("%zu truncations\n", truncations);
}

void a_damaged_or_foreign_file_is_rejected_with_its_path_and_left_unchanged(const Folder& folder) {
    const auto good = folder.file("good");
    {
        ReplicaStore store{good, "a@1"};
        Replica a{"a", "a", "a@1", {}, 1, 0ms};
        for (int i = 0; i < 200; ++i)
            CHECK(a.set("ban/" + std::to_string(i), std::string(100, 'v'), kNow));
        store.write(a, a.take_unsaved_changes());
    }
    const auto bytes = read(good);
    CHECK(bytes.size() > 8'192 && !rejection(good));
    const auto bad = folder.file("bad");
    // Files that are not a database, and databases truncated in the middle of their pages.
    std::size_t rejected = 0;
    for (const auto& damaged : {std::string(10'000, 'x'), std::string("not a store"), bytes.substr(0, 4'096),
                                bytes.substr(0, bytes.size() - 5'000)}) {
        write(bad, damaged);
        const auto why = rejection(bad);
        CHECK(why && why->find(bad) != std::string::npos);
        CHECK(read(bad) == damaged);  // unchanged
        ++rejected;
    }
    // Bytes overwritten anywhere: the file is rejected or can be read, and never causes a crash.
    for (std::size_t at = 0; at + 64 < bytes.size(); at += 509) {
        auto damaged = bytes;
        for (std::size_t i = 0; i < 64; ++i)
            damaged[at + i] = static_cast<char>(damaged[at + i] ^ 0x5a);
        write(bad, damaged);
        if (const auto why = rejection(bad)) {
            CHECK(why->find(bad) != std::string::npos);
            ++rejected;
        }
        fs::remove(bad + "-wal");
        fs::remove(bad + "-journal");
    }
    CHECK(rejected > 10);
    std::printf("%zu rejected\n", rejected);
}

// Guards against a router whose start waits for a slow disk: with ten synchronisations of 0.3 s each, it did
// not listen or join its fleet for over 3 s. A file that already holds state is still synchronised.
void making_a_store_waits_for_no_disk(const Folder& folder) {
    const auto file = folder.file("made");
    Replica a{"a", "a", "a@1", {}, 1, 0ms};
    CHECK(a.set("ban/1", "v", kNow));
    disk_syncs = 0;
    {
        ReplicaStore store{file, "a@1"};
        store.write(a, a.take_unsaved_changes());
        CHECK(disk_syncs == 0);
    }
    CHECK(disk_syncs > 0);  // closing moves the log into the database
    ReplicaStore store{file, "b@1"};
    CHECK(store.writer() == "a@1" && holds(store, a));
}

// Guards against wrong state after a power failure: any part of a new file and of its log may be missing on
// the disk. Then the store is rejected, or holds the whole of the state or none of it.
void a_new_store_that_is_partly_lost_holds_all_or_nothing(const Folder& folder) {
    const auto file = folder.file("new");
    Replica a{"a", "a", "a@1", {}, 1, 0ms};
    CHECK(a.set("ban/1", "v", kNow));
    ReplicaStore original{file, "a@1"};
    original.write(a, a.take_unsaved_changes());
    const auto database = read(file);
    const auto log = read(file + "-wal");
    CHECK(!database.empty() && !log.empty());
    const auto parts_of = [](const std::string& bytes) {
        const std::string half = bytes.substr(0, bytes.size() / 2);
        return std::vector{std::string{}, std::string(bytes.size(), '\0'), half,
                           half + std::string(bytes.size() - half.size(), '\0'), bytes};
    };
    const auto copy = folder.file("part");
    int whole = 0;
    for (const auto& database_part : parts_of(database)) {
        for (const auto& log_part : parts_of(log)) {
            write(copy, database_part);
            write(copy + "-wal", log_part);
            if (!rejection(copy)) {
                ReplicaStore store{copy, "b@1"};
                const bool nothing = store.entries().empty();
                CHECK(nothing || holds(store, a));
                whole += nothing ? 0 : 1;
            }
            fs::remove(copy);
            fs::remove(copy + "-wal");
        }
    }
    CHECK(whole > 0);
}

}  // namespace

int main() {
    const Folder folder;
    making_a_store_waits_for_no_disk(folder);
    a_new_store_that_is_partly_lost_holds_all_or_nothing(folder);
    written_state_is_restored_and_deleted_entries_are_removed(folder);
    a_truncated_log_contains_the_last_commit_completely_or_not_at_all(folder);
    a_damaged_or_foreign_file_is_rejected_with_its_path_and_left_unchanged(folder);
    std::puts("replica store: all cases passed");
}
