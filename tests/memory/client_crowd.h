// Many clients at once that send requests in forms which cost a router memory. Each connection writes its
// bytes as fast as the router reads them, discards what it receives, and stays open until the crowd ends.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "../silverrail/test_fixture.h"

namespace silverrail::test {

// The bytes that one client of a crowd writes.
std::string incomplete_write(std::size_t fields);
std::string complete_write(std::size_t fields);
std::string read_with_fields(std::size_t fields);
std::string incomplete_header(std::size_t fields);
std::string pipelined_reads(std::size_t count);
std::string chunked_write_of_single_bytes();

class ClientCrowd {
public:
    // `paced`: each client waits this long between two pieces of at most 4 KB; 0: it does not wait.
    ClientCrowd(net::asio::io_context& io, tcp::endpoint to, std::chrono::milliseconds paced = {})
        : io_(io), to_(to), paced_(paced) {}
    // Adds a client that writes `bytes` and, with `reads` false, never reads its response.
    void add(std::string bytes, bool reads = true);
    // Clients whose connection the router has closed connect and write again from now on.
    void reconnect(bool again) {
        reconnect_ = again;
    }
    // Closes all connections.
    void leave();
    std::size_t written() const {
        return written_;
    }

private:
    struct One;
    void connect(const std::shared_ptr<One>& one);
    void write(const std::shared_ptr<One>& one);
    void read(const std::shared_ptr<One>& one);
    void ended(const std::shared_ptr<One>& one);

    net::asio::io_context& io_;
    tcp::endpoint to_;
    std::chrono::milliseconds paced_;
    std::vector<std::shared_ptr<One>> clients_;
    std::size_t written_ = 0;  // clients that have written all of their bytes
    bool reconnect_ = false;
    bool left_ = false;
};

}  // namespace silverrail::test
