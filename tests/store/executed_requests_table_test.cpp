// The table of ids that may have run: by one process, by two at once, full, and in files that are no such
// table.
#include "store/executed_requests_table.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "../silverrail/check.h"

using silverrail::store::ExecutedRequestsTable;

namespace {

struct TemporaryFile {
    TemporaryFile()
        : path(std::filesystem::temp_directory_path() /
               ("silverrail-executed-" + std::to_string(::getpid()))) {}
    ~TemporaryFile() {
        std::filesystem::remove(path);
    }
    std::filesystem::path path;
};

void an_id_is_recorded_once_until_it_is_removed() {
    ExecutedRequestsTable table;
    CHECK(!table.contains("a") && table.record("a") && table.contains("a"));
    CHECK(!table.record("a") && table.record("b"));
    table.remove("a");
    CHECK(!table.contains("a") && table.contains("b") && table.record("a"));
}

void processes_share_the_file_and_it_outlives_them() {
    TemporaryFile file;
    {
        ExecutedRequestsTable first{file.path};
        ExecutedRequestsTable second{file.path};
        CHECK(first.record("a") && second.contains("a") && !second.record("a"));
        CHECK(second.record("b") && !first.record("b"));
    }
    ExecutedRequestsTable later{file.path};
    CHECK(later.contains("a") && !later.record("b"));
}

void a_full_table_keeps_the_newest_ids() {
    constexpr std::size_t kSlots = ExecutedRequestsTable::kBuckets * ExecutedRequestsTable::kSlotsPerBucket;
    ExecutedRequestsTable table;
    for (std::size_t i = 0; i < 2 * kSlots; ++i)
        CHECK(table.record("id " + std::to_string(i)));
    std::size_t kept = 0;
    for (std::size_t i = 2 * kSlots - kSlots / 4; i < 2 * kSlots; ++i)
        kept += table.contains("id " + std::to_string(i)) ? 1 : 0;
    // A bucket keeps its last eight, and a quarter of the slots brings it two in the mean.
    CHECK(kept > kSlots / 4 * 99 / 100);
}

void of_two_that_record_an_id_at_once_at_most_one_may_run_it() {
    constexpr int kIds = 20'000;
    TemporaryFile file;
    std::vector<std::vector<char>> recorded(2, std::vector<char>(kIds));
    std::vector<std::thread> threads;
    for (auto& own : recorded)
        threads.emplace_back([&own, &file] {
            ExecutedRequestsTable table{file.path};
            for (int i = 0; i < kIds; ++i)
                own[static_cast<std::size_t>(i)] = table.record("id " + std::to_string(i)) ? 1 : 0;
        });
    for (auto& thread : threads)
        thread.join();
    for (std::size_t i = 0; i < kIds; ++i)
        CHECK(recorded[0][i] + recorded[1][i] <= 1);
}

void a_file_of_another_form_is_rejected() {
    TemporaryFile file;
    std::ofstream{file.path} << "not a table of ids, but something else";
    bool rejected = false;
    try {
        ExecutedRequestsTable table{file.path};
    } catch (const std::runtime_error&) {
        rejected = true;
    }
    CHECK(rejected);
}

}  // namespace

int main() {
    an_id_is_recorded_once_until_it_is_removed();
    processes_share_the_file_and_it_outlives_them();
    a_full_table_keeps_the_newest_ids();
    of_two_that_record_an_id_at_once_at_most_one_may_run_it();
    a_file_of_another_form_is_rejected();
    std::puts("executed requests table: all cases passed");
}
