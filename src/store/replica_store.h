// The replicated state on disk: written before it is acknowledged, restored by a restart. SQLite, one file
// with its write-ahead log beside it, held by one process at a time.
//
// A kill at any moment leaves the last commit whole (the log's frames are checksummed, a torn one is
// ignored). A loss of power may lose the last commits, but leaves a consistent state: synchronous=NORMAL, as
// the folder is memory on the platform and a command on the control address must not wait for a disk.
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
    // Another process has locked the file.
    struct Locked : std::runtime_error {
        using std::runtime_error::runtime_error;
    };
    // Opens the file or makes it; `origin` is written to a new one. Throws std::runtime_error, which names
    // the file, if it is damaged, another program's or of another version; it is left unchanged then.
    ReplicaStore(std::string file, const std::string& origin);
    ~ReplicaStore();
    ReplicaStore(const ReplicaStore&) = delete;
    ReplicaStore& operator=(const ReplicaStore&) = delete;

    // The origin under which this store's changes have their versions.
    const std::string& writer() const {
        return origin_;
    }
    // The whole stored state. Throw as the constructor does.
    cluster::Replica::Entries entries();
    cluster::Replica::WriterLogs writer_logs();
    // Writes the changes in one commit; on return they are stored. Throws std::runtime_error, with the file's
    // name, if it is not.
    void write(const cluster::Replica& replica, const cluster::Replica::UnsavedChanges& changes);

private:
    class Statement;
    class Commit;
    void open_and_lock();
    void verify();
    void initialise(const std::string& origin);
    void run(const char* sql);
    // The first column of the first row; empty: there is none.
    std::string query(const char* sql) const;
    [[noreturn]] void fail(const std::string& what) const;

    std::string file_;
    std::string origin_;
    std::unique_ptr<sqlite3, int (*)(sqlite3*)> db_;
};

}  // namespace silverrail::store
