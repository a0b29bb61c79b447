// The messages between routers, held against literals: each kind with all its fields in their order, the keys
// and values of the shared state, and the framing of streams. A stand-in peer speaks with the real program;
// it builds and reads messages as plain MessagePack arrays, without the program's own code.
#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include "support.h"

using namespace compatibility;

namespace {

constexpr unsigned kVersion = 1;
// Kinds of messages on membership.
enum MembershipKind : unsigned { kPing, kAck, kProbeRequest, kNack, kPush, kPull, kGossip };
// Kinds of messages on the shared state.
enum StateKind : unsigned { kSummary = 32, kNumbers, kGive, kTake, kNews, kWant, kPage };
// Which of a router's shared states a message is about.
constexpr unsigned kOperatorsState = 0;
constexpr unsigned kReportsState = 1;
// A member's states.
enum MemberState : unsigned { kAlive, kSuspect, kDead, kLeft };

constexpr unsigned kPeerStart = 123456;
constexpr std::size_t kMembershipDigestBytes = 520;
constexpr std::size_t kSummaryBytes = 512;

// ---- MessagePack and JSON: binary values are written as {"bytes": N}

Json::Value to_json(const msgpack::object& object) {
    switch (object.type) {
        case msgpack::type::NIL:
            return {};
        case msgpack::type::BOOLEAN:
            return object.via.boolean;
        case msgpack::type::POSITIVE_INTEGER:
            return Json::UInt64{object.via.u64};
        case msgpack::type::STR:
            return std::string{object.via.str.ptr, object.via.str.size};
        case msgpack::type::BIN: {
            Json::Value binary;
            binary["bytes"] = object.via.bin.size;
            return binary;
        }
        case msgpack::type::ARRAY: {
            Json::Value array{Json::arrayValue};
            for (std::uint32_t i = 0; i < object.via.array.size; ++i)
                array.append(to_json(object.via.array.ptr[i]));
            return array;
        }
        default:
            check_that(false, "a type that messages do not hold");
            return {};
    }
}

void pack(msgpack::packer<msgpack::sbuffer>& packer, const Json::Value& json) {
    if (json.isNull()) {
        packer.pack_nil();
    } else if (json.isBool()) {
        packer.pack(json.asBool());
    } else if (json.isString()) {
        packer.pack(json.asString());
    } else if (json.isIntegral()) {
        packer.pack(json.asUInt64());
    } else if (json.isObject()) {
        const std::string zeros(json["bytes"].asUInt(), '\0');
        packer.pack_bin(static_cast<std::uint32_t>(zeros.size()));
        packer.pack_bin_body(zeros.data(), static_cast<std::uint32_t>(zeros.size()));
    } else {
        packer.pack_array(json.size());
        for (const auto& item : json)
            pack(packer, item);
    }
}

std::string encode(const Json::Value& message) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer{buffer};
    pack(packer, message);
    return {buffer.data(), buffer.size()};
}

Json::Value decode(const std::string& bytes) {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    return to_json(handle.get());
}

Json::Value array(std::initializer_list<Json::Value> items) {
    Json::Value json{Json::arrayValue};
    for (const auto& item : items)
        json.append(item);
    return json;
}
Json::Value none() {
    return Json::Value{Json::arrayValue};
}
Json::Value bytes(std::size_t count) {
    Json::Value binary;
    binary["bytes"] = Json::UInt64{count};
    return binary;
}

void expect_equal(const Json::Value& found, const Json::Value& expected) {
    check_that(found == expected, to_text(found) + "\nshould be\n" + to_text(expected));
}

// A frame of a stream: four bytes of length, the highest first, and the message.
std::string frame(const std::string& message) {
    std::string header;
    for (const int shift : {24, 16, 8, 0})
        header += static_cast<char>(message.size() >> shift);
    return header + message;
}

// Takes one frame's message off the stream; null: it ended.
Json::Value receive_frame(int socket, std::string& received) {
    const auto length = [&received] {
        std::size_t value = 0;
        for (int i = 0; i < 4; ++i)
            value = value << 8 | static_cast<unsigned char>(received[static_cast<std::size_t>(i)]);
        return value;
    };
    while (received.size() < 4 || received.size() < 4 + length())
        if (!receive_more(socket, received))
            return {};
    const Json::Value message = decode(received.substr(4, length()));
    received.erase(0, 4 + length());
    return message;
}

// ---- the stand-in peer

// Takes datagrams and streams at one address, keeps them, and answers probes for any member's name, so that
// the members that a test makes up stay alive.
class StandInPeer {
public:
    StandInPeer() : socket_(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
        const sockaddr_in address = loopback(streams_.port());
        CHECK(::bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        receiver_ = std::thread{[this] {
            receive_datagrams();
        }};
    }
    ~StandInPeer() {
        over_ = true;
        receiver_.join();
        ::close(socket_);
    }
    std::string address() const {
        return address_text(streams_.port());
    }
    void send(unsigned short port, const Json::Value& message) const {
        const std::string datagram = encode(message);
        const sockaddr_in to = loopback(port);
        CHECK(::sendto(socket_, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                       sizeof to) == static_cast<ssize_t>(datagram.size()));
    }
    // The first message that came, or comes in time, and that the test is after.
    Json::Value expect(const std::string& what, const std::function<bool(const Json::Value&)>& wanted) {
        Json::Value found;
        const bool came = wait_until([&] {
            const std::lock_guard lock{mutex_};
            for (const auto& message : messages_)
                if (wanted(message)) {
                    found = message;
                    return true;
                }
            return false;
        });
        check_that(came, what + " comes");
        return found;
    }
    Json::Value expect_kind(unsigned kind) {
        return expect("kind " + std::to_string(kind), [kind](const Json::Value& m) { return m[1] == kind; });
    }
    // A change of the shared state that sets this key.
    Json::Value expect_news(unsigned state, const std::string& key) {
        return expect("news of " + key, [&](const Json::Value& m) {
            return m[1] == kNews && m[2] == state && m[8][0][2] == key;
        });
    }

private:
    void keep(const Json::Value& message) {
        const std::lock_guard lock{mutex_};
        messages_.push_back(message);
    }
    void receive_datagrams() {
        while (!over_) {
            pollfd waits{socket_, POLLIN, 0};
            constexpr int kMilliseconds = 50;
            if (::poll(&waits, 1, kMilliseconds) != 1)
                continue;
            char datagram[2000];
            const auto size = ::recv(socket_, datagram, sizeof datagram, 0);
            if (size <= 0)
                continue;
            const Json::Value message = decode({datagram, static_cast<std::size_t>(size)});
            keep(message);
            if (message[1] == kPing)
                answer_probe(message);
        }
    }
    void answer_probe(const Json::Value& ping) const {
        const std::string to = ping[4].asString();
        const auto port = static_cast<unsigned short>(std::atoi(to.substr(to.rfind(':') + 1).c_str()));
        send(port,
             array({kVersion, kAck, ping[6], kPeerStart, address(), ping[5], "", "", none(), Json::Value{}}));
    }
    void serve_stream(int socket) {
        std::string received;
        for (Json::Value message = receive_frame(socket, received); !message.isNull();
             message = receive_frame(socket, received))
            keep(message);
    }
    std::atomic<bool> over_ = false;
    mutable std::mutex mutex_;
    std::vector<Json::Value> messages_;
    int socket_;
    std::thread receiver_;
    Listener streams_{[this](int socket) {
        serve_stream(socket);
    }};
};

// One message over a stream, and its answer.
Json::Value stream_call(unsigned short port, const Json::Value& message) {
    const int socket = connect_to(port);
    CHECK(socket >= 0);
    CHECK(send_all(socket, frame(encode(message))));
    std::string received;
    const Json::Value answer = receive_frame(socket, received);
    ::close(socket);
    check_that(!answer.isNull(), "an answer to " + to_text(message));
    return answer;
}

// ---- the test

class Test {
public:
    void run() {
        start_router();
        push_to_a_seed();
        ping_and_ack();
        members();
        pull_in_answer_to_a_push();
        nack_in_answer_to_a_probe_request();
        operators_news();
        news_from_a_peer();
        exchange_of_the_shared_state();
        reports_of_servers();
        failover();
        refused_messages();
        last_words();
    }

private:
    std::string address() const {
        return address_text(peer_port_);
    }
    // A router's name and when its store was made, a moment after its start.
    const std::string& origin() const {
        return origin_;
    }
    void learn_origin(const std::string& origin) {
        CHECK(origin.starts_with("syd-a-07@"));
        const auto made = std::strtoull(origin.c_str() + origin.find('@') + 1, nullptr, 10);
        CHECK(made >= start_ && made < start_ + 10'000);
        origin_ = origin;
    }
    // A member's record: name, address, zone, region, start, incarnation, state, who said so.
    Json::Value record(const std::string& name, MemberState state = kAlive, unsigned incarnation = 3) const {
        return array({name, peer_.address(), "syd-b", "au-east", kPeerStart, incarnation,
                      static_cast<unsigned>(state), ""});
    }
    Json::Value own_record() const {
        return array({"syd-a-07", address(), "syd-a", "au-east", Json::UInt64{start_}, 0u,
                      static_cast<unsigned>(kAlive), ""});
    }
    Json::Value membership_message(MembershipKind kind, const Json::Value& target,
                                   const Json::Value& target_address, const Json::Value& records,
                                   const Json::Value& digest = {}) const {
        return array({kVersion, static_cast<unsigned>(kind), "syd-b-01", kPeerStart, peer_.address(), 7u,
                      target, target_address, records, digest});
    }
    // Of the shared state: an origin's numbered change of a key, with the key's marks.
    static Json::Value update(const std::string& of, unsigned number, const std::string& key,
                              const std::string& value) {
        const Json::Value stamp = Json::UInt64{static_cast<std::uint64_t>(unix_ms()) << 16};
        return array({of, number, key, stamp, array({array({of, number, 0u, stamp, value})})});
    }
    Json::Value state_message(StateKind kind, unsigned state, const Json::Value& summary,
                              const Json::Value& numbers, const Json::Value& updates,
                              const Json::Value& after = none()) const {
        const Json::Value mask = Json::UInt64{~std::uint64_t{0}};
        return array({kVersion, static_cast<unsigned>(kind), state, "syd-b-01", peer_.address(), summary,
                      kind == kNumbers || kind == kGive ? mask : Json::Value{0u}, numbers, updates, after, "",
                      false, true});
    }
    static std::int64_t unix_ms() {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }
    void start_router() {
        router_.settings = parse_json(R"({"peers": {"name": "syd-a-07", "zone": "syd-a", "region": "au-east",
            "probe_ms": 1000, "probe_timeout_ms": 300, "push_pull_ms": 500, "replica_ms": 300,
            "failover": {"zones": [{"name": "syd-a", "region": "au-east", "routers": 1},
                                   {"name": "syd-b", "region": "au-east", "routers": 2}],
                         "hold_ms": 500, "confirm_ms": 0}}})");
        router_.settings["peers"]["bind"] = address();
        router_.settings["peers"]["seeds"].append(peer_.address());
        Json::Value config = platform_config(
            router_.port, {listed_server("s-a", server_.address(), "small-box", "syd-a"),
                           listed_server("s-leaving", server_.address(), "small-box", "syd-a", "leaving"),
                           listed_server("s-1", server_.address(), "small-box", "syd-b"),
                           listed_server("s-2", server_.address(), "small-box", "syd-b"),
                           listed_server("s-3", server_.address(), "small-box", "syd-b"),
                           listed_server("s-4", server_.address(), "small-box", "syd-b")});
        value_at(config, "settings.zone") = "syd-a";
        value_at(config, "settings.dcs") = parse_json(R"(["north", "syd-a"])");
        router_.start(config);
    }
    void push_to_a_seed() {
        const Json::Value push = peer_.expect_kind(kPush);
        start_ = push[3].asUInt64();
        CHECK(start_ > 1'700'000'000'000);
        expect_equal(push, array({kVersion, static_cast<unsigned>(kPush), "syd-a-07", Json::UInt64{start_},
                                  address(), push[5], "", "", none(), bytes(kMembershipDigestBytes)}));
    }
    void ping_and_ack() {
        peer_.send(peer_port_, membership_message(kPing, "syd-a-07", "",
                                                  array({record("syd-b-01"), record("syd-b-02")})));
        const Json::Value ack = peer_.expect_kind(kAck);
        expect_equal(ack, array({kVersion, static_cast<unsigned>(kAck), "syd-a-07", Json::UInt64{start_},
                                 address(), 7u, "", "", ack[8], Json::Value{}}));
        // What is new is told along with it, its own record among it.
        bool told = false;
        for (const auto& told_record : ack[8])
            told = told || told_record == own_record();
        check_that(told, to_text(ack));
        const Json::Value ping = peer_.expect_kind(kPing);
        CHECK(ping[6] == "syd-b-01" || ping[6] == "syd-b-02");
        CHECK(peer_.expect_kind(kGossip).size() == 10);
    }
    void members() {
        const std::string rest = " alive 3 123456 " + peer_.address() + " syd-b au-east\n";
        const std::string own =
            "syd-a-07 alive 0 " + std::to_string(start_) + " " + address() + " syd-a au-east\n";
        const std::string answer = router_.call("MEMBERS");
        check_that(answer == own + "syd-b-01" + rest + "syd-b-02" + rest + "--\n", answer);
    }
    void pull_in_answer_to_a_push() {
        const Json::Value pull =
            stream_call(peer_port_, membership_message(kPush, "", "", none(), bytes(kMembershipDigestBytes)));
        CHECK(pull.size() == 10 && pull[1] == kPull && pull[8].size() == 3);
        expect_equal(pull[9], bytes(kMembershipDigestBytes));
    }
    void nack_in_answer_to_a_probe_request() {
        peer_.send(peer_port_,
                   membership_message(kProbeRequest, "syd-b-03", address_text(free_port()), none()));
        const Json::Value nack = peer_.expect_kind(kNack);
        CHECK(nack.size() == 10 && nack[5] == 7u);
    }
    void expect_replica(const std::string& expected) {
        const std::string answer = router_.call("REPLICA");
        check_that(answer == expected, answer + "should be\n" + expected);
    }
    // A call at the control address is told to the peers; here as the one mark of its key.
    void operators_news() {
        CHECK(router_.call("OFFLINE s-a") == "ACK out\n");
        const Json::Value news = peer_.expect_news(kOperatorsState, "ban/s-a");
        learn_origin(news[8][0][0].asString());
        const Json::Value stamp = news[8][0][3];
        CHECK(static_cast<std::int64_t>(stamp.asUInt64() >> 16) > unix_ms() - 60'000);
        expect_equal(news, array({kVersion, static_cast<unsigned>(kNews), kOperatorsState, "syd-a-07",
                                  address(), Json::Value{}, 0u, none(),
                                  array({array({origin(), 1u, "ban/s-a", stamp,
                                                array({array({origin(), 1u, 0u, stamp, ""})})})}),
                                  none(), "", false, true}));
        expect_replica(origin() + " 1 1 0\n--\n");
    }
    void news_from_a_peer() {
        peer_.send(peer_port_, state_message(kNews, kOperatorsState, {}, none(),
                                             array({update("syd-b-01@5", 1, "ban/s-1", "")})));
        CHECK(wait_until([this] { return contains(router_.call("DUMP"), "edge.hosts_down=2\n"); }));
        // In force, but held only once it has come in an exchange.
        expect_replica(origin() + " 1 1 0\n--\n");
    }
    void exchange_of_the_shared_state() {
        // The router starts one by itself, too.
        const Json::Value summary = peer_.expect(
            "a summary", [](const Json::Value& m) { return m[1] == kSummary && m[2] == kOperatorsState; });
        expect_equal(summary,
                     array({kVersion, static_cast<unsigned>(kSummary), kOperatorsState, "syd-a-07", address(),
                            bytes(kSummaryBytes), 0u, none(), none(), none(), "", false, true}));
        const Json::Value numbers = stream_call(
            peer_port_, state_message(kSummary, kOperatorsState, bytes(kSummaryBytes), none(), none()));
        CHECK(numbers.size() == 13 && numbers[1] == kNumbers);
        expect_equal(numbers[7], array({array({origin(), 1u})}));
        const Json::Value give =
            stream_call(peer_port_, state_message(kNumbers, kOperatorsState, {}, none(), none()));
        CHECK(give.size() == 13 && give[1] == kGive);
        CHECK(give[8].size() == 1 && give[8][0][0] == origin() && give[8][0][2] == "ban/s-a");
        expect_equal(give[9], array({array({origin(), 0u})}));
        // Two changes are told of, one of them is given.
        const Json::Value told = array({array({"syd-b-01@5", 2u})});
        const Json::Value given = array({update("syd-b-01@5", 1, "ban/s-1", "")});
        const Json::Value after = array({array({"syd-b-01@5", 0u})});
        const Json::Value take =
            stream_call(peer_port_, state_message(kGive, kOperatorsState, {}, told, given, after));
        CHECK(take.size() == 13 && take[1] == kTake);
        CHECK(take[8].size() == 1 && take[8][0][0] == origin() && take[8][0][2] == "ban/s-a");
        expect_replica(origin() + " 1 1 0\nsyd-b-01@5 1 2 1\n--\n");
        const Json::Value page =
            stream_call(peer_port_, state_message(kWant, kOperatorsState, {}, none(), none()));
        CHECK(page.size() == 13 && page[1] == kPage && page[8].size() == 2);
        CHECK(page[8][0][2] == "ban/s-1" && page[8][1][2] == "ban/s-a" && page[12] == true);
        expect_equal(page[7], array({array({origin(), 1u}), array({"syd-b-01@5", 1u})}));
    }
    void reports_of_servers() {
        const Json::Value drain = peer_.expect_news(kReportsState, "box/s-leaving\tsyd-a-07");
        CHECK(drain[8][0][4][0][4] == "drain 0");
        // Two members keep away from a server: so does this router.
        for (const char* reporter : {"syd-b-01", "syd-b-02"})
            peer_.send(peer_port_,
                       state_message(kNews, kReportsState, {}, none(),
                                     array({update(std::string{reporter} + "@5", 1,
                                                   std::string{"box/s-2\t"} + reporter, "out")})));
        CHECK(wait_until([this] { return router_.counters().at("hearsay.out") == 1; }));
        for (const char* reporter : {"syd-b-01", "syd-b-02"})
            peer_.send(peer_port_,
                       state_message(kNews, kReportsState, {}, none(),
                                     array({update(std::string{reporter} + "@5", 2,
                                                   std::string{"box/s-3\t"} + reporter, "drain 0")})));
        CHECK(wait_until([this] { return router_.counters().at("hearsay.out") == 2; }));
    }
    // Health of zones is reported, pins and decisions are shared.
    void failover() {
        const Json::Value report = peer_.expect_news(kReportsState, "zone/syd-a\tsyd-a-07");
        CHECK(contains(report[8][0][4][0][4].asString(), " "));
        for (const char* reporter : {"syd-b-01", "syd-b-02"})
            peer_.send(peer_port_,
                       state_message(kNews, kReportsState, {}, none(),
                                     array({update(std::string{reporter} + "@5", 3,
                                                   std::string{"zone/syd-b\t"} + reporter, "95 90")})));
        CHECK(wait_until(
            [this] { return contains(router_.call("FAILOVER"), "syd-b au-east 2/2 95/90 0 0 - - 0 0"); }));
        CHECK(router_.call("PIN syd-a OUT") == "ACK pinned\n");
        const Json::Value pin = peer_.expect_news(kOperatorsState, "pin/syd-a");
        CHECK(pin[8][0][4][0][4] == "out");
        const Json::Value decision = peer_.expect_news(kOperatorsState, "failover/syd-a");
        check_that(decision[8][0][4][0][4] == "1 syd-b=100", to_text(decision));
        CHECK(
            wait_until([this] { return contains(router_.call("FAILOVER"), " 1 100 syd-b=100 out 1 0\n"); }));
        // A peer's pin and decision are taken, too.
        peer_.send(peer_port_, state_message(kNews, kOperatorsState, {}, none(),
                                             array({update("syd-b-02@5", 1, "pin/syd-b", "in")})));
        peer_.send(peer_port_,
                   state_message(kNews, kOperatorsState, {}, none(),
                                 array({update("syd-b-02@5", 2, "failover/syd-b", "4 syd-a=25")})));
        CHECK(wait_until([this] {
            return contains(router_.call("FAILOVER"), "syd-b au-east 2/2 95/90 4 25 syd-a=25 in 1 0\n");
        }));
    }
    // What is no message of this version is counted by its fault.
    void refused_messages() {
        const auto grows = [this](const std::string& figure, const Json::Value& message) {
            const auto before = router_.counters().at(figure);
            peer_.send(peer_port_, message);
            check_that(wait_until([&] { return router_.counters().at(figure) > before; }), figure + " grows");
        };
        Json::Value other_version = membership_message(kPing, "syd-a-07", "", none());
        other_version[0] = 2u;
        grows("peers.refused_other_version", other_version);
        grows("peers.refused_undecodable", array({kVersion, 7u}));
        grows("peers.refused_out_of_bounds", membership_message(kPing, std::string(65, 'x'), "", none()));
    }
    // A router that ends by plan says that it has left.
    void last_words() {
        CHECK(router_.stop() == 0);
        Json::Value left = own_record();
        peer_.expect("its leaving", [&left](const Json::Value& message) {
            for (const auto& told : message[8])
                if (told.size() == 8 && told[0] == left[0] && told[6] == static_cast<unsigned>(kLeft))
                    return true;
            return false;
        });
    }

    StandInServer server_{[](const HttpMessage&) {
        return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    }};
    StandInPeer peer_;
    unsigned short peer_port_ = free_port();
    std::uint64_t start_ = 0;
    std::string origin_;
    RouterProcess router_;
};

}  // namespace

int main() {
    Test{}.run();
    std::puts("peers: every message is written and read as ever");
}
