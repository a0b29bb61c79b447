// The replicated state on disk. Changes are written before they are acknowledged, and restored after a
// restart. The store is an SQLite database, a file and its write-ahead log, locked by one process at a time.
//
// If the process is killed at any moment, no completed commit is lost: the frames of the log are checksummed,
// and torn ones are ignored. A power failure may lose the last commits but leaves a consistent state. This is
// due to synchronous=NORMAL, used because the folder is in memory on the platform and commands on the control
// address must not wait for a disk. For the same reason a new file is made without any synchronisation: the
// first one comes when the log is first moved into the database.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

#include "cluster/replicated_state/replica.h"

struct sqlite3;

namespace silverrail::store {

class ReplicaStore {
public:
    // The file is locked by another process.
    struct Locked : std::runtime_error {
        using std::runtime_error::runtime_error;
    };
    // Opens or creates the file. `writer` is the writer id stored in a new file. Throws std::runtime_error
    // with the file's path if it is damaged, of another program or of another version, and leaves it
    // unchanged.
    ReplicaStore(std::string file, const std::string& writer);
    ~ReplicaStore();
    ReplicaStore(const ReplicaStore&) = delete;
    ReplicaStore& operator=(const ReplicaStore&) = delete;

    // The writer id under which this store's changes are versioned.
    const std::string& writer() const {
        return writer_;
    }
    // The entire stored state. Both throw like the constructor.
    cluster::Replica::Entries entries();
    cluster::Replica::WriterLogs writer_logs();
    // Writes the changes in one commit. Throws std::runtime_error with the file's path if that fails.
    void write(const cluster::Replica& replica, const cluster::Replica::UnsavedChanges& changes);

private:
    class Statement;
    class Commit;
    void open_and_lock();
    void verify();
    void initialise(const std::string& writer);
    void run(const char* sql);
    // The first column of the first row. Empty: no rows.
    std::string query(const char* sql) const;
    [[noreturn]] void fail(const std::string& what) const;

    std::string file_;
    std::string writer_;
    std::unique_ptr<sqlite3, int (*)(sqlite3*)> db_;
};

}  // namespace silverrail::store
