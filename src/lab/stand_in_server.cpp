#include "lab/stand_in_server.h"

#include <chrono>
#include <optional>
#include <vector>

#include "config/endpoint.h"
#include "lab/stand_in_support.h"

namespace silverrail::lab {

namespace asio = net::asio;
namespace http = net::http;
using net::error_code;
using net::tcp;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxCopies = 100'000;
constexpr auto kFetchTime = 5ms;  // so that a fill takes some time at all
constexpr const char* kOriginId = "store";

// A path is /obj/CLASS/OBJECT/PART.
struct ObjectPath {
    std::string class_name;
    std::string object;
    std::string part;
};

std::optional<ObjectPath> parse_path(const std::string& path) {
    std::vector<std::string> parts;
    for (std::size_t begin = 1; begin <= path.size();) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        parts.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    if (parts.size() != 4 || parts[0] != "obj")
        return std::nullopt;
    return ObjectPath{parts[1], parts[2], parts[3]};
}

http::response<http::string_body> success(const ObjectPath& path, const char* cache_status,
                                          std::int64_t made_ms) {
    http::response<http::string_body> response{http::status::ok, kHttpVersion};
    response.body() = object_body(path.class_name, path.object, path.part);
    response.set("Tag", "t" + path.object.substr(0, 8));
    response.set("Made-At", std::to_string(made_ms));
    response.set("Detail", cache_status);
    response.set("Backend-Load", "inflight:1;util:0.1;x0:0.7;x1:0.2");
    return response;
}

}  // namespace

std::string object_body(const std::string& class_name, const std::string& object, const std::string& part) {
    const std::string line = class_name + '/' + object + '/' + part + '\n';
    const std::size_t size = 200 + std::hash<std::string>{}(line) % 4000;
    std::string body;
    while (body.size() < size)
        body += line;
    return body;
}

// One connection, with one request at a time and the fetch for it.
struct StandInServer::Connection {
    explicit Connection(tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor()), source(socket.get_executor()) {}

    bool is_write() const {
        return request.method() == http::verb::put;
    }

    tcp::socket socket;
    asio::steady_timer timer;
    net::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    Response response;
    std::string path;
    ObjectPath object;
    tcp::socket source;
    net::beast::flat_buffer source_buffer;
    http::request<http::empty_body> source_request;
    Response source_response;
};

StandInServer::StandInServer(asio::io_context& io, std::string id, Role role, FindAddress find_address)
    : acceptor_(io, loopback_endpoint()),
      id_(std::move(id)),
      role_(role),
      find_address_(std::move(find_address)) {
    accept();
}

StandInServer::~StandInServer() {
    error_code ignored;
    acceptor_.close(ignored);
    for (Connection* connection : connections_)
        connection->socket.close(ignored);
}

std::string StandInServer::address() const {
    return address_text(acceptor_.local_endpoint());
}

void StandInServer::accept() {
    acceptor_.async_accept(
        [this, alive = std::weak_ptr{alive_}](const error_code& error, tcp::socket socket) {
            if (error || !alive.lock())
                return;
            const auto forget = [this, alive](Connection* connection) {
                if (alive.lock())
                    connections_.erase(connection);
                delete connection;
            };
            const ConnectionPointer connection{new Connection{std::move(socket)}, forget};
            connections_.insert(connection.get());
            read(connection);
            accept();
        });
}

void StandInServer::read(const ConnectionPointer& connection) {
    connection->request = {};
    http::async_read(connection->socket, connection->buffer, connection->request,
                     [this, connection, alive = std::weak_ptr{alive_}](const error_code& error, std::size_t) {
                         if (!error && alive.lock())
                             answer(connection);
                     });
}

void StandInServer::answer(const ConnectionPointer& connection) {
    ++counts_.requests;
    connection->path = std::string{connection->request.target()};
    const auto path = parse_path(connection->path);
    if (!path)
        return write(connection, Response{http::status::bad_request, kHttpVersion});
    connection->object = *path;
    if (role_ == Role::origin)
        return answer_as_origin(connection);
    if (!connection->is_write() && answer_from_copy(connection))
        return;
    const std::string source_id =
        connection->is_write() ? kOriginId : std::string{connection->request["Miss-To"]};
    const std::string source = find_address_(source_id);
    if (!source.empty())
        return fetch(connection, source);
    ++counts_.misses;
    write(connection, Response{http::status::not_found, kHttpVersion});
}

void StandInServer::answer_as_origin(const ConnectionPointer& connection) {
    if (connection->is_write()) {
        ++write_executions_[std::string{connection->request["Call-Id"]}];
        ++counts_.writes;
    }
    write(connection, success(connection->object, "via_origin", unix_time_ms()));
}

// False if there is no copy, or none as young as the request wants it.
bool StandInServer::answer_from_copy(const ConnectionPointer& connection) {
    const auto copy = copies_.find(connection->path);
    if (copy == copies_.end())
        return false;
    const std::int64_t made_ms = copy->second;
    const std::int64_t max_age_ms = header_number(connection->request["No-Older-Than"]);
    if (max_age_ms != 0 && unix_time_ms() - made_ms > max_age_ms)
        return false;
    ++counts_.hits;
    write(connection, success(connection->object, "hit", made_ms));
    return true;
}

void StandInServer::fetch(const ConnectionPointer& connection, const std::string& source) {
    const auto endpoint = config::parse_endpoint(source);
    if (!endpoint)
        return answer_source_failure(connection);
    error_code ignored;
    connection->source.close(ignored);
    connection->source.async_connect(
        {asio::ip::make_address(endpoint->host), endpoint->port},
        [this, connection, source, alive = std::weak_ptr{alive_}](const error_code& error) {
            if (!alive.lock())
                return;
            if (error)
                return answer_source_failure(connection);
            send_to_source(connection, source);
        });
}

void StandInServer::send_to_source(const ConnectionPointer& connection, const std::string& source) {
    auto& request = connection->source_request;
    request = {connection->request.method(), connection->path, kHttpVersion};
    request.set(http::field::host, source);
    request.set("Call-Id", connection->request["Call-Id"]);
    // A parent fills from the origin, which fills from nowhere.
    if (role_ == Role::cache)
        request.set("Miss-To", kOriginId);
    request.prepare_payload();
    connection->source_response = {};
    connection->source_buffer.clear();
    http::async_write(connection->source, request, [connection](const error_code&, std::size_t) {});
    http::async_read(connection->source, connection->source_buffer, connection->source_response,
                     [this, connection, alive = std::weak_ptr{alive_}](const error_code& error, std::size_t) {
                         if (!alive.lock())
                             return;
                         if (error || connection->source_response.result() != http::status::ok)
                             return answer_source_failure(connection);
                         on_source_response(connection);
                     });
}

void StandInServer::on_source_response(const ConnectionPointer& connection) {
    error_code ignored;
    connection->source.close(ignored);
    connection->timer.expires_after(kFetchTime);
    connection->timer.async_wait([this, connection, alive = std::weak_ptr{alive_}](const error_code& error) {
        if (!error && alive.lock())
            finish_fetch(connection);
    });
}

void StandInServer::finish_fetch(const ConnectionPointer& connection) {
    const std::int64_t made_ms = header_number(connection->source_response["Made-At"]);
    if (connection->is_write()) {
        ++counts_.writes;
    } else {
        ++counts_.fills;
        keep_copy(*connection, made_ms);
    }
    const char* cache_status = connection->is_write() ? "via_origin" : "filled";
    Response response = success(connection->object, cache_status, made_ms);
    response.set("Fill-Wait", std::to_string(kFetchTime.count()));
    write(connection, std::move(response));
}

void StandInServer::keep_copy(const Connection& connection, std::int64_t made_ms) {
    if (header_number(connection.request["Store-As"]) <= 0)
        return;
    if (copies_.size() >= kMaxCopies)
        copies_.clear();
    copies_[connection.path] = made_ms;
}

void StandInServer::answer_source_failure(const ConnectionPointer& connection) {
    Response response{http::status::not_found, kHttpVersion};
    response.set("Detail", "src_refused");
    write(connection, std::move(response));
}

void StandInServer::write(const ConnectionPointer& connection, Response response) {
    connection->response = std::move(response);
    connection->response.prepare_payload();
    http::async_write(
        connection->socket, connection->response,
        [this, connection, alive = std::weak_ptr{alive_}](const error_code& error, std::size_t) {
            if (!error && alive.lock())
                read(connection);
        });
}

}  // namespace silverrail::lab
