#include "front/platform/platform.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "config/discovery_event.h"

namespace silverrail::front {

namespace http = net::http;

namespace {

constexpr std::string_view kPath = "/ops/";
constexpr std::string_view kPart = "piece-";
constexpr std::int64_t kLongestWaitMs = 600'000;
constexpr double kLargestKb = 1e7;
constexpr std::size_t kLongestTag = 128;
constexpr std::size_t kLongestKey = 128;

std::string_view view(net::beast::string_view text) {
    return {text.data(), text.size()};
}

template <class Number>
std::optional<Number> number(std::string_view text) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// CLASS/OBJECT/piece-PART
bool parse_target(std::string_view target, core::ClientRequest& call) {
    if (!target.starts_with(kPath))
        return false;
    target.remove_prefix(kPath.size());
    const auto object_at = target.find('/');
    if (object_at == std::string_view::npos || object_at == 0)
        return false;
    const auto part_at = target.find('/', object_at + 1);
    if (part_at == std::string_view::npos)
        return false;
    const std::string_view part = target.substr(part_at + 1);
    call.class_name = target.substr(0, object_at);
    call.object = target.substr(object_at + 1, part_at - object_at - 1);
    const auto object = config::parse_hex(call.object);
    if (!object || call.object.size() != 16 || !part.starts_with(kPart))
        return false;
    // Passed on as a number: only what reads the same again passes on unchanged.
    const auto number_of_part = number<std::uint32_t>(part.substr(kPart.size()));
    if (!number_of_part || std::to_string(*number_of_part) != part.substr(kPart.size()))
        return false;
    call.object_id = routing::ObjectId{*object};
    call.part = *number_of_part;
    return true;
}

// The bare tag of `"TAG"`; a list or a weak tag names no copy here, nor does what no server could read.
std::string bare_tag(std::string_view text) {
    if (text.size() < 3 || text.size() > kLongestTag || text.front() != '"' || text.back() != '"')
        return {};
    text = text.substr(1, text.size() - 2);
    const bool plain = std::all_of(text.begin(), text.end(),
                                   [](char c) { return c > ' ' && c < '\x7f' && c != '"' && c != ','; });
    return plain ? std::string{text} : std::string{};
}

// The key of a request that servers may be sent again: once, and passed on as it came.
std::optional<std::string> idempotency_key(const net::HttpRequest& request) {
    const auto told = request.count("Replay-Key");
    if (told == 0)
        return std::string{};
    const auto key = view(request["Replay-Key"]);
    const bool plain = std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c < '\x7f'; });
    if (told > 1 || key.empty() || key.size() > kLongestKey || !plain)
        return std::nullopt;
    return std::string{key};
}

class Reply : public core::ReplySink {
public:
    explicit Reply(std::shared_ptr<net::HttpSession> session) : session_(std::move(session)) {}
    void reply(core::Answer answer) override {
        if (const auto session = std::exchange(session_, nullptr))
            session->respond(response_of(std::move(answer)));
    }
    bool client_left() const override {
        return session_ && session_->client_left();
    }

private:
    std::shared_ptr<net::HttpSession> session_;
};

}  // namespace

std::variant<core::ClientRequest, std::string> parse_call(net::HttpRequest request, core::Time arrived) {
    core::ClientRequest call;
    if (request.method() != http::verb::get && request.method() != http::verb::put)
        return "neither GET nor PUT";
    if (!parse_target(view(request.target()), call))
        return "no such target";
    call.trace_id = view(request["Trace-Id"]);
    if (call.trace_id.size() != 16 || !config::parse_hex(call.trace_id))
        return "Trace-Id: not 16 hex digits";
    const auto wait = number<std::int64_t>(view(request["Max-Wait-Ms"]));
    if (!wait || *wait <= 0 || *wait > kLongestWaitMs)
        return "Max-Wait-Ms: not a time";
    call.deadline = arrived + std::chrono::milliseconds{*wait};
    if (const auto lot = view(request["X-Lot"]); !lot.empty()) {
        const auto group = number<std::uint64_t>(lot);
        if (!group || *group > 255)
            return "X-Lot: not 0 to 255";
        call.group = routing::GroupId{*group};
    } else {
        call.group_known = false;
    }
    if (const auto kb = view(request["Reserve-Kb"]); !kb.empty()) {
        const auto size = number<double>(kb);
        if (!size || !std::isfinite(*size) || *size < 0 || *size > kLargestKb)
            return "Reserve-Kb: not a size";
        call.size_kb = *size;
    }
    const auto key = idempotency_key(request);
    if (!key)
        return "Replay-Key: not one key";
    call.idempotency_key = *key;
    call.client_tag = bare_tag(view(request[http::field::if_none_match]));
    call.write = request.method() == http::verb::put;
    if (call.write)
        call.body = std::make_shared<const std::string>(std::move(request.body()));
    return call;
}

net::HttpResponse response_of(core::Answer answer) {
    using Kind = core::Answer::Kind;
    net::HttpResponse r{http::status::bad_gateway, 11};
    switch (answer.kind) {
        case Kind::served:
            r.result(http::status::ok);
            r.body() = std::move(answer.body);
            break;
        case Kind::not_modified:
            r.result(http::status::not_modified);
            break;
        case Kind::rejected:
            r.result(http::status::service_unavailable);
            if (answer.retry_after > core::Span{})
                r.set("Hold-Off-Ms", std::to_string(answer.retry_after / std::chrono::milliseconds{1}));
            break;
        case Kind::failed:
            if (answer.timed_out)
                r.result(http::status::gateway_timeout);
            break;
        case Kind::redirected:
            break;  // never asked for by this front
    }
    if (!answer.tag.empty())
        r.set(http::field::etag, "\"" + answer.tag + "\"");
    return r;
}

void Platform::handle(const std::shared_ptr<net::HttpSession>& session, net::HttpRequest request) {
    if (request.method() == http::verb::get && request.target() == "/alive") {
        net::HttpResponse r{lifecycle_.ready() ? http::status::ok : http::status::service_unavailable, 11};
        r.body() = Lifecycle::name(lifecycle_.phase());
        return session->respond(std::move(r));
    }
    if (request.method() == http::verb::get && request.target() == "/counters") {
        net::HttpResponse r{http::status::ok, 11};
        r.body() = engine_.counters().text();
        if (more_counters_)
            r.body() += more_counters_();
        return session->respond(std::move(r));
    }
    auto call = parse_call(std::move(request), session->arrived());
    if (const auto* why = std::get_if<std::string>(&call)) {
        log_.line("bad-call", "%s", why->c_str());
        return session->respond({http::status::bad_request, 11});
    }
    std::get<core::ClientRequest>(call).client = session->client();
    const auto id =
        engine_.submit(std::get<core::ClientRequest>(std::move(call)), std::make_shared<Reply>(session));
    if (id)
        session->when_gone([&engine = engine_, id = *id] { engine.client_closed(id); });
}

}  // namespace silverrail::front
