#include "lab/soak/clients.h"

#include <sys/socket.h>

#include "config/hex.h"

namespace silverrail::lab::soak {

namespace {

constexpr Millis kCrossing{50};         // a request and a close may cross so close to each other
constexpr Millis kTakenLateAfter{700};  // SIGTERM
constexpr Millis kGivenUp{1'500};       // past its time: there will be no answer
constexpr int kObjects = 400;
constexpr std::uint64_t kFirstRequestId = 0x50a4'0000'0000'0000;

}  // namespace

struct Clients::Connection {
    Connection(asio::io_context& io, std::size_t of) : socket(io), router(of) {}
    tcp::socket socket;
    beast::flat_buffer buffer{};
    std::size_t router;
    std::uint64_t generation = 0;  // of the process that it was made to
    bool used = false;             // it has had an answer
    bool again = false;            // the request on it crossed a close and is sent once more
};

Clients::Clients(asio::io_context& io, Oracle& oracle, std::size_t routers, std::size_t each,
                 std::uint64_t seed)
    : io_(io), oracle_(oracle), random_(seed), availability_(routers), each_(each) {}

void Clients::start() {
    for (std::size_t r = 0; r < availability_.size(); ++r)
        for (std::size_t i = 0; i < each_; ++i) {
            ++running_;
            spawn(io_, client(r, i));
        }
}

Task<> Clients::client(std::size_t router, std::size_t number) {
    // Some do not hear of a planned end, and rest on their connection until the router closes it.
    const bool rests = number % 5 == 4;
    auto connection = std::make_unique<Connection>(io_, router);
    co_await pause(Millis{draw(300)});
    while (!stopping_) {
        co_await pause(chance(habits.rest) ? Millis{draw(2'500)}
                                           : Millis{draw(2 * static_cast<int>(habits.think.count()))});
        const RouterAvailability& availability = availability_[router];
        const bool open = connection->socket.is_open() && connection->generation == availability.generation;
        if (!open || chance(habits.new_connection)) {
            connection = std::make_unique<Connection>(io_, router);
            if (!availability.connections)
                continue;
            if (chance(habits.unreadable))
                co_await unreadable(router);
            if (!co_await connect(*connection))
                continue;
        } else if (!availability.requests && !rests) {
            continue;
        }
        co_await exchange(*connection);
    }
    --running_;
}

Task<bool> Clients::connect(Connection& connection) {
    const RouterAvailability& availability = availability_[connection.router];
    connection.generation = availability.generation;
    const CloseAt limit{connection.socket, Clock::now() + 3s};
    error_code error;
    co_await connection.socket.async_connect(availability.at, into(error));
    if (error)
        connection.socket.close(error);
    co_return connection.socket.is_open();
}

Clients::Sent Clients::draw_request(std::size_t router, std::string& bytes) {
    const int kind = draw(9);
    Sent sent;
    sent.id = config::hex_text(kFirstRequestId + ++requests_);
    Request& request = sent.request;
    request.router = router;
    request.effect = kind == 0 ? Idempotency::none : kind == 1 ? Idempotency::keyed : Idempotency::idempotent;
    const int object = draw(kObjects - 1) * draw(99) / 99;
    request.group = static_cast<std::size_t>(object) % kGroups;
    const std::string path =
        std::string{"/"}.append(config::hex_text(static_cast<std::uint64_t>(object) + 1)).append("/");
    const char* name = request.effect == Idempotency::none    ? "lodge"
                       : request.effect == Idempotency::keyed ? "order"
                                                              : "pages";
    request.path = std::string{name} + path + "0";
    request.wait = std::min(habits.longest_wait, Millis{chance(10) ? 60 + draw(200) : 500 + draw(1'500)});
    const std::string body = request.effect == Idempotency::idempotent
                                 ? std::string{}
                                 : std::string(static_cast<std::size_t>(20 + draw(20'000)), 'w');
    bytes += (body.empty() ? "GET /ops/" : "PUT /ops/") + std::string{name} + path +
             "piece-0 HTTP/1.1\r\nHost: soak\r\n" + "Trace-Id: " + sent.id +
             "\r\nMax-Wait-Ms: " + std::to_string(request.wait.count()) +
             "\r\nX-Lot: " + std::to_string(request.group) +
             "\r\nReserve-Kb: " + std::to_string(terms::kRequestKb) + "\r\n";
    if (request.effect == Idempotency::keyed)
        bytes += "Replay-Key: k" + sent.id + "\r\n";
    if (!body.empty())
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    bytes += "\r\n" + body;
    return sent;
}

Task<> Clients::send(Connection& connection, const std::string& bytes, bool in_pieces) {
    error_code error;
    const std::size_t piece = in_pieces ? bytes.size() / 3 + 1 : bytes.size();
    for (std::size_t at = 0; at < bytes.size() && !error; at += piece) {
        if (at > 0)
            co_await pause(Millis{10 + draw(90)});
        co_await asio::async_write(connection.socket,
                                   asio::buffer(bytes.data() + at, std::min(piece, bytes.size() - at)),
                                   into(error));
    }
    if (error)
        connection.socket.close(error);
}

Task<> Clients::exchange(Connection& connection) {
    const int together = chance(habits.pipeline) ? 2 + draw(3) : 1;
    std::string bytes;
    std::vector<Sent> all;
    all.reserve(static_cast<std::size_t>(together));
    for (int i = 0; i < together; ++i)
        all.push_back(draw_request(connection.router, bytes));
    // Known before the last byte is out: servers may see it before this runs on.
    for (const Sent& sent : all)
        oracle_.written(sent.id, sent.request);
    co_await send(connection, bytes, chance(habits.in_pieces));
    if (!connection.socket.is_open()) {
        for (const Sent& sent : all)
            oracle_.not_owed(sent.id);  // it never had the last byte, as far as one can tell
        co_return;
    }
    for (const Sent& sent : all)
        oracle_.find(sent.id)->written = Clock::now();
    if (chance(habits.leave)) {
        co_await pause(Millis{draw(150)});
        for (const Sent& sent : all)
            oracle_.left(sent.id);
        if (draw(1))
            reset(connection.socket);
        error_code ignored;
        connection.socket.close(ignored);
        co_return;
    }
    for (std::size_t i = 0; i < all.size(); ++i) {
        // A connection carries one request at a time: one behind another is not answered before that.
        if (i > 0)
            oracle_.find(all[i].id)->answer_from = Clock::now();
        if (co_await receive(connection, all[i]))
            continue;
        // Those behind it are not owed more than it was.
        for (std::size_t k = i + 1; k < all.size(); ++k)
            oracle_.not_owed(all[k].id);
        co_return;
    }
    char byte = 0;
    if (together == 1 && (connection.buffer.size() > 0 ||
                          (connection.socket.is_open() &&
                           ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0)))
        oracle_.violation(Rule::right_bytes, all[0].id + ": bytes behind the answer");
}

// True: answered, and the connection goes on.
Task<bool> Clients::receive(Connection& connection, const Sent& sent) {
    const CloseAt limit{connection.socket, oracle_.find(sent.id)->answer_due() + kGivenUp};
    error_code error;
    http::response_parser<http::string_body> parser;
    parser.body_limit(1 << 20);
    co_await http::async_read(connection.socket, connection.buffer, parser, into(error));
    if (error) {
        lost(connection, sent, !limit.closed());
        error_code ignored;
        connection.socket.close(ignored);
        co_return false;
    }
    const auto& answer = parser.get();
    oracle_.answered(sent.id, static_cast<int>(answer.result_int()), answer.body());
    connection.used = true;
    if (answer.keep_alive())
        co_return true;
    error_code ignored;
    connection.socket.close(ignored);
    co_return false;
}

// `closed`: by the router; else no answer came.
void Clients::lost(Connection& connection, const Sent& sent, bool closed) {
    const RouterAvailability& availability = availability_[connection.router];
    // What SIGKILL finds unanswered is lost if it came after the router should have closed the connection.
    const bool taken_late = connection.generation == availability.generation && availability.terminated_at &&
                            oracle_.find(sent.id)->written > *availability.terminated_at + kTakenLateAfter;
    const bool killed = connection.generation <= availability.killed && !taken_late;
    const bool crossed = closed && connection.used &&
                         Clock::now() < oracle_.find(sent.id)->written + kCrossing + oracle_.slack();
    if (killed || crossed || (closed && availability.breaks))
        return oracle_.not_owed(sent.id);
    oracle_.lost(
        sent.id,
        (closed ? "its connection was closed after " : "no answer after ") +
            std::to_string(
                std::chrono::duration_cast<Millis>(Clock::now() - oracle_.find(sent.id)->written).count()) +
            " ms of " + std::to_string(sent.request.wait.count()) + ", router " +
            std::to_string(connection.router) + (connection.used ? ", used before" : ", new"));
}

// A client that nobody can read: whatever it is told is good.
Task<> Clients::unreadable(std::size_t router) {
    Connection connection{io_, router};
    if (!co_await connect(connection))
        co_return;
    static constexpr std::array<const char*, 4> kBytes{
        "GET /ops/pages/xyz HTTP/1.1\r\nTrace-Id: 1\r\n\r\n", "\x16\x03\x01 neither\r\n\r\n",
        "PUT /ops/lodge/00000000000000aa/piece-0 HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
        "GET /ops/pages/00000000000000aa/piece-0 HTTP/1.1\r\nTrace-Id: 50a"};
    co_await send(connection, kBytes[static_cast<std::size_t>(draw(3))], false);
    co_await pause(Millis{draw(400)});
}

}  // namespace silverrail::lab::soak
