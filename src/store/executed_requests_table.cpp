#include "store/executed_requests_table.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <xxhash.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <system_error>

#include "store/file_descriptor.h"

namespace silverrail::store {

namespace {

using AtomicWord = std::atomic_ref<std::uint64_t>;
static_assert(AtomicWord::is_always_lock_free, "processes share the words");

constexpr std::uint64_t kMagic = 0x31305351'4552'5253;  // the table's form; another form gets another number

// Never 0, which marks an empty slot.
std::uint64_t hash_of(std::string_view trace_id) {
    const std::uint64_t hash = XXH3_64bits(trace_id.data(), trace_id.size());
    return hash == 0 ? 1 : hash;
}

std::uint64_t monotonic_ms() {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}  // namespace

ExecutedRequestsTable::ExecutedRequestsTable(const std::string& path) {
    map(path);
    std::uint64_t found = 0;
    const bool is_new = AtomicWord{table_->header.magic}.compare_exchange_strong(found, kMagic);
    if (is_new || found == kMagic)
        return;
    ::munmap(table_, sizeof(Table));
    throw std::runtime_error{path + ": not a table of request ids of this version"};
}

// The file's space is allocated at once: writing to a mapped page that the disk has no room for would end the
// process.
void ExecutedRequestsTable::map(const std::string& path) {
    const FileDescriptor file{
        path.empty() ? -1 : ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600)};
    if (!path.empty() && !file)
        throw std::system_error(errno, std::generic_category(), path);
    if (file) {
        if (const int error = ::posix_fallocate(file.get(), 0, sizeof(Table)); error != 0)
            throw std::system_error(error, std::generic_category(), path);
    }
    const int flags = file ? MAP_SHARED : MAP_PRIVATE | MAP_ANONYMOUS;
    void* mapped = ::mmap(nullptr, sizeof(Table), PROT_READ | PROT_WRITE, flags, file.get(), 0);
    if (mapped == MAP_FAILED)
        throw std::system_error(errno, std::generic_category(), path);
    table_ = static_cast<Table*>(mapped);
}

ExecutedRequestsTable::~ExecutedRequestsTable() {
    ::munmap(table_, sizeof(Table));
}

ExecutedRequestsTable::Slot* ExecutedRequestsTable::bucket_of(std::uint64_t id) const {
    return table_->slots[id % kBuckets];
}

// An empty slot, or the oldest one.
ExecutedRequestsTable::Slot& ExecutedRequestsTable::slot_to_replace(Slot* bucket) {
    const std::uint64_t now = monotonic_ms();
    Slot* oldest = bucket;
    std::uint64_t oldest_age = 0;
    for (std::size_t i = 0; i < kSlotsPerBucket; ++i) {
        if (AtomicWord{bucket[i].id}.load() == 0)
            return bucket[i];
        // A time that is still to come is one from before the machine's last start: its age wraps round to a
        // very great one.
        const std::uint64_t age = now - AtomicWord{bucket[i].recorded_ms}.load();
        if (age >= oldest_age) {
            oldest = &bucket[i];
            oldest_age = age;
        }
    }
    return *oldest;
}

bool ExecutedRequestsTable::contains(std::string_view trace_id) const {
    const std::uint64_t id = hash_of(trace_id);
    Slot* bucket = bucket_of(id);
    for (std::size_t i = 0; i < kSlotsPerBucket; ++i)
        if (AtomicWord{bucket[i].id}.load() == id)
            return true;
    return false;
}

// Two processes may record one id at the same time, in different slots. Whoever sees another slot with the id
// after writing its own withdraws: then at most one of them returns true, and possibly neither.
bool ExecutedRequestsTable::record(std::string_view trace_id) {
    if (contains(trace_id))
        return false;
    const std::uint64_t id = hash_of(trace_id);
    Slot* bucket = bucket_of(id);
    Slot* own = nullptr;
    while (!own) {
        Slot& slot = slot_to_replace(bucket);
        std::uint64_t replaced = AtomicWord{slot.id}.load();
        if (replaced == id)
            return false;
        if (AtomicWord{slot.id}.compare_exchange_strong(replaced, id))
            own = &slot;
    }
    AtomicWord{own->recorded_ms}.store(monotonic_ms());
    for (std::size_t i = 0; i < kSlotsPerBucket; ++i) {
        if (&bucket[i] == own || AtomicWord{bucket[i].id}.load() != id)
            continue;
        AtomicWord{own->id}.store(0);
        return false;
    }
    return true;
}

void ExecutedRequestsTable::remove(std::string_view trace_id) {
    const std::uint64_t id = hash_of(trace_id);
    Slot* bucket = bucket_of(id);
    for (std::size_t i = 0; i < kSlotsPerBucket; ++i) {
        std::uint64_t expected = id;
        if (AtomicWord{bucket[i].id}.compare_exchange_strong(expected, 0))
            return;
    }
}

}  // namespace silverrail::store
