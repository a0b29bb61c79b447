// The watch on the list of servers: what is lost, spoilt or silent there is asked for again, and never in a
// loop.
#include <optional>

#include "net/discovery_watch.h"
#include "test_fixture.h"

using namespace silverrail;
using namespace silverrail::test;
namespace asio = net::asio;
namespace http = net::http;

namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

std::string event(int no, const std::string& data) {
    return "id: " + std::to_string(no) + "\ndata: " + data + "\n\n";
}

// A feed that the test writes to. Its connections stay until the test or the other side ends them.
class Feed {
public:
    struct Watcher {
        explicit Watcher(tcp::socket s) : socket(std::move(s)) {}
        void say(const std::string& text) {
            asio::write(socket, asio::buffer(text));
        }
        tcp::socket socket;
        net::beast::flat_buffer buffer;
        Request request;
        std::string after;  // the number that it asked from, once it has asked
        bool asked = false;
        bool gone = false;
        char byte = 0;
    };
    explicit Feed(asio::io_context& io) : acceptor_(io, loopback()) {
        accept();
    }
    tcp::endpoint at() const {
        return acceptor_.local_endpoint();
    }
    std::size_t open() const {
        return static_cast<std::size_t>(
            std::count_if(watchers.begin(), watchers.end(), [](const auto& w) { return !w->gone; }));
    }
    std::vector<std::shared_ptr<Watcher>> watchers;  // in the order in which they came

private:
    void accept() {
        acceptor_.async_accept([this](const net::error_code& error, tcp::socket socket) {
            if (error)
                return;
            const auto w = watchers.emplace_back(std::make_shared<Watcher>(std::move(socket)));
            http::async_read(w->socket, w->buffer, w->request, [w](const net::error_code& e, std::size_t) {
                w->gone = bool(e);
                if (e)
                    return;
                const auto last = w->request["Last-Event-ID"];
                w->after.assign(last.data(), last.size());
                w->asked = true;
                w->socket.async_read_some(asio::buffer(&w->byte, 1),
                                          [w](const net::error_code&, std::size_t) { w->gone = true; });
            });
            accept();
        });
    }
    tcp::acceptor acceptor_;
};

struct Watch {
    Watch(asio::io_context& io, const tcp::endpoint& at)
        : discovery(
              io, at, 1,
              [this](std::int64_t no, std::string_view data) {
                  if (data == "spoilt")
                      return false;
                  taken.push_back(no);
                  return true;
              },
              log, 7) {
        discovery.when_synchronized([this](bool now) { sure = now; });
        discovery.start();
    }
    Log log;
    std::vector<std::int64_t> taken;
    bool sure = false;
    net::DiscoveryWatch discovery;
};

// Until the n-th watcher has asked.
Feed::Watcher& asked(asio::io_context& io, Feed& feed, std::size_t n) {
    run_until(io, [&] { return feed.watchers.size() == n && feed.watchers.back()->asked; });
    return *feed.watchers.back();
}

// Says the same every 100 ms, until its watcher is gone.
class Pulse {
public:
    Pulse(asio::io_context& io, Feed::Watcher& to, std::string text)
        : timer_(io), to_(to), text_(std::move(text)) {
        beat();
    }

private:
    void beat() {
        timer_.expires_after(100ms);
        timer_.async_wait([this](const net::error_code& error) {
            if (error || to_.gone)
                return;
            to_.say(text_);
            beat();
        });
    }
    asio::steady_timer timer_;
    Feed::Watcher& to_;
    std::string text_;
};

// What can't be read, and what was left out, is asked for again from the last good event; told the same way
// twice, it is passed over.
void bad_events_are_fetched_once_more() {
    struct Case {
        const char* name;
        std::string first;   // to the first watcher
        std::string second;  // to the second, if there is one
        std::string after;   // the number that the second asked from
        std::vector<std::int64_t> taken;
        std::size_t connects;
        std::uint64_t unreadable, gaps;
        bool hangs_up = false;  // the feed, after the first
    };
    const Case cases[] = {
        {"spoilt once",
         event(2, "a") + event(3, "spoilt") + event(4, "c"),
         event(3, "b") + event(4, "c"),
         "2",
         {2, 3, 4},
         2,
         1,
         0},
        {"always bad", event(2, "spoilt"), event(2, "spoilt") + event(3, "b"), "1", {3}, 2, 2, 0},
        {"left out once", event(3, "b"), event(2, "a") + event(3, "b"), "1", {2, 3}, 2, 0, 1},
        {"numbers that leap", event(5, "a"), event(5, "a") + event(6, "b"), "1", {5, 6}, 2, 0, 2},
        {"a spoilt number", event(999999, "a"), event(2, "a") + event(3, "b"), "1", {2, 3}, 2, 0, 1},
        {"half an event, then the end", "id: 2\ndata: a\n", event(2, "a"), "1", {2}, 2, 0, 0, true},
        {"told twice", event(2, "a") + event(2, "a") + event(3, "b"), "", "", {2, 3}, 1, 0, 0},
    };
    for (const Case& c : cases) {
        asio::io_context io;
        Feed feed{io};
        Watch watch{io, feed.at()};
        auto& first = asked(io, feed, 1);
        CHECK(first.after == "1");
        first.say(kHead + c.first);
        if (c.connects == 2) {
            if (c.hangs_up)
                first.socket.shutdown(tcp::socket::shutdown_send);
            auto& second = asked(io, feed, 2);
            CHECK(second.after == c.after);
            second.say(kHead + c.second);
        }
        run_until(io, [&] { return watch.taken.size() == c.taken.size(); });
        CHECK(watch.taken == c.taken);
        // The next event comes on the same connection: nothing is asked for a third time.
        const auto next = watch.discovery.last_event() + 1;
        feed.watchers.back()->say(event(static_cast<int>(next), "more"));
        run_until(io, [&] { return watch.discovery.last_event() == next; });
        CHECK(watch.discovery.counters().connects == c.connects && feed.open() == 1);
        CHECK(watch.discovery.counters().unreadable == c.unreadable &&
              watch.discovery.counters().gaps == c.gaps);
    }
}

// Bytes that never end a line are no sign of life, whole lines are.
void a_line_without_end_is_silence() {
    asio::io_context io;
    Feed feed{io};
    Watch watch{io, feed.at()};
    auto& first = asked(io, feed, 1);
    const auto begin = std::chrono::steady_clock::now();
    first.say(kHead + event(2, "a") + "data: ");
    const Pulse dribble{io, first, "x"};
    auto& second = asked(io, feed, 2);
    CHECK(std::chrono::steady_clock::now() - begin < net::DiscoveryWatch::kSilenceTimeout + 1500ms);
    CHECK(second.after == "2" && !watch.sure);
    second.say(kHead + event(3, "b"));
    run_until(io, [&] { return watch.taken.size() == 2; });
    // Sure again once a line has come past the time for what was missed.
    const Pulse live{io, second, ": here\n\n"};
    run_until(io, [&] { return watch.sure; });
    CHECK(feed.open() == 1);
}

// A feed that is slow to answer is no surer for that: what was missed comes behind the answer.
void slow_responses_are_not_synchronized() {
    asio::io_context io;
    Feed feed{io};
    Watch watch{io, feed.at()};
    auto& first = asked(io, feed, 1);
    const auto late = std::chrono::steady_clock::now() + 350ms;
    while (std::chrono::steady_clock::now() <= late) {}
    first.say(kHead + event(2, "a"));
    run_until(io, [&] { return watch.taken.size() == 1; });
    CHECK(!watch.sure);
}

// A move while the watch pauses, while it connects and while it is live: one watcher at the new place, none
// left at the old one, and the numbers go on.
void moves_keep_event_numbers() {
    enum class When { paused, connecting, live, at_the_pauses_end };
    for (const When when : {When::paused, When::connecting, When::live, When::at_the_pauses_end}) {
        asio::io_context io;
        Feed from{io}, to{io};
        Watch watch{io, from.at()};
        if (when != When::connecting) {
            auto& first = asked(io, from, 1);
            first.say(kHead + event(2, "a"));
            run_until(io, [&] { return watch.taken.size() == 1; });
            if (when != When::live) {
                first.socket.close();
                run_until(io, [&] { return !watch.discovery.connected(); });
            }
        }
        asio::steady_timer first_of_two{io};
        if (when == When::at_the_pauses_end) {
            // The pause is over and its handler stands behind the move's: both would connect.
            first_of_two.expires_at(std::chrono::steady_clock::now() - 1s);
            first_of_two.async_wait([&](const net::error_code&) { watch.discovery.move_to(to.at()); });
            const auto over = std::chrono::steady_clock::now() + 60ms;  // the first pause is 50 ms at most
            while (std::chrono::steady_clock::now() <= over) {}
        } else {
            watch.discovery.move_to(to.at());
        }
        auto& moved = asked(io, to, 1);
        CHECK(moved.after == (when == When::connecting ? "1" : "2"));
        moved.say(kHead + event(when == When::connecting ? 2 : 3, "b"));
        run_until(io, [&] { return watch.taken.size() == (when == When::connecting ? 1 : 2); });
        // Longer than any pause.
        const auto later = std::chrono::steady_clock::now() + 600ms;
        run_until(io, [&] { return std::chrono::steady_clock::now() > later; });
        CHECK(to.watchers.size() == 1 && to.open() == 1 && from.open() == 0);
    }
}

// A feed that ends every connection at once is not asked without a pause.
void hang_ups_are_retried_with_backoff() {
    asio::io_context io;
    Feed feed{io};
    Watch watch{io, feed.at()};
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t n = 1; n <= 6; ++n) {
        auto& w = asked(io, feed, n);
        w.say(kHead + ": here\n\n");
        w.socket.shutdown(tcp::socket::shutdown_send);
    }
    // Five pauses: up to 50 ms, then at least 25, 50, 100 and 200.
    CHECK(std::chrono::steady_clock::now() - begin > 370ms);
}

}  // namespace

int main() {
    bad_events_are_fetched_once_more();
    a_line_without_end_is_silence();
    slow_responses_are_not_synchronized();
    moves_keep_event_numbers();
    hang_ups_are_retried_with_backoff();
    std::puts("discovery: what is lost on the way is asked for again");
}
