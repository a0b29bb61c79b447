#include "lab/soak/servers.h"

#include "lab/stand_in_support.h"

namespace silverrail::lab::soak {

namespace {

constexpr const char* kPathPrefix = "/obj/";

using Response = http::response<http::string_body>;

Response not_begun(http::status status) {
    Response response{status, kHttpVersion};
    response.set("Not-Begun", "1");
    return response;
}

Response success(const std::string& path, std::int64_t made_ms, const char* cache_status) {
    Response response{http::status::ok, kHttpVersion};
    response.body() = body_of(path, made_ms);
    response.set("Tag", "t" + std::to_string(made_ms));
    response.set("Made-At", std::to_string(made_ms));
    response.set("Detail", cache_status);
    return response;
}

// Ways to spoil an answer to a read; a write has the first two alone.
enum class Spoiled { unreadable, broken_off, second_answer, interim_answer };

std::string spoiled_answer(Spoiled how, const std::string& path) {
    const std::string body = body_of(path, unix_time_ms());
    const std::string head =
        "HTTP/1.1 200 OK\r\nTag: x\r\nMade-At: " + std::to_string(unix_time_ms()) + "\r\nDetail: hit\r\n";
    const std::string whole = head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    switch (how) {
        case Spoiled::unreadable:
            return "\x01\x02 neither this nor that\r\n\r\n";
        case Spoiled::broken_off:
            return head + "Content-Length: 99999\r\n\r\n" + body;
        case Spoiled::second_answer:
            return whole + head + "Content-Length: 3\r\n\r\nold";
        case Spoiled::interim_answer:
            break;
    }
    return "HTTP/1.1 100 Continue\r\n\r\n" + whole;
}

}  // namespace

// One request on one connection.
struct Servers::Exchange {
    tcp::socket& socket;
    beast::flat_buffer buffer{};
    http::request<http::string_body> request{};
    std::string id{};
    std::string path{};  // CLASS/OBJECT/PART
    bool is_write = false;
    Moment first_byte{};  // of the request
};

Servers::Servers(asio::io_context& io, Oracle& oracle, std::size_t servers, std::size_t routers,
                 std::uint64_t seed)
    : io_(io), oracle_(oracle), random_(seed) {
    for (std::size_t server = 0; server < servers; ++server) {
        servers_.push_back(std::make_unique<Server>());
        for (std::size_t router = 0; router < routers; ++router) {
            auto listener = std::make_unique<Listener>(io);
            listener->endpoint = {own_loopback_address(0, 2), 0};
            servers_[server]->listeners.push_back(std::move(listener));
            open(server, router);
        }
    }
}

Servers::~Servers() {
    error_code ignored;
    for (const auto& server : servers_)
        for (const auto& listener : server->listeners)
            listener->acceptor.close(ignored);
}

void Servers::open(std::size_t server, std::size_t router) {
    Listener& listener = *servers_[server]->listeners[router];
    listen(listener.acceptor, listener.endpoint);
    listener.endpoint = listener.acceptor.local_endpoint();
    spawn(io_, accept(server, router, ++listener.opening));
}

const char* Servers::kind(std::size_t server) const {
    if (is_cache_server(server))
        return "cache";
    return is_store(server) ? "store" : "hub";
}

std::string Servers::address(std::size_t server, std::size_t router) const {
    return address_text(servers_.at(server)->listeners.at(router)->endpoint);
}

std::optional<std::size_t> Servers::index_of(const std::string& id) const {
    for (std::size_t server = 0; server < servers_.size(); ++server)
        if (this->id(server) == id)
            return server;
    return std::nullopt;
}

void Servers::set_up(std::size_t server, bool up) {
    Server& own = *servers_.at(server);
    if (own.up == up)
        return;
    own.up = up;
    error_code ignored;
    for (std::size_t router = 0; router < own.listeners.size(); ++router) {
        if (up)
            open(server, router);
        else
            own.listeners[router]->acceptor.close(ignored);
    }
    if (up)
        return;
    own.copies.clear();
    for (tcp::socket* socket : std::set{own.connections})
        reset(*socket);
}

Task<> Servers::accept(std::size_t server, std::size_t router, std::uint64_t opening) {
    Listener& listener = *servers_[server]->listeners[router];
    while (listener.opening == opening && listener.acceptor.is_open()) {
        error_code error;
        tcp::socket socket{io_};
        co_await listener.acceptor.async_accept(socket, into(error));
        if (!error && listener.opening == opening)
            spawn(io_, serve(server, router, std::move(socket)));
    }
}

Task<> Servers::serve(std::size_t server, std::size_t router, tcp::socket socket) {
    Server& own = *servers_[server];
    own.connections.insert(&socket);
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
        on_request(server, router, exchange, first_byte);
        next = co_await answer(server, exchange);
    }
    own.connections.erase(&socket);
    if (next == Next::reset)
        reset(socket);
}

void Servers::on_request(std::size_t server, std::size_t router, Exchange& exchange, Moment first_byte) {
    const auto& request = exchange.request;
    const std::string target{request.target()};
    exchange.id = std::string{request["Call-Id"]};
    exchange.path = target.substr(std::min(std::char_traits<char>::length(kPathPrefix), target.size()));
    exchange.is_write = request.method() == http::verb::put;
    exchange.first_byte = first_byte;
    oracle_.attempt(router, server, exchange.id, first_byte, Millis{header_number(request["Call-Ms"])});
    if (const auto source = index_of(std::string{request["Miss-To"]}))
        oracle_.named_source(router, *source, exchange.id, first_byte);
}

// A keyed request is executed once for as long as its key is remembered; the answer is the same.
void Servers::execute(Exchange& exchange) {
    const std::string key{exchange.request["Call-Once"]};
    if (!key.empty()) {
        const auto [seen, is_new] = executed_keys_.try_emplace(key, exchange.first_byte);
        if (!is_new && exchange.first_byte < seen->second + terms::kRetryWindow)
            return;
    }
    oracle_.ran(exchange.id, exchange.first_byte);
}

Task<Servers::Next> Servers::answer(std::size_t server, Exchange& exchange) {
    const Misbehaviour how = servers_[server]->misbehaviour;
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
    const Misbehaviour how = servers_[server]->misbehaviour;
    int drawn = draw(std::max(0, how.hang + how.reset + how.error + how.spoil - 1));
    const bool executes = exchange.is_write && draw(1) == 1 && !is_cache_server(server);
    if (executes)
        execute(exchange);
    if (drawn < how.hang)
        co_return co_await hang(exchange);
    drawn -= how.hang;
    if (drawn < how.reset)
        co_return Next::reset;
    drawn -= how.reset;
    if (drawn >= how.error)
        co_return co_await spoil(exchange);
    // Not within the co_await: GCC 12 destroys such a temporary twice.
    Response response = not_begun(http::status::service_unavailable);
    if (executes || draw(1) == 1)
        response = Response{http::status::internal_server_error, kHttpVersion};
    co_return co_await write(exchange, std::move(response));
}

// Until the router ends the connection, or sends more on it.
Task<Servers::Next> Servers::hang(Exchange& exchange) {
    error_code error;
    char byte = 0;
    co_await exchange.socket.async_read_some(asio::buffer(&byte, 1), into(error));
    co_return Next::close;
}

Task<Servers::Next> Servers::spoil(Exchange& exchange) {
    const auto how = static_cast<Spoiled>(exchange.is_write ? draw(1) : draw(3));
    const std::string bytes = spoiled_answer(how, exchange.path);
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
    const auto& request = exchange.request;
    const auto source = index_of(std::string{request["Miss-To"]});
    const bool has_source = is_store(server) || (source && *source != server && servers_[*source]->up);
    if (exchange.is_write && has_source)
        co_return co_await carry_out_write(exchange);
    if (exchange.is_write)
        co_return not_begun(http::status::not_found);
    const std::int64_t asked_max_age_ms = header_number(request["No-Older-Than"]);
    const std::int64_t max_age_ms = asked_max_age_ms > 0 ? asked_max_age_ms : terms::kMaxAge.count();
    const auto& copies = servers_[server]->copies;
    const auto copy = copies.find(exchange.path);
    if (copy != copies.end() && unix_time_ms() - copy->second <= max_age_ms) {
        const std::int64_t made_ms = copy->second;  // the copy may go while this waits
        co_await pause(Millis{1 + draw(5)});
        co_return success(exchange.path, made_ms, "hit");
    }
    if (has_source)
        co_return co_await fill(server, exchange);
    Response response{http::status::not_found, kHttpVersion};
    response.set("Detail", source ? "src_refused" : "src_lacks");
    co_return response;
}

Task<Response> Servers::carry_out_write(Exchange& exchange) {
    co_await pause(Millis{5 + draw(20)});
    execute(exchange);
    co_return success(exchange.path, unix_time_ms(), "via_origin");
}

Task<Response> Servers::fill(std::size_t server, Exchange& exchange) {
    const std::int64_t made_ms = unix_time_ms();
    co_await pause(Millis{8 + draw(30)});
    if (header_number(exchange.request["Store-As"]) > 0)
        servers_[server]->copies[exchange.path] = made_ms;
    auto response = success(exchange.path, made_ms, "via_origin");
    response.set("Fill-Wait", "8");
    co_return response;
}

}  // namespace silverrail::lab::soak
