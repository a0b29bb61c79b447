#include "store/replica_store.h"

#include <sqlite3.h>

#include "cluster/wire.h"

namespace silverrail::store {

namespace {

constexpr int kApplication = 0x51527231;  // "QRr1": tells our files from any other SQLite file
constexpr int kVersion = 1;

}  // namespace

// One prepared statement, finalised with its scope.
class ReplicaStore::Statement {
public:
    Statement(const ReplicaStore& store, const char* sql) : store_(store) {
        if (sqlite3_prepare_v2(store.db_.get(), sql, -1, &s_, nullptr) != SQLITE_OK)
            store.fail(sqlite3_errmsg(store.db_.get()));
    }
    ~Statement() {
        sqlite3_finalize(s_);
    }
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;
    Statement& text(int at, const std::string& value) {
        sqlite3_bind_text(s_, at, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT);
        return *this;
    }
    Statement& blob(int at, const std::string& value) {
        sqlite3_bind_blob(s_, at, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT);
        return *this;
    }
    Statement& whole(int at, std::uint64_t value) {
        sqlite3_bind_int64(s_, at, static_cast<sqlite3_int64>(value));
        return *this;
    }
    // True: a row is there.
    bool step() {
        const int code = sqlite3_step(s_);
        if (code != SQLITE_ROW && code != SQLITE_DONE)
            store_.fail(sqlite3_errmsg(store_.db_.get()));
        return code == SQLITE_ROW;
    }
    void again() {
        sqlite3_reset(s_);
    }
    std::string bytes(int column) const {
        const auto* data = static_cast<const char*>(sqlite3_column_blob(s_, column));
        return data ? std::string(data, static_cast<std::size_t>(sqlite3_column_bytes(s_, column)))
                    : std::string{};
    }
    std::uint64_t number(int column) const {
        return static_cast<std::uint64_t>(sqlite3_column_int64(s_, column));
    }

private:
    const ReplicaStore& store_;
    sqlite3_stmt* s_ = nullptr;
};

void ReplicaStore::fail(const std::string& what) const {
    throw std::runtime_error(file_ + ": " + what);
}

void ReplicaStore::run(const char* sql) {
    if (sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) != SQLITE_OK)
        fail(sqlite3_errmsg(db_.get()));
}

ReplicaStore::ReplicaStore(std::string file, const std::string& origin)
    : file_(std::move(file)), db_(nullptr, sqlite3_close) {
    sqlite3* db = nullptr;
    const int opened =
        sqlite3_open_v2(file_.c_str(), &db, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
    db_.reset(db);
    if (opened != SQLITE_OK)
        fail(db ? sqlite3_errmsg(db) : "no memory");
    // Locked from the first read on until the process ends, however it ends.
    if (sqlite3_exec(db, "PRAGMA locking_mode=EXCLUSIVE; PRAGMA cache_size=-512; BEGIN IMMEDIATE; COMMIT;",
                     nullptr, nullptr, nullptr) == SQLITE_BUSY)
        throw Held(file_ + ": held by another process");
    const auto pragma = [this](const char* sql) {
        Statement s{*this, sql};
        return s.step() ? s.bytes(0) : std::string{};
    };
    const auto application = pragma("PRAGMA application_id");
    const bool empty = pragma("SELECT count(*) FROM sqlite_master") == "0";
    if (!empty || application != "0") {
        if (application != std::to_string(kApplication))
            fail("not a store of this program");
        const auto version = pragma("PRAGMA user_version");
        if (version != std::to_string(kVersion))
            fail("of version " + version + ", which this program does not know");
        if (const auto found = pragma("PRAGMA quick_check(1)"); found != "ok")
            fail("damaged: " + found);
    }
    run("PRAGMA journal_mode=WAL; PRAGMA synchronous=NORMAL; PRAGMA journal_size_limit=1048576;");
    if (empty) {
        run("BEGIN; CREATE TABLE meta(origin TEXT NOT NULL);"
            "CREATE TABLE entries(key TEXT PRIMARY KEY, entry BLOB NOT NULL) WITHOUT ROWID;"
            "CREATE TABLE origins(name TEXT PRIMARY KEY, number INTEGER NOT NULL, forgotten INTEGER NOT "
            "NULL) "
            "WITHOUT ROWID;"
            "CREATE TABLE log(origin TEXT NOT NULL, key TEXT NOT NULL, number INTEGER NOT NULL, "
            "PRIMARY KEY(origin, key)) WITHOUT ROWID;");
        run(("PRAGMA application_id=" + std::to_string(kApplication) +
             "; PRAGMA user_version=" + std::to_string(kVersion) + ";")
                .c_str());
        Statement{*this, "INSERT INTO meta VALUES(?)"}.text(1, origin).step();
        run("COMMIT;");
    }
    origin_ = pragma("SELECT origin FROM meta");
    if (origin_.empty() || origin_.size() > cluster::kLongestOrigin)
        fail("damaged: no origin");
}

ReplicaStore::~ReplicaStore() = default;

std::map<std::string, cluster::Entry> ReplicaStore::entries() {
    std::map<std::string, cluster::Entry> out;
    Statement s{*this, "SELECT key, entry FROM entries"};
    while (s.step()) {
        auto entry = cluster::wire::decode_entry(s.bytes(1));
        if (!entry)
            fail("damaged: the entry of " + s.bytes(0));
        out.emplace(s.bytes(0), std::move(*entry));
    }
    return out;
}

std::map<std::string, cluster::Replica::Origin> ReplicaStore::origins() {
    std::map<std::string, cluster::Replica::Origin> out;
    Statement origins{*this, "SELECT name, number, forgotten FROM origins"};
    while (origins.step()) {
        auto& origin = out[origins.bytes(0)];
        origin.number = origins.number(1);
        origin.forgotten = origins.number(2);
    }
    Statement log{
        *this, "SELECT log.origin, log.key, log.number, entries.key FROM log LEFT JOIN entries USING(key)"};
    while (log.step()) {
        const auto found = out.find(log.bytes(0));
        if (found == out.end() || log.number(2) > found->second.number || log.bytes(3).empty())
            fail("damaged: the log of " + log.bytes(0));
        found->second.log[log.number(2)] = log.bytes(1);
        found->second.where[log.bytes(1)] = log.number(2);
    }
    return out;
}

void ReplicaStore::write(const cluster::Replica& replica, const cluster::Replica::Changes& changes) {
    if (!changes.all && changes.keys.empty() && changes.origins.empty())
        return;
    const auto& entries = replica.entries();
    const auto& origins = replica.origins();
    Statement put{*this, "INSERT OR REPLACE INTO entries VALUES(?, ?)"};
    Statement drop{*this, "DELETE FROM entries WHERE key = ?"};
    Statement put_origin{*this, "INSERT OR REPLACE INTO origins VALUES(?, ?, ?)"};
    Statement put_log{*this, "INSERT OR REPLACE INTO log VALUES(?, ?, ?)"};
    Statement drop_log{*this, "DELETE FROM log WHERE origin = ? AND key = ?"};
    run("BEGIN IMMEDIATE;");
    try {
        const auto write_key = [&](const std::string& key) {
            if (const auto found = entries.find(key); found != entries.end()) {
                put.text(1, key).blob(2, cluster::wire::encode(found->second)).step();
                put.again();
            } else {
                drop.text(1, key).step();
                drop.again();
            }
        };
        const auto write_log = [&](const std::string& name, const std::string& key) {
            const auto& where = origins.at(name).where;
            if (const auto at = where.find(key); at != where.end()) {
                put_log.text(1, name).text(2, key).whole(3, at->second).step();
                put_log.again();
            } else {
                drop_log.text(1, name).text(2, key).step();
                drop_log.again();
            }
        };
        const auto write_origin = [&](const std::string& name) {
            const auto& origin = origins.at(name);
            put_origin.text(1, name).whole(2, origin.number).whole(3, origin.forgotten).step();
            put_origin.again();
        };
        if (changes.all) {
            run("DELETE FROM entries; DELETE FROM origins; DELETE FROM log;");
            for (const auto& [key, entry] : entries)
                write_key(key);
            for (const auto& [name, origin] : origins) {
                write_origin(name);
                for (const auto& [key, number] : origin.where)
                    write_log(name, key);
            }
        } else {
            for (const auto& key : changes.keys)
                write_key(key);
            for (const auto& name : changes.origins)
                write_origin(name);
            for (const auto& [name, key] : changes.log)
                write_log(name, key);
        }
        run("COMMIT;");
    } catch (...) {
        sqlite3_exec(db_.get(), "ROLLBACK;", nullptr, nullptr, nullptr);
        throw;
    }
}

}  // namespace silverrail::store
