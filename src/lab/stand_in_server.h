// A stand-in server on loopback: a cache that keeps copies and fills misses, a parent cache, or the origin.
// It does what the demo needs, and is no model of a real server.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/asio.h"

namespace silverrail::lab {

// The body of an object's part, the same wherever it is made.
std::string object_body(const std::string& class_name, const std::string& object, const std::string& part);

// Listens from its construction on, at a port that the system chooses. Runs on `io`, which must outlive it.
class StandInServer {
public:
    enum class Role { cache, parent, origin };
    struct Counts {
        std::uint64_t requests = 0;
        std::uint64_t hits = 0;
        std::uint64_t fills = 0;
        std::uint64_t misses = 0;
        std::uint64_t writes = 0;
    };
    // The address of another server by its id; empty: there is none.
    using FindAddress = std::function<std::string(const std::string& id)>;

    // Throws boost::system::system_error if it can't listen.
    StandInServer(net::asio::io_context& io, std::string id, Role role, FindAddress find_address);
    // Closes its listener and all connections, as the end of a process does.
    ~StandInServer();
    StandInServer(const StandInServer&) = delete;
    StandInServer& operator=(const StandInServer&) = delete;

    // ADDRESS:PORT
    std::string address() const;
    const std::string& id() const {
        return id_;
    }
    const Counts& counts() const {
        return counts_;
    }
    // The origin's: how often each write was executed, by the client's id.
    const std::map<std::string, int>& write_executions() const {
        return write_executions_;
    }

private:
    struct Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;
    using Response = net::http::response<net::http::string_body>;

    void accept();
    void read(const ConnectionPointer& connection);
    void answer(const ConnectionPointer& connection);
    void answer_as_origin(const ConnectionPointer& connection);
    bool answer_from_copy(const ConnectionPointer& connection);
    void fetch(const ConnectionPointer& connection, const std::string& source);
    void send_to_source(const ConnectionPointer& connection, const std::string& source);
    void on_source_response(const ConnectionPointer& connection);
    void finish_fetch(const ConnectionPointer& connection);
    void keep_copy(const Connection& connection, std::int64_t made_ms);
    void answer_source_failure(const ConnectionPointer& connection);
    void write(const ConnectionPointer& connection, Response response);

    net::tcp::acceptor acceptor_;
    std::string id_;
    Role role_;
    FindAddress find_address_;
    Counts counts_;
    std::map<std::string, std::int64_t> copies_;  // by path: when the origin made it, Unix ms
    std::map<std::string, int> write_executions_;
    std::set<Connection*> connections_;
    // Expires with this object: handlers that are still pending then do nothing.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace silverrail::lab
