#include "store/replica_store.h"

#include <sqlite3.h>

#include <filesystem>
#include <system_error>
#include <utility>

#include "cluster/codec/message_codec.h"

namespace silverrail::store {

namespace {

constexpr int kApplicationId = 0x51527231;  // "QRr1": distinguishes these files from other SQLite databases
constexpr int kVersion = 1;

// In the tables, `origin` is a writer, and `forgotten` its collected version.
constexpr const char* kCreateTables =
    "CREATE TABLE meta(origin TEXT NOT NULL);"
    "CREATE TABLE entries(key TEXT PRIMARY KEY, entry BLOB NOT NULL) WITHOUT ROWID;"
    "CREATE TABLE origins(name TEXT PRIMARY KEY, number INTEGER NOT NULL, forgotten INTEGER NOT NULL) "
    "WITHOUT ROWID;"
    "CREATE TABLE log(origin TEXT NOT NULL, key TEXT NOT NULL, number INTEGER NOT NULL, "
    "PRIMARY KEY(origin, key)) WITHOUT ROWID;";

bool is_missing_or_empty(const std::string& file) {
    std::error_code error;
    const auto size = std::filesystem::file_size(file, error);
    return error ? error == std::errc::no_such_file_or_directory : size == 0;
}

}  // namespace

// RAII wrapper of a prepared statement. Parameters are numbered from 1, columns from 0.
class ReplicaStore::Statement {
public:
    Statement(const ReplicaStore& store, const char* sql) : store_(store) {
        if (sqlite3_prepare_v2(store.db_.get(), sql, -1, &statement_, nullptr) != SQLITE_OK)
            store.fail(sqlite3_errmsg(store.db_.get()));
    }
    ~Statement() {
        sqlite3_finalize(statement_);
    }
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;

    Statement& bind_text(int parameter, const std::string& value) {
        sqlite3_bind_text(statement_, parameter, value.data(), static_cast<int>(value.size()),
                          SQLITE_TRANSIENT);
        return *this;
    }
    Statement& bind_blob(int parameter, const std::string& value) {
        sqlite3_bind_blob(statement_, parameter, value.data(), static_cast<int>(value.size()),
                          SQLITE_TRANSIENT);
        return *this;
    }
    Statement& bind_integer(int parameter, std::uint64_t value) {
        sqlite3_bind_int64(statement_, parameter, static_cast<sqlite3_int64>(value));
        return *this;
    }
    // True: a row is available.
    bool step() {
        const int code = sqlite3_step(statement_);
        if (code != SQLITE_ROW && code != SQLITE_DONE)
            store_.fail(sqlite3_errmsg(store_.db_.get()));
        return code == SQLITE_ROW;
    }
    // Runs a statement that returns no rows, and resets it so that it can be bound and run again.
    void execute() {
        step();
        sqlite3_reset(statement_);
    }
    std::string text(int column) const {
        const auto* data = static_cast<const char*>(sqlite3_column_blob(statement_, column));
        return data ? std::string(data, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)))
                    : std::string{};
    }
    std::uint64_t integer(int column) const {
        return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
    }

private:
    const ReplicaStore& store_;
    sqlite3_stmt* statement_ = nullptr;
};

// The prepared statements of one commit.
class ReplicaStore::Commit {
public:
    Commit(const ReplicaStore& store, const cluster::Replica& replica)
        : entries_(replica.entries()),
          origins_(replica.writer_logs()),
          put_entry_(store, "INSERT OR REPLACE INTO entries VALUES(?, ?)"),
          delete_entry_(store, "DELETE FROM entries WHERE key = ?"),
          put_writer_(store, "INSERT OR REPLACE INTO origins VALUES(?, ?, ?)"),
          put_log_item_(store, "INSERT OR REPLACE INTO log VALUES(?, ?, ?)"),
          delete_log_item_(store, "DELETE FROM log WHERE origin = ? AND key = ?") {}

    void write_everything() {
        for (const auto& [key, entry] : entries_)
            write_entry(key);
        for (const auto& [writer, log] : origins_) {
            write_writer(writer);
            for (const auto& [key, version] : log.versions_by_key)
                write_log_item(writer, key);
        }
    }
    void write(const cluster::Replica::UnsavedChanges& changes) {
        for (const auto& key : changes.keys)
            write_entry(key);
        for (const auto& writer : changes.writers)
            write_writer(writer);
        for (const auto& [writer, key] : changes.log_items)
            write_log_item(writer, key);
    }

private:
    void write_entry(const std::string& key) {
        const auto entry = entries_.find(key);
        if (entry != entries_.end())
            put_entry_.bind_text(1, key).bind_blob(2, cluster::codec::encode(entry->second)).execute();
        else
            delete_entry_.bind_text(1, key).execute();
    }
    void write_writer(const std::string& writer) {
        const auto& log = origins_.at(writer);
        put_writer_.bind_text(1, writer)
            .bind_integer(2, log.version)
            .bind_integer(3, log.collected_version)
            .execute();
    }
    void write_log_item(const std::string& writer, const std::string& key) {
        const auto& versions = origins_.at(writer).versions_by_key;
        if (const auto version = versions.find(key); version != versions.end())
            put_log_item_.bind_text(1, writer).bind_text(2, key).bind_integer(3, version->second).execute();
        else
            delete_log_item_.bind_text(1, writer).bind_text(2, key).execute();
    }

    const cluster::Replica::Entries& entries_;
    const cluster::Replica::WriterLogs& origins_;
    Statement put_entry_;
    Statement delete_entry_;
    Statement put_writer_;
    Statement put_log_item_;
    Statement delete_log_item_;
};

void ReplicaStore::fail(const std::string& what) const {
    throw std::runtime_error(file_ + ": " + what);
}

void ReplicaStore::run(const char* sql) {
    if (sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) != SQLITE_OK)
        fail(sqlite3_errmsg(db_.get()));
}

std::string ReplicaStore::query(const char* sql) const {
    Statement statement{*this, sql};
    return statement.step() ? statement.text(0) : std::string{};
}

ReplicaStore::ReplicaStore(std::string file, const std::string& writer)
    : file_(std::move(file)), db_(nullptr, sqlite3_close) {
    open_and_lock();
    const bool empty = query("SELECT count(*) FROM sqlite_master") == "0";
    if (!empty || query("PRAGMA application_id") != "0")
        verify();
    run("PRAGMA journal_mode=WAL; PRAGMA journal_size_limit=1048576;");
    if (empty)
        initialise(writer);
    run("PRAGMA synchronous=NORMAL;");
    writer_ = query("SELECT origin FROM meta");
    if (writer_.empty() || writer_.size() > cluster::kMaxWriterLength)
        fail("damaged: writer id missing or too long");
}

ReplicaStore::~ReplicaStore() = default;

// Exclusive locking mode holds the lock from the first access until the process ends, however it ends.
void ReplicaStore::open_and_lock() {
    const bool is_new = is_missing_or_empty(file_);
    sqlite3* db = nullptr;
    const int opened =
        sqlite3_open_v2(file_.c_str(), &db, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
    db_.reset(db);
    if (opened != SQLITE_OK)
        fail(db ? sqlite3_errmsg(db) : "out of memory");
    std::string sql = "PRAGMA locking_mode=EXCLUSIVE; PRAGMA cache_size=-512;";
    // A new file has nothing to lose, so the start of a router does not wait for the disk.
    if (is_new)
        sql += "PRAGMA synchronous=OFF;";
    sql += "BEGIN IMMEDIATE; COMMIT;";
    if (sqlite3_exec(db, sql.c_str(), nullptr, nullptr, nullptr) == SQLITE_BUSY)
        throw Locked(file_ + ": locked by another process");
}

void ReplicaStore::verify() {
    if (query("PRAGMA application_id") != std::to_string(kApplicationId))
        fail("not a replica store of this program");
    if (const auto version = query("PRAGMA user_version"); version != std::to_string(kVersion))
        fail("unsupported file version " + version);
    if (const auto result = query("PRAGMA quick_check(1)"); result != "ok")
        fail("damaged: " + result);
}

void ReplicaStore::initialise(const std::string& writer) {
    run("BEGIN;");
    run(kCreateTables);
    run(("PRAGMA application_id=" + std::to_string(kApplicationId) +
         "; PRAGMA user_version=" + std::to_string(kVersion) + ";")
            .c_str());
    Statement{*this, "INSERT INTO meta VALUES(?)"}.bind_text(1, writer).step();
    run("COMMIT;");
}

cluster::Replica::Entries ReplicaStore::entries() {
    cluster::Replica::Entries out;
    Statement rows{*this, "SELECT key, entry FROM entries"};
    while (rows.step()) {
        auto entry = cluster::codec::decode_entry(rows.text(1));
        if (!entry)
            fail("damaged: undecodable entry " + rows.text(0));
        out.emplace(rows.text(0), std::move(*entry));
    }
    return out;
}

cluster::Replica::WriterLogs ReplicaStore::writer_logs() {
    cluster::Replica::WriterLogs out;
    Statement writers{*this, "SELECT name, number, forgotten FROM origins"};
    while (writers.step()) {
        auto& log = out[writers.text(0)];
        log.version = writers.integer(1);
        log.collected_version = writers.integer(2);
    }
    Statement items{
        *this, "SELECT log.origin, log.key, log.number, entries.key FROM log LEFT JOIN entries USING(key)"};
    while (items.step()) {
        const auto log = out.find(items.text(0));
        const auto version = items.integer(2);
        const bool has_entry = !items.text(3).empty();
        if (log == out.end() || version > log->second.version || !has_entry)
            fail("damaged: inconsistent log of writer " + items.text(0));
        log->second.keys_by_version[version] = items.text(1);
        log->second.versions_by_key[items.text(1)] = version;
    }
    return out;
}

void ReplicaStore::write(const cluster::Replica& replica, const cluster::Replica::UnsavedChanges& changes) {
    if (!changes.everything && changes.keys.empty() && changes.writers.empty())
        return;
    Commit commit{*this, replica};
    run("BEGIN IMMEDIATE;");
    try {
        if (changes.everything) {
            run("DELETE FROM entries; DELETE FROM origins; DELETE FROM log;");
            commit.write_everything();
        } else {
            commit.write(changes);
        }
        run("COMMIT;");
    } catch (...) {
        sqlite3_exec(db_.get(), "ROLLBACK;", nullptr, nullptr, nullptr);
        throw;
    }
}

}  // namespace silverrail::store
