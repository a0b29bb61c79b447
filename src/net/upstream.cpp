#include "net/upstream.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "config/config.h"
#include "net/peek.h"
#include "net/tcp_stream.h"

namespace silverrail::net {

namespace {

using core::AttemptResult;
using core::AttemptStatus;
using core::CacheStatus;
using namespace std::chrono_literals;

// Pauses before a connection is opened anew double from the first; all of them together stay under a quarter
// of a second.
constexpr auto kFirstPause = 5ms;
constexpr int kOpensAgain = 5;

// Nothing of the server's: this machine has no descriptor, buffer, port or route in this moment.
bool is_local_trouble(const error_code& error) {
    if (error.category() != boost::system::system_category())
        return false;
    constexpr std::array kErrors{EMFILE, ENFILE,        ENOBUFS,     ENOMEM,   EAGAIN,
                                 EINTR,  EADDRNOTAVAIL, ENETUNREACH, ENETDOWN, EPERM};
    return std::find(kErrors.begin(), kErrors.end(), error.value()) != kErrors.end();
}

std::string_view view(beast::string_view text) {
    return {text.data(), text.size()};
}

double number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() ? value : -1;
}

// Unix ms; 0 where it is not told or no time.
std::int64_t made_at(std::string_view text) {
    std::int64_t ms = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
    return error == std::errc{} && end == text.data() + text.size() && ms > 0 ? ms : 0;
}

}  // namespace

CacheStatus note_of(std::string_view word) {
    static constexpr std::array<std::string_view, 10> kWords{
        "hit",         "filled",    "via_origin", "joined",  "stale",
        "src_refused", "src_broke", "src_lacks",  "no_slot", "origin_failed"};
    const auto at = std::find(kWords.begin(), kWords.end(), word);
    return at == kWords.end() ? CacheStatus::none : static_cast<CacheStatus>(at - kWords.begin() + 1);
}

routing::LoadReport load_of(std::string_view text) {
    routing::LoadReport load;
    while (!text.empty()) {
        const auto end = std::min(text.find(';'), text.size());
        const std::string_view pair = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto colon = pair.find(':');
        if (colon == std::string_view::npos)
            continue;
        const std::string_view name = pair.substr(0, colon);
        const double value = number(pair.substr(colon + 1));
        if (value < 0)
            continue;
        if (name == "inflight" || name == "concurrent")
            load.in_flight = value;
        if (name == "util" || name == "load_share")
            load.utilisation = value;
        if (name == "x0")
            load.hit_share = value;
        if (name == "x1")
            load.link_fullness = value;
    }
    return load;
}

http::request<http::string_body> server_request(const core::AttemptRequest& order, core::Span oldest,
                                                core::Span left) {
    const core::ClientRequest& call = *order.client_request;
    http::request<http::string_body> r{
        call.write ? http::verb::put : http::verb::get,
        "/obj/" + call.class_name + "/" + call.object + "/" + std::to_string(call.part), 11};
    const auto ms = [](core::Span s) {
        return std::to_string(std::max<std::int64_t>(1, s / 1ms));
    };
    r.set(http::field::host, order.address);
    r.set("Call-Id", call.trace_id);
    r.set("Call-Ms", ms(left));
    // Guards the repeats of a keyed class: without it a server could not tell one from a new request.
    if (!call.idempotency_key.empty())
        r.set("Call-Once", call.idempotency_key);
    if (order.source)
        r.set("Miss-To", order.source->address);
    if (order.retention > 0)
        r.set("Store-As", std::to_string(order.retention));
    if (oldest > core::Span{})
        r.set("No-Older-Than", ms(oldest));
    std::string handling;
    const auto say = [&handling](const char* word) {
        if (!handling.empty())
            handling += '+';
        handling += word;
    };
    if (order.join)
        say("j");
    if (order.only_if_cached)
        say("h");
    if (order.revalidate)
        say("r");
    if (!handling.empty())
        r.set("Handling", handling);
    if (!call.client_tag.empty())
        r.set("Have", call.client_tag);
    if (call.body)
        r.body() = *call.body;
    if (call.write)
        r.prepare_payload();
    return r;
}

AttemptResult server_answer(http::response<http::string_body> answer) {
    AttemptResult end;
    const bool never_ran = view(answer["Not-Begun"]) == "1";
    end.cache_status = note_of(view(answer["Detail"]));
    end.load = load_of(view(answer["Backend-Load"]));
    if (const double waited = number(view(answer["Fill-Wait"])); waited >= 0 && waited < 1e9)
        end.source_wait =
            std::chrono::duration_cast<core::Span>(std::chrono::duration<double, std::milli>{waited});
    switch (answer.result_int()) {
        case 200:
        case 304:
            end.attempt_status = AttemptStatus::success;
            end.not_modified = answer.result_int() == 304;
            end.tag = view(answer["Tag"]);
            end.made_ms = made_at(view(answer["Made-At"]));
            end.body = std::move(answer.body());
            break;
        case 404:
            end.attempt_status = AttemptStatus::miss;
            break;
        case 503:
            end.attempt_status = never_ran ? AttemptStatus::overloaded : AttemptStatus::error;
            break;
        case 504:
            end.attempt_status = never_ran ? AttemptStatus::not_sent : AttemptStatus::error;
            break;
        default:
            end.attempt_status = AttemptStatus::error;
            break;
    }
    return end;
}

struct Upstream::Link {
    Link(asio::io_context& io, std::shared_ptr<std::size_t> open) : socket(io), count(std::move(open)) {
        ++*count;
    }
    ~Link() {
        --*count;
    }
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;
    void close() {
        error_code ignored;
        socket.close(ignored);
    }
    // No answer is expected on an idle connection: whatever can be read, or its end, makes it stale.
    bool stale() {
        const auto got = peek(socket);
        return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }
    TcpStream socket;
    beast::flat_buffer buffer;
    std::shared_ptr<std::size_t> count;
    core::Time idle_since{};
    std::shared_ptr<Server> server;  // the one that it was opened to; absent while it is idle there
    bool idle = false;
};

struct Upstream::Attempt {
    Attempt(asio::io_context& io, core::AttemptRequest o, core::AttemptEvents& e)
        : order(std::move(o)), events(&e), limit(io) {}
    core::AttemptRequest order;
    core::AttemptEvents* events;
    asio::steady_timer limit;  // on connecting, and the pause before that begins anew
    int opens_again = 0;
    std::shared_ptr<Link> link;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    int interim = 0;
    bool bytes_out = false;
    bool all_out = false;  // the request's last byte
    bool over = false;
};

Upstream::Upstream(asio::io_context& io, UpstreamLimits limits, const core::Clock& clock, Log& log)
    : io_(io), limits_(limits), clock_(clock), log_(log), sweeper_(io) {
    sweep();
}

Upstream::~Upstream() {
    down_ = true;
    for (auto& [key, attempt] : attempts_) {
        attempt->over = true;
        if (attempt->link)
            attempt->link->close();
    }
    for (auto& [id, server] : servers_)
        for (auto& link : server->idle)
            link->close();
}

void Upstream::start(core::AttemptRequest order, core::AttemptEvents& events) {
    const core::AttemptKey key = order.key;
    auto attempt = std::make_shared<Attempt>(io_, std::move(order), events);
    attempts_.emplace(key, attempt);
    begin(attempt);
}

// On a kept connection, else on a new one, else when one is free.
void Upstream::begin(const std::shared_ptr<Attempt>& attempt) {
    attempt->link = take_idle(attempt->order.target);
    if (attempt->link)
        return write(attempt);
    if (!make_room()) {
        if (waiting_.size() >= limits_.waiting) {
            log_.line("upstream-full", "%zu sockets, %zu wait", *open_, waiting_.size());
            return end(attempt, {.attempt_status = AttemptStatus::not_sent});
        }
        waiting_.push_back(attempt);
        return;
    }
    connect(attempt);
}

void Upstream::connect(const std::shared_ptr<Attempt>& attempt) {
    const auto to = config::parse_endpoint(attempt->order.address);
    error_code error;
    const auto host = to ? asio::ip::make_address(to->host, error) : asio::ip::address{};
    if (!to || error) {
        log_.line("bad-address", "box %s at %s", attempt->order.target.address.c_str(),
                  attempt->order.address.c_str());
        return end(attempt, {.attempt_status = AttemptStatus::not_sent});
    }
    const tcp::endpoint endpoint{host, to->port};
    attempt->link = std::make_shared<Link>(io_, open_);
    auto& server = servers_[attempt->order.target];
    if (!server)
        server = std::make_shared<Server>();
    attempt->link->server = server;
    attempt->link->socket.open(endpoint.protocol(), error);
    if (error) {
        // No descriptor: nothing was sent, and the server has no part in it.
        log_.line("no-descriptors", "connect: %s", error.message().c_str());
        shed(16);
        attempt->link->socket.open(endpoint.protocol(), error);
        if (error)
            return open_again(attempt, error, AttemptStatus::not_sent);
    }
    attempt->link->socket.set_option(tcp::no_delay(true), error);
    attempt->limit.expires_after(limits_.connect_timeout);
    attempt->limit.async_wait([this, attempt](const error_code& e) {
        if (e || attempt->over || !attempt->link || attempt->bytes_out)
            return;
        end(attempt, {.attempt_status = AttemptStatus::connect_failed});
    });
    attempt->link->socket.async_connect(
        endpoint, [this, attempt, link = attempt->link](const error_code& e) { connected(attempt, e); });
}

void Upstream::connected(const std::shared_ptr<Attempt>& attempt, const error_code& error) {
    if (attempt->over)
        return;
    attempt->limit.cancel();
    if (!error)
        return write(attempt);
    if (is_local_trouble(error))
        return open_again(attempt, error, AttemptStatus::connect_failed);
    if (error != asio::error::connection_refused && error != asio::error::operation_aborted)
        log_.line("connect-failed", "box %s: %s", attempt->order.target.address.c_str(),
                  error.message().c_str());
    end(attempt, {.attempt_status = AttemptStatus::connect_failed});
}

void Upstream::open_again(const std::shared_ptr<Attempt>& attempt, const error_code& error,
                          core::AttemptStatus attempt_status) {
    log_.line("connect-local", "%s to %s: %s", attempt->order.client_request->trace_id.c_str(),
              attempt->order.target.address.c_str(), error.message().c_str());
    const auto pause = kFirstPause * (1 << attempt->opens_again);
    const bool in_time = clock_.now() + pause < attempt->order.deadline;
    if (++attempt->opens_again > kOpensAgain || !in_time)
        return end(attempt, {.attempt_status = attempt_status});
    attempt->link->close();
    attempt->link = nullptr;
    attempt->limit.expires_after(pause);
    attempt->limit.async_wait([this, attempt](const error_code& e) {
        if (!e && !attempt->over)
            begin(attempt);
    });
}

void Upstream::write(const std::shared_ptr<Attempt>& attempt) {
    const auto oldest = attempt->events->before_first_byte(attempt->order.key);
    if (!oldest) {
        if (!attempt->over)
            end(attempt, {.attempt_status = AttemptStatus::not_sent});
        return;
    }
    attempt->request = server_request(attempt->order, *oldest, attempt->order.deadline - clock_.now());
    attempt->bytes_out = true;  // from here on it may run
    http::async_write(attempt->link->socket, attempt->request,
                      [attempt, link = attempt->link](const error_code& error, std::size_t) {
                          if (!error)
                              attempt->events->written();
                          attempt->all_out = !error;
                          if (attempt->over || !error)
                              return;
                          // An answer may have come before the whole request was read; the read tells.
                          if (error == asio::error::operation_aborted)
                              return;
                          error_code ignored;
                          link->socket.shutdown(tcp::socket::shutdown_send, ignored);
                      });
    read(attempt);
}

// The head by itself: read together with its body, Beast 1.74 loses the error of a length over the limit, and
// reserves whatever the server claims.
void Upstream::read(const std::shared_ptr<Attempt>& attempt) {
    attempt->parser.emplace();
    attempt->parser->body_limit(limits_.answer);
    attempt->parser->header_limit(limits_.header);
    http::async_read_header(
        attempt->link->socket, attempt->link->buffer, *attempt->parser,
        // The operation uses the connection until its handler has run, also where the attempt is over.
        [this, attempt, link = attempt->link](const error_code& error, std::size_t) {
            on_head(attempt, error);
        });
}

void Upstream::on_head(const std::shared_ptr<Attempt>& attempt, const error_code& error) {
    if (attempt->over)
        return;
    if (error)
        return unreadable(attempt, error);
    const auto& head = attempt->parser->get();
    if (head.result_int() / 100 == 1 && head.result() != http::status::switching_protocols) {
        if (++attempt->interim > limits_.interim)
            return unreadable(attempt, http::error::bad_status);
        return read(attempt);
    }
    // Guards the client from a 304 for a copy that it does not have.
    if (head.result() == http::status::not_modified && attempt->order.client_request->client_tag.empty())
        return unreadable(attempt, http::error::bad_status);
    http::async_read(
        attempt->link->socket, attempt->link->buffer, *attempt->parser,
        [this, attempt, link = attempt->link](const error_code& e, std::size_t) { on_answer(attempt, e); });
}

void Upstream::on_answer(const std::shared_ptr<Attempt>& attempt, const error_code& error) {
    if (attempt->over)
        return;
    if (error)
        return unreadable(attempt, error);
    // An answer may come before the request is out: what follows on that connection would be read as the rest
    // of it.
    const bool keeps = attempt->parser->keep_alive() && attempt->all_out;
    auto answer = attempt->parser->release();
    if (keeps)
        keep(attempt);
    end(attempt, server_answer(std::move(answer)));
}

// Bytes are out: it may have run, so it is never sent again from here, also on a stale connection.
void Upstream::unreadable(const std::shared_ptr<Attempt>& attempt, const error_code& error) {
    const bool not_http = error.category() == http::make_error_code(http::error::bad_version).category();
    if (not_http && error != http::error::end_of_stream && error != http::error::partial_message)
        log_.line("bad-answer", "box %s: %s", attempt->order.target.address.c_str(), error.message().c_str());
    end(attempt, {.attempt_status = AttemptStatus::reset});
}

void Upstream::end(const std::shared_ptr<Attempt>& attempt, AttemptResult end) {
    if (std::exchange(attempt->over, true))
        return;
    attempt->limit.cancel();
    if (attempt->link)
        attempt->link->close();
    attempt->link = nullptr;
    attempts_.erase(attempt->order.key);
    attempt->events->ended(attempt->order.key, std::move(end));
    serve_waiting();
}

void Upstream::cancel(const core::AttemptKey& key) {
    auto at = attempts_.find(key);
    if (at == attempts_.end())
        return;
    const auto attempt = at->second;
    attempts_.erase(at);
    attempt->over = true;
    attempt->limit.cancel();
    std::erase(waiting_, attempt);
    if (attempt->link)
        attempt->link->close();
    attempt->link = nullptr;
    serve_waiting();
}

// The connection goes back to the pool, unless the server has gone or started anew meanwhile.
void Upstream::keep(const std::shared_ptr<Attempt>& attempt) {
    auto link = std::exchange(attempt->link, nullptr);
    const auto server = std::exchange(link->server, nullptr);
    if (server->gone || server->idle.size() >= limits_.idle_each || link->buffer.size() > 0) {
        link->close();
        return;
    }
    link->buffer.clear();
    link->idle_since = clock_.now();
    link->idle = true;
    server->idle.push_back(link);
    watch(server, link);
}

void Upstream::watch(const std::shared_ptr<Server>& server, const std::shared_ptr<Link>& link) {
    link->socket.async_wait(tcp::socket::wait_read, [this, owner = std::weak_ptr{server},
                                                     weak = std::weak_ptr{link}](const error_code& error) {
        if (down_ || error == asio::error::operation_aborted)
            return;
        const auto idle = weak.lock();
        if (!idle || !idle->idle)
            return;
        idle->close();
        if (const auto at = owner.lock())
            at->idle.remove(idle);
        serve_waiting();
    });
}

std::shared_ptr<Upstream::Link> Upstream::take_idle(const core::ServerId& id) {
    auto at = servers_.find(id);
    if (at == servers_.end())
        return nullptr;
    auto& idle = at->second->idle;
    // The last used of those that have rested: the longer one is idle, the likelier its server closes it.
    const core::Time rested = clock_.now() - limits_.rest;
    while (true) {
        const auto from =
            std::find_if(idle.rbegin(), idle.rend(), [&](const auto& l) { return l->idle_since <= rested; });
        if (from == idle.rend())
            return nullptr;
        const auto link = *from;
        idle.erase(std::next(from).base());
        link->idle = false;
        error_code ignored;
        link->socket.cancel(ignored);  // the watch
        if (!link->stale()) {
            link->server = at->second;
            return link;
        }
        link->close();
    }
}

// Guards against what piles up as servers come and go: nothing of a server that went is kept but what is in
// use.
void Upstream::forget(const core::ServerId& id) {
    const auto at = servers_.find(id);
    if (at == servers_.end())
        return;
    const auto server = at->second;
    servers_.erase(at);
    server->gone = true;
    for (auto& link : std::exchange(server->idle, {})) {
        link->idle = false;
        link->close();
    }
    serve_waiting();
}

bool Upstream::make_room() {
    if (*open_ >= limits_.sockets)
        shed(1);
    return *open_ < limits_.sockets;
}

void Upstream::limit_sockets(std::size_t most) {
    limits_.sockets = most;
    if (*open_ > most)
        shed(*open_ - most);
    serve_waiting();
}

void Upstream::shed(std::size_t count) {
    for (; count > 0; --count) {
        Server* longest = nullptr;
        for (auto& [id, server] : servers_)
            if (!server->idle.empty() &&
                (!longest || server->idle.front()->idle_since < longest->idle.front()->idle_since))
                longest = server.get();
        if (!longest)
            return;
        longest->idle.front()->idle = false;
        longest->idle.front()->close();
        longest->idle.pop_front();
    }
}

void Upstream::serve_waiting() {
    while (!waiting_.empty() && make_room()) {
        const auto attempt = waiting_.front();
        waiting_.pop_front();
        if (!attempt->over)
            begin(attempt);
    }
}

void Upstream::sweep() {
    const core::Time now = clock_.now();
    for (auto& [id, server] : servers_)
        while (!server->idle.empty() && server->idle.front()->idle_since + limits_.idle < now) {
            server->idle.front()->idle = false;
            server->idle.front()->close();
            server->idle.pop_front();
        }
    // One that a connection in use belongs to has a second owner.
    std::erase_if(servers_,
                  [](const auto& e) { return e.second->idle.empty() && e.second.use_count() == 1; });
    sweeper_.expires_after(std::chrono::seconds{1});
    sweeper_.async_wait([this](const error_code& error) {
        if (!error)
            sweep();
    });
}

}  // namespace silverrail::net
