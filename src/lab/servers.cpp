#include "lab/servers.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include "config/config.h"

namespace silverrail::lab {

namespace asio = net::asio;
namespace http = net::http;
using net::error_code;
using net::tcp;
using namespace std::chrono_literals;

namespace {

tcp::endpoint loopback() {
    return {asio::ip::make_address("127.0.0.1"), 0};
}

std::string text_of(const tcp::endpoint& at) {
    return at.address().to_string() + ":" + std::to_string(at.port());
}

std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::int64_t number(net::beast::string_view text) {
    std::int64_t v = 0;
    std::from_chars(text.data(), text.data() + text.size(), v);
    return v;
}

}  // namespace

std::string bytes_of(const std::string& class_name, const std::string& object, const std::string& part) {
    const std::string unit = class_name + '/' + object + '/' + part + '\n';
    const std::size_t size = 200 + std::hash<std::string>{}(unit) % 4000;
    std::string out;
    while (out.size() < size)
        out += unit;
    return out;
}

// One connection, one request at a time.
struct Server::Link {
    explicit Link(tcp::socket s)
        : socket(std::move(s)), timer(socket.get_executor()), source(socket.get_executor()) {}
    tcp::socket socket;
    asio::steady_timer timer;
    net::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    Response response;
    std::string path, class_name, object, part;
    // A fetch from the source.
    tcp::socket source;
    net::beast::flat_buffer source_buffer;
    http::request<http::empty_body> source_request;
    Response source_response;
};

Server::Server(asio::io_context& io, std::string id, Role role, Find find)
    : io_(io), acceptor_(io, loopback()), id_(std::move(id)), role_(role), find_(std::move(find)) {
    accept();
}

Server::~Server() {
    die();
}

std::string Server::address() const {
    return text_of(acceptor_.local_endpoint());
}

void Server::die() {
    error_code ignored;
    acceptor_.close(ignored);
    for (Link* link : links_)
        link->socket.close(ignored);
}

void Server::accept() {
    acceptor_.async_accept(
        [this, alive = std::weak_ptr{alive_}](const error_code& error, tcp::socket socket) {
            if (error || !alive.lock())
                return;
            const auto link = std::shared_ptr<Link>{new Link{std::move(socket)}, [this, alive](Link* l) {
                                                        if (alive.lock())
                                                            links_.erase(l);
                                                        delete l;
                                                    }};
            links_.insert(link.get());
            read(link);
            accept();
        });
}

void Server::read(const std::shared_ptr<Link>& link) {
    link->request = {};
    http::async_read(link->socket, link->buffer, link->request,
                     [this, link, alive = std::weak_ptr{alive_}](const error_code& error, std::size_t) {
                         if (!error && alive.lock())
                             answer(link);
                     });
}

Server::Response Server::good(const std::string& class_name, const std::string& object,
                              const std::string& part, const char* cache_status, std::int64_t made_ms) const {
    Response r{http::status::ok, 11};
    r.body() = bytes_of(class_name, object, part);
    r.set("Tag", "t" + object.substr(0, 8));
    r.set("Made-At", std::to_string(made_ms));
    r.set("Detail", cache_status);
    r.set("Backend-Load", "inflight:1;util:0.1;x0:0.7;x1:0.2");
    return r;
}

void Server::answer(const std::shared_ptr<Link>& link) {
    ++counts_.asked;
    const auto target = link->request.target();
    link->path.assign(target.data(), target.size());
    // /obj/CLASS/OBJECT/PART
    std::vector<std::string> parts;
    for (std::size_t at = 1; at <= link->path.size();) {
        const std::size_t end = std::min(link->path.find('/', at), link->path.size());
        parts.push_back(link->path.substr(at, end - at));
        at = end + 1;
    }
    if (parts.size() != 4 || parts[0] != "obj")
        return say(link, Response{http::status::bad_request, 11});
    link->class_name = parts[1];
    link->object = parts[2];
    link->part = parts[3];
    const bool write = link->request.method() == http::verb::put;
    if (role_ == Role::store) {
        if (write)
            ++runs_[std::string{link->request["Call-Id"]}];
        counts_.writes += write;
        return say(link, good(link->class_name, link->object, link->part, "via_origin", unix_ms()));
    }
    const auto copy = copies_.find(link->path);
    const std::int64_t oldest = number(link->request["No-Older-Than"]);
    if (!write && copy != copies_.end() && (oldest == 0 || unix_ms() - copy->second <= oldest)) {
        ++counts_.hits;
        return say(link, good(link->class_name, link->object, link->part, "hit", copy->second));
    }
    const std::string source = write ? find_("store") : find_(std::string{link->request["Miss-To"]});
    if (source.empty()) {
        ++counts_.misses;
        Response r{http::status::not_found, 11};
        return say(link, std::move(r));
    }
    fetch(link, source);
}

void Server::fetch(const std::shared_ptr<Link>& link, const std::string& from) {
    const auto at = config::parse_endpoint(from);
    const auto failed = [this, link] {
        Response r{http::status::not_found, 11};
        r.set("Detail", "src_refused");
        say(link, std::move(r));
    };
    if (!at)
        return failed();
    error_code ignored;
    link->source.close(ignored);
    const auto weak = std::weak_ptr{alive_};
    link->source.async_connect({asio::ip::make_address(at->host), at->port}, [this, link, weak, failed, from](
                                                                                 const error_code& refused) {
        if (!weak.lock())
            return;
        if (refused)
            return failed();
        link->source_request = {link->request.method(), link->path, 11};
        link->source_request.set(http::field::host, from);
        link->source_request.set("Call-Id", link->request["Call-Id"]);
        // A hub fills from the store, which fills from nowhere.
        if (role_ == Role::server)
            link->source_request.set("Miss-To", "store");
        link->source_request.prepare_payload();
        link->source_response = {};
        link->source_buffer.clear();
        http::async_write(link->source, link->source_request, [](const error_code&, std::size_t) {});
        http::async_read(link->source, link->source_buffer, link->source_response,
                         [this, link, weak, failed](const error_code& broken, std::size_t) {
                             if (!weak.lock())
                                 return;
                             if (broken || link->source_response.result() != http::status::ok)
                                 return failed();
                             error_code closed;
                             link->source.close(closed);
                             // A little time on the way, so that something can be under way at all.
                             link->timer.expires_after(5ms);
                             link->timer.async_wait([this, link, weak](const error_code& stopped) {
                                 if (stopped || !weak.lock())
                                     return;
                                 const bool write = link->request.method() == http::verb::put;
                                 const std::int64_t made = number(link->source_response["Made-At"]);
                                 ++(write ? counts_.writes : counts_.fills);
                                 if (!write && number(link->request["Store-As"]) > 0) {
                                     if (copies_.size() >= kMostCopies)
                                         copies_.clear();
                                     copies_[link->path] = made;
                                 }
                                 Response r = good(link->class_name, link->object, link->part,
                                                   write ? "via_origin" : "filled", made);
                                 r.set("Fill-Wait", "5");
                                 say(link, std::move(r));
                             });
                         });
    });
}

void Server::say(const std::shared_ptr<Link>& link, Response response) {
    link->response = std::move(response);
    link->response.prepare_payload();
    http::async_write(link->socket, link->response,
                      [this, link, alive = std::weak_ptr{alive_}](const error_code& error, std::size_t) {
                          if (!error && alive.lock())
                              read(link);
                      });
}

// ---- discovery ------------------------------------------------------------------------------

struct DiscoveryWatch::Link {
    explicit Link(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    net::beast::flat_buffer buffer;
    http::request<http::empty_body> request;
    std::int64_t next = 0;
    std::string out;
    std::string more;
    bool writing = false;
};

DiscoveryWatch::DiscoveryWatch(asio::io_context& io) : io_(io), acceptor_(io, loopback()), timer_(io) {
    accept();
    beat();
}

DiscoveryWatch::~DiscoveryWatch() {
    error_code ignored;
    acceptor_.close(ignored);
    timer_.cancel();
    for (const auto& link : links_)
        link->socket.close(ignored);
}

std::string DiscoveryWatch::address() const {
    return text_of(acceptor_.local_endpoint());
}

void DiscoveryWatch::say(const Json::Value& event) {
    if (events_.size() >= kMostEvents) {
        events_.pop_front();
        ++first_;
    }
    Json::Value numbered = event;
    numbered["no"] = Json::Int64{last() + 1};
    events_.push_back(config::json_line(numbered));
    for (const auto& link : links_)
        write(link);
}

void DiscoveryWatch::accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
        if (error)
            return;
        read(std::make_shared<Link>(std::move(socket)));
        accept();
    });
}

void DiscoveryWatch::read(const std::shared_ptr<Link>& link) {
    http::async_read(link->socket, link->buffer, link->request,
                     [this, link](const error_code& error, std::size_t) {
                         if (error)
                             return;
                         link->next = number(link->request["Last-Event-ID"]) + 1;
                         link->more = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n";
                         links_.insert(link);
                         write(link);
                     });
}

void DiscoveryWatch::write(const std::shared_ptr<Link>& link) {
    for (; link->next <= last(); ++link->next) {
        if (link->next < first_)
            continue;
        link->more += "id: " + std::to_string(link->next) +
                      "\ndata: " + events_[static_cast<std::size_t>(link->next - first_)] + "\n\n";
    }
    if (link->writing || link->more.empty())
        return;
    link->writing = true;
    link->out = std::exchange(link->more, {});
    asio::async_write(link->socket, asio::buffer(link->out),
                      [this, link](const error_code& error, std::size_t) {
                          link->writing = false;
                          if (error)
                              links_.erase(link);
                          else if (links_.contains(link))
                              write(link);
                      });
}

void DiscoveryWatch::beat() {
    timer_.expires_after(500ms);
    timer_.async_wait([this](const error_code& error) {
        if (error)
            return;
        for (const auto& link : links_) {
            link->more += ": still here\n\n";
            write(link);
        }
        beat();
    });
}

}  // namespace silverrail::lab
