#include "net/discovery_watch.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "net/tcp_stream.h"

namespace silverrail::net {

namespace {
constexpr std::chrono::milliseconds kFirstPause{50};
constexpr std::chrono::milliseconds kLongestPause{500};
constexpr std::chrono::milliseconds kConnect{1000};
// Where many ask at once an answer takes its time: asked anew each time, one would never have it. So a
// connection that was asked is waited for beside the next one, for so long and so many.
constexpr std::chrono::milliseconds kLongestAnswer{10'000};
constexpr std::size_t kMostUnanswered = 2;
// What was missed comes right behind the answer's head. What comes later than this tells that the feed is
// live, while a purge that was missed may still be heeded. Not counted from the asking: a slow answer would
// use it up.
constexpr std::chrono::milliseconds kCaughtUp{300};
}  // namespace

struct DiscoveryWatch::Link {
    explicit Link(asio::io_context& io) : socket(io), silence(io) {
        parser.body_limit(boost::none);
    }
    void close() {
        over = true;
        silence.cancel();
        error_code ignored;
        socket.close(ignored);
    }
    TcpStream socket;
    asio::steady_timer silence;
    http::request<http::empty_body> request;
    beast::flat_buffer buffer{64 * 1024};
    http::response_parser<http::buffer_body> parser;
    std::array<char, 16 * 1024> bytes{};
    SseParser events;
    std::chrono::steady_clock::time_point answered{};
    bool over = false;
};

DiscoveryWatch::DiscoveryWatch(asio::io_context& io, tcp::endpoint at, std::int64_t last, Take take, Log& log,
                               std::uint64_t seed)
    : io_(io),
      at_(std::move(at)),
      last_(last),
      take_(std::move(take)),
      log_(log),
      wait_(io),
      pause_(kFirstPause, kLongestPause, seed) {}

DiscoveryWatch::~DiscoveryWatch() {
    if (link_)
        link_->close();
    let_go(std::move(unanswered_));
}

void DiscoveryWatch::move_to(const tcp::endpoint& at) {
    if (at == at_)
        return;
    at_ = at;
    sure(false);
    // Given up at once, half an event with it: the old address may stay open and tell nothing more.
    if (const auto old = std::exchange(link_, nullptr))
        old->close();
    let_go(std::exchange(unanswered_, {}));
    wait_.cancel();
    pause_.reset();
    connect();
}

void DiscoveryWatch::connect() {
    ++counters_.connects;
    const auto link = link_ = std::make_shared<Link>(io_);
    link->silence.expires_after(kConnect);
    link->silence.async_wait([this, link](const error_code& error) {
        if (!error && !link->over)
            again(link, "no connection in time");
    });
    link->socket.async_connect(at_, [this, link](const error_code& error) {
        if (link->over)
            return;
        if (error)
            return again(link, error.message().c_str());
        request(link);
    });
}

void DiscoveryWatch::request(const std::shared_ptr<Link>& link) {
    link->request = {http::verb::get, "/bulletins", 11};
    link->request.set(http::field::host, at_.address().to_string() + ":" + std::to_string(at_.port()));
    link->request.set(http::field::accept, "text/event-stream");
    link->request.set("Last-Event-ID", std::to_string(last_));
    link->silence.expires_after(kSilence);
    link->silence.async_wait([this, link](const error_code& error) {
        if (!error && !link->over)
            ask_beside(link);
    });
    http::async_write(link->socket, link->request, [this, link](const error_code& error, std::size_t) {
        if (link->over)
            return;
        if (error)
            return again(link, error.message().c_str());
        http::async_read_header(link->socket, link->buffer, link->parser,
                                [this, link](const error_code& e, std::size_t) {
                                    if (link->over)
                                        return;
                                    if (e)
                                        return again(link, e.message().c_str());
                                    if (link->parser.get().result() != http::status::ok)
                                        return again(link, "not 200");
                                    answered(link);
                                });
    });
}

// The first to answer is the one that is read.
void DiscoveryWatch::answered(const std::shared_ptr<Link>& link) {
    if (link_ != link) {
        if (link_)
            link_->close();
        wait_.cancel();
        link_ = link;
    }
    std::erase(unanswered_, link);
    let_go(std::exchange(unanswered_, {}));
    log_.line("bulletin-up", "resuming after event %lld", static_cast<long long>(last_));
    link->answered = std::chrono::steady_clock::now();
    arm(link);
    read(link);
}

// No answer in time: it may be slow, and it may be dead.
void DiscoveryWatch::ask_beside(const std::shared_ptr<Link>& link) {
    if (link_ != link)
        return;
    ++counters_.slow;
    log_.line("bulletin-slow", "no answer yet; last event %lld", static_cast<long long>(last_));
    link->silence.expires_after(kLongestAnswer - kSilence);
    link->silence.async_wait([this, link](const error_code& error) {
        if (!error && !link->over)
            again(link, "no answer");
    });
    unanswered_.push_back(std::exchange(link_, nullptr));
    if (unanswered_.size() > kMostUnanswered) {
        let_go({unanswered_.front()});
        unanswered_.erase(unanswered_.begin());
    }
    connect_after_pause();
}

void DiscoveryWatch::let_go(std::vector<std::shared_ptr<Link>> links) {
    for (const auto& link : links)
        link->close();
}

void DiscoveryWatch::read(const std::shared_ptr<Link>& link) {
    auto& body = link->parser.get().body();
    body.data = link->bytes.data();
    body.size = link->bytes.size();
    http::async_read_some(
        link->socket, link->buffer, link->parser, [this, link](error_code error, std::size_t) {
            if (link->over)
                return;
            if (error == http::error::need_buffer)
                error = {};
            const auto got = link->bytes.size() - link->parser.get().body().size;
            const auto lines = link->events.lines();
            const bool read_all = link->events.feed({link->bytes.data(), got}, [&](const auto& event) {
                if (!link->over)
                    take(link, event);
            });
            if (link->over)
                return;
            if (!read_all)
                return again(link, "an event over the bound");
            if (error)
                return again(link, error.message().c_str());
            if (link->parser.is_done())
                return again(link, "ended");
            if (link->events.lines() != lines)
                alive(link);
            read(link);
        });
}

void DiscoveryWatch::alive(const std::shared_ptr<Link>& link) {
    arm(link);
    if (std::chrono::steady_clock::now() < link->answered + kCaughtUp)
        return;
    // Not before: one that ends each connection soon would be asked without a pause.
    pause_.reset();
    sure(true);
}

void DiscoveryWatch::arm(const std::shared_ptr<Link>& link) {
    link->silence.expires_after(kSilence);
    link->silence.async_wait([this, link](const error_code& error) {
        if (!error && !link->over)
            again(link, "silent");
    });
}

void DiscoveryWatch::again(const std::shared_ptr<Link>& link, const char* why) {
    if (std::exchange(link->over, true))
        return;
    sure(false);
    log_.line("bulletin-down", "%s; last event %lld", why, static_cast<long long>(last_));
    link->close();
    // Another is on its way already.
    if (std::erase(unanswered_, link) > 0)
        return;
    if (link_ == link)
        link_ = nullptr;
    connect_after_pause();
}

void DiscoveryWatch::connect_after_pause() {
    wait_.expires_after(pause_.next());
    wait_.async_wait([this](const error_code& error) {
        // Guards against two connections: a move may have made one after this wait was over.
        if (!error && !link_)
            connect();
    });
}

void DiscoveryWatch::sure(bool now) {
    if (std::exchange(sure_, now) == now)
        return;
    unsure_since_ = std::chrono::steady_clock::now();
    if (told_sure_)
        told_sure_(now);
}

std::chrono::steady_clock::duration DiscoveryWatch::unheard_for() const {
    return sure_ ? std::chrono::steady_clock::duration{} : std::chrono::steady_clock::now() - unsure_since_;
}

void DiscoveryWatch::take(const std::shared_ptr<Link>& link, const SseParser::Event& event) {
    std::int64_t no = 0;
    const auto [end, error] = std::from_chars(event.id.data(), event.id.data() + event.id.size(), no);
    if (error != std::errc{} || end != event.id.data() + event.id.size())
        no = 0;
    if (no != 0 && no <= last_)
        return;  // told before
    const bool gap = no > last_ + 1;
    if (gap)
        ++counters_.gaps;
    if (gap && ask_again(link, no, "a number left out"))
        return;
    const bool readable = take_(no, event.data);
    if (!readable)
        ++counters_.unreadable;
    if (!readable && no != 0 && ask_again(link, no, "an event that can't be read"))
        return;
    if (no != 0)
        last_ = no;
}

// Guards against a drain or purge that was lost on the way: discovery is asked again from the last good
// event. Once, as what it tells the same way twice is how it tells it.
bool DiscoveryWatch::ask_again(const std::shared_ptr<Link>& link, std::int64_t no, const char* why) {
    if (no == std::exchange(doubted_, no))
        return false;
    again(link, why);
    return true;
}

}  // namespace silverrail::net
