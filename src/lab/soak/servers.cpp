#include "lab/soak/servers.h"

#include <charconv>

namespace silverrail::lab::soak {

namespace {

constexpr const char* kAddress = "127.0.0.2";

std::int64_t number(beast::string_view text) {
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

using Response = http::response<http::string_body>;

Response never_ran(http::status status) {
    Response response{status, 11};
    response.set("Not-Begun", "1");
    return response;
}

Response good(const std::string& path, std::int64_t made_ms, const char* cache_status) {
    Response response{http::status::ok, 11};
    response.body() = body_of(path, made_ms);
    response.set("Tag", "t" + std::to_string(made_ms));
    response.set("Made-At", std::to_string(made_ms));
    response.set("Detail", cache_status);
    return response;
}

}  // namespace

// One request on one connection, and its answer.
struct Servers::Exchange {
    tcp::socket& socket;
    beast::flat_buffer buffer{};
    http::request<http::string_body> request{};
    std::string id{};
    std::string path{};  // CLASS/OBJECT/PART
    bool write = false;
};

Servers::Servers(asio::io_context& io, Oracle& oracle, std::size_t servers, std::size_t routers,
                 std::uint64_t seed)
    : io_(io), oracle_(oracle), random_(seed) {
    for (std::size_t i = 0; i < servers; ++i) {
        servers_.push_back(std::make_unique<Server>());
        for (std::size_t r = 0; r < routers; ++r) {
            auto door = std::make_unique<Door>(io);
            door->at = {asio::ip::make_address(kAddress), 0};
            servers_[i]->doors.push_back(std::move(door));
            open(i, r);
        }
    }
}

void Servers::open(std::size_t server, std::size_t router) {
    Door& door = *servers_[server]->doors[router];
    listen(door.acceptor, door.at);
    door.at = door.acceptor.local_endpoint();
    spawn(io_, accept(server, router, ++door.openings));
}

Servers::~Servers() {
    error_code ignored;
    for (auto& server : servers_)
        for (auto& door : server->doors)
            door->acceptor.close(ignored);
}

const char* Servers::kind(std::size_t server) const {
    if (is_cache_server(server))
        return "cache";
    return server + 1 == servers_.size() ? "store" : "hub";
}

std::string Servers::address(std::size_t server, std::size_t router) const {
    return text_of(servers_.at(server)->doors.at(router)->at);
}

std::optional<std::size_t> Servers::place(const std::string& id) const {
    for (std::size_t i = 0; i < servers_.size(); ++i)
        if (this->id(i) == id)
            return i;
    return std::nullopt;
}

void Servers::set_up(std::size_t server, bool up) {
    Server& s = *servers_.at(server);
    if (s.up == up)
        return;
    s.up = up;
    error_code ignored;
    for (std::size_t router = 0; router < s.doors.size(); ++router) {
        if (up)
            open(server, router);
        else
            s.doors[router]->acceptor.close(ignored);
    }
    if (up)
        return;
    s.copies.clear();
    for (tcp::socket* socket : std::set{s.open})
        reset(*socket);
}

Task<> Servers::accept(std::size_t server, std::size_t router, std::uint64_t opening) {
    Door& door = *servers_[server]->doors[router];
    while (door.openings == opening && door.acceptor.is_open()) {
        error_code error;
        tcp::socket socket{io_};
        co_await door.acceptor.async_accept(socket, into(error));
        if (!error && door.openings == opening)
            spawn(io_, serve(server, router, std::move(socket)));
    }
}

Task<> Servers::serve(std::size_t server, std::size_t router, tcp::socket socket) {
    Server& s = *servers_[server];
    s.open.insert(&socket);
    Exchange exchange{socket};
    Next next = Next::go_on;
    while (next == Next::go_on && socket.is_open()) {
        error_code error;
        co_await socket.async_wait(tcp::socket::wait_read, into(error));
        const Moment first_byte = Clock::now();
        exchange.request = {};
        if (!error)
            co_await http::async_read(socket, exchange.buffer, exchange.request, into(error));
        if (error)
            break;
        const auto& request = exchange.request;
        const auto target = request.target();
        exchange.id = std::string{request["Call-Id"]};
        exchange.path = std::string{target.substr(std::min<std::size_t>(5, target.size()))};  // behind /obj/
        exchange.write = request.method() == http::verb::put;
        oracle_.attempt(router, server, exchange.id, first_byte, Millis{number(request["Call-Ms"])});
        if (const auto source = place(std::string{request["Miss-To"]}))
            oracle_.named_source(router, *source, exchange.id, first_byte);
        next = co_await answer(server, exchange);
    }
    s.open.erase(&socket);
    if (next == Next::reset)
        reset(socket);
}

// A keyed request's repeat is dropped as long as its key is remembered; the answer is the same.
void Servers::run(Exchange& exchange) {
    const std::string key{exchange.request["Call-Once"]};
    if (!key.empty()) {
        const auto [seen, fresh] = keys_.try_emplace(key, Clock::now());
        if (!fresh && Clock::now() < seen->second + terms::kWindow)
            return;
    }
    oracle_.ran(exchange.id);
}

Task<Servers::Next> Servers::answer(std::size_t server, Exchange& exchange) {
    const Misbehaviour how = servers_[server]->how;
    if (how.hang + how.reset + how.error + how.spoil > draw(99))
        co_return co_await misbehave(server, exchange);
    if (how.slow > 0ms)
        co_await pause(how.slow / 2 + how.slow * draw(100) / 100);
    auto response = co_await carry_out(server, exchange);
    const Next next = co_await write(exchange, std::move(response));
    if (next != Next::go_on || how.close_idle <= draw(99))
        co_return next;
    co_await pause(Millis{draw(60)});
    co_return draw(1) ? Next::close : Next::reset;
}

Task<Servers::Next> Servers::misbehave(std::size_t server, Exchange& exchange) {
    const Misbehaviour how = servers_[server]->how;
    int drawn = draw(std::max(0, how.hang + how.reset + how.error + how.spoil - 1));
    const bool runs = exchange.write && draw(1) == 1 && !is_cache_server(server);
    if (runs)
        run(exchange);
    if (drawn < how.hang) {
        error_code error;
        char byte = 0;
        co_await exchange.socket.async_read_some(asio::buffer(&byte, 1), into(error));
        co_return Next::close;
    }
    drawn -= how.hang;
    if (drawn < how.reset)
        co_return Next::reset;
    drawn -= how.reset;
    if (drawn < how.error) {
        // Not within the co_await: GCC 12 destroys such a temporary twice.
        Response response = never_ran(http::status::service_unavailable);
        if (runs || draw(1) == 1)
            response = Response{http::status::internal_server_error, 11};
        co_return co_await write(exchange, std::move(response));
    }
    const std::string body = body_of(exchange.path, unix_ms());
    const std::string length = std::to_string(body.size());
    const std::string head =
        "HTTP/1.1 200 OK\r\nTag: x\r\nMade-At: " + std::to_string(unix_ms()) + "\r\nDetail: hit\r\n";
    std::string bytes;
    switch (exchange.write ? draw(1) : draw(3)) {
        case 0:
            bytes = "\x01\x02 neither this nor that\r\n\r\n";
            break;
        case 1:
            bytes = head + "Content-Length: 99999\r\n\r\n" + body;
            break;  // and then the end
        case 2:
            bytes = head + "Content-Length: " + length + "\r\n\r\n" + body + head +
                    "Content-Length: 3\r\n\r\nold";
            break;
        default:
            bytes = "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: " + length + "\r\n\r\n" + body;
            break;
    }
    error_code error;
    co_await asio::async_write(exchange.socket, asio::buffer(bytes), into(error));
    co_return Next::close;
}

Task<Servers::Next> Servers::write(Exchange& exchange, Response response) {
    response.prepare_payload();
    error_code error;
    co_await http::async_write(exchange.socket, response, into(error));
    co_return error ? Next::close : Next::go_on;
}

Task<Response> Servers::carry_out(std::size_t server, Exchange& exchange) {
    Server& s = *servers_[server];
    const auto& request = exchange.request;
    const bool is_store = server + 1 == servers_.size();
    const auto source = place(std::string{request["Miss-To"]});
    const bool has_source = is_store || (source && *source != server && servers_[*source]->up);
    if (exchange.write) {
        if (!has_source)
            co_return never_ran(http::status::not_found);
        co_await pause(Millis{5 + draw(20)});
        run(exchange);
        co_return good(exchange.path, unix_ms(), "via_origin");
    }
    const std::int64_t told = number(request["No-Older-Than"]);
    const std::int64_t oldest = told > 0 ? told : terms::kMaxAge.count();
    const auto copy = s.copies.find(exchange.path);
    if (copy != s.copies.end() && unix_ms() - copy->second <= oldest) {
        const std::int64_t kept_made = copy->second;  // its process may end meanwhile
        co_await pause(Millis{1 + draw(5)});
        co_return good(exchange.path, kept_made, "hit");
    }
    if (!has_source) {
        Response response{http::status::not_found, 11};
        response.set("Detail", source ? "src_refused" : "src_lacks");
        co_return response;
    }
    const std::int64_t made = unix_ms();
    co_await pause(Millis{8 + draw(30)});
    if (number(request["Store-As"]) > 0)
        s.copies[exchange.path] = made;
    auto response = good(exchange.path, made, "via_origin");
    response.set("Fill-Wait", "8");
    co_return response;
}

}  // namespace silverrail::lab::soak
