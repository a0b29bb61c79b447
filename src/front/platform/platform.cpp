#include "front/platform/platform.h"

#include <algorithm>
#include <cmath>

#include "config/hex.h"
#include "config/number.h"

namespace silverrail::front {

namespace http = net::http;

namespace {

using config::parse_number;
using net::to_string_view;

constexpr unsigned kHttp11 = 11;

// Request targets.
constexpr std::string_view kHealthTarget = "/alive";
constexpr std::string_view kCountersTarget = "/counters";
constexpr std::string_view kObjectPrefix = "/ops/";
constexpr std::string_view kSegmentPrefix = "piece-";

// Request headers.
constexpr const char* kRequestId = "Trace-Id";
constexpr const char* kTimeoutMs = "Max-Wait-Ms";
constexpr const char* kPurgeGroup = "X-Lot";
constexpr const char* kExpectedKb = "Reserve-Kb";
constexpr const char* kIdempotencyKey = "Replay-Key";

constexpr const char* kClientTag = "If-None-Match";

// Response headers.
constexpr const char* kRetryAfterMs = "Hold-Off-Ms";

constexpr std::size_t kIdDigits = 16;  // of request and object ids
constexpr std::int64_t kMaxTimeoutMs = 600'000;
constexpr std::uint64_t kMaxPurgeGroup = 255;
constexpr double kMaxExpectedKb = 1e7;
constexpr std::size_t kMaxTagBytes = 128;
constexpr std::size_t kMaxKeyBytes = 128;

// Parses "piece-N". Leading zeros are rejected: requests to servers write the number without them.
std::optional<std::uint32_t> parse_segment(std::string_view text) {
    if (!text.starts_with(kSegmentPrefix))
        return std::nullopt;
    text.remove_prefix(kSegmentPrefix.size());
    const auto segment = parse_number<std::uint32_t>(text);
    if (!segment || std::to_string(*segment) != text)
        return std::nullopt;
    return segment;
}

// Parses "/ops/CLASS/OBJECT/piece-N". Returns false if the target has another form.
bool parse_target(std::string_view target, core::ClientRequest& client_request) {
    if (!target.starts_with(kObjectPrefix))
        return false;
    target.remove_prefix(kObjectPrefix.size());
    const auto object_at = target.find('/');
    if (object_at == std::string_view::npos || object_at == 0)
        return false;
    const auto segment_at = target.find('/', object_at + 1);
    if (segment_at == std::string_view::npos)
        return false;
    client_request.class_name = target.substr(0, object_at);
    client_request.object = target.substr(object_at + 1, segment_at - object_at - 1);
    const auto object = config::parse_hex(client_request.object);
    const auto segment = parse_segment(target.substr(segment_at + 1));
    if (!object || client_request.object.size() != kIdDigits || !segment)
        return false;
    client_request.object_id = routing::ObjectId{*object};
    client_request.segment = *segment;
    return true;
}

// The entity tag without its quotes. Empty for a list or a weak tag, which cannot identify a cached copy
// here, and for a tag with characters that a server could not parse.
std::string unquoted_tag(std::string_view text) {
    if (text.size() < 3 || text.size() > kMaxTagBytes || text.front() != '"' || text.back() != '"')
        return {};
    text = text.substr(1, text.size() - 2);
    const bool plain = std::all_of(text.begin(), text.end(),
                                   [](char c) { return c > ' ' && c < '\x7f' && c != '"' && c != ','; });
    return plain ? std::string{text} : std::string{};
}

// Empty if the request has no key; std::nullopt if it has several keys or an invalid one.
std::optional<std::string> parse_idempotency_key(const net::HttpRequest& request) {
    const auto count = request.count(kIdempotencyKey);
    if (count == 0)
        return std::string{};
    const auto key = to_string_view(request[kIdempotencyKey]);
    const bool plain = std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c < '\x7f'; });
    if (count > 1 || key.empty() || key.size() > kMaxKeyBytes || !plain)
        return std::nullopt;
    return std::string{key};
}

std::optional<std::chrono::milliseconds> parse_timeout(const net::HttpRequest& request) {
    const auto ms = parse_number<std::int64_t>(to_string_view(request[kTimeoutMs]));
    if (!ms || *ms <= 0 || *ms > kMaxTimeoutMs)
        return std::nullopt;
    return std::chrono::milliseconds{*ms};
}

// Returns false if the header is present but not a valid group.
bool parse_purge_group(const net::HttpRequest& request, core::ClientRequest& client_request) {
    const auto text = to_string_view(request[kPurgeGroup]);
    client_request.group_known = !text.empty();
    if (!client_request.group_known)
        return true;
    const auto group = parse_number<std::uint64_t>(text);
    if (!group || *group > kMaxPurgeGroup)
        return false;
    client_request.group = routing::GroupId{*group};
    return true;
}

// Returns false if the header is present but not a valid size.
bool parse_expected_size(const net::HttpRequest& request, core::ClientRequest& client_request) {
    const auto text = to_string_view(request[kExpectedKb]);
    if (text.empty())
        return true;
    const auto kb = parse_number<double>(text);
    if (!kb || !std::isfinite(*kb) || *kb < 0 || *kb > kMaxExpectedKb)
        return false;
    client_request.size_kb = *kb;
    return true;
}

class Reply : public core::ResponseSink {
public:
    explicit Reply(std::shared_ptr<net::HttpSession> session) : session_(std::move(session)) {}
    void reply(core::ClientResponse answer) override {
        if (const auto session = std::exchange(session_, nullptr))
            session->respond(response_of(std::move(answer)));
    }
    bool client_closed() const override {
        return session_ && session_->client_left();
    }

private:
    std::shared_ptr<net::HttpSession> session_;
};

}  // namespace

const std::array<std::string_view, 6> kRequestFields{kRequestId,  kTimeoutMs,      kPurgeGroup,
                                                     kExpectedKb, kIdempotencyKey, kClientTag};

std::variant<core::ClientRequest, RequestError> parse_request(net::HttpRequest request, core::Time arrived) {
    core::ClientRequest client_request;
    if (request.method() != http::verb::get && request.method() != http::verb::put)
        return RequestError{"method is neither GET nor PUT"};
    if (!parse_target(to_string_view(request.target()), client_request))
        return RequestError{"target is not /ops/CLASS/OBJECT/piece-N"};
    client_request.trace_id = to_string_view(request[kRequestId]);
    if (client_request.trace_id.size() != kIdDigits || !config::parse_hex(client_request.trace_id))
        return RequestError{"Trace-Id: not 16 hex digits"};
    const auto timeout = parse_timeout(request);
    if (!timeout)
        return RequestError{"Max-Wait-Ms: not an integer from 1 to 600000"};
    client_request.deadline = arrived + *timeout;
    if (!parse_purge_group(request, client_request))
        return RequestError{"X-Lot: not an integer from 0 to 255"};
    if (!parse_expected_size(request, client_request))
        return RequestError{"Reserve-Kb: not a number from 0 to 10000000"};
    const auto key = parse_idempotency_key(request);
    if (!key)
        return RequestError{"Replay-Key: not exactly one key of 1 to 128 printable ASCII characters"};
    client_request.idempotency_key = *key;
    client_request.client_tag = unquoted_tag(to_string_view(request[kClientTag]));
    client_request.write = request.method() == http::verb::put;
    if (client_request.write)
        client_request.body = std::make_shared<const std::string>(std::move(request.body()));
    return client_request;
}

net::HttpResponse response_of(core::ClientResponse answer) {
    using Kind = core::ClientResponse::Kind;
    net::HttpResponse response{http::status::bad_gateway, kHttp11};
    switch (answer.kind) {
        case Kind::served:
            response.result(http::status::ok);
            response.body() = std::move(answer.body);
            break;
        case Kind::not_modified:
            response.result(http::status::not_modified);
            break;
        case Kind::rejected:
            response.result(http::status::service_unavailable);
            if (answer.retry_after > core::Span{})
                response.set(kRetryAfterMs,
                             std::to_string(answer.retry_after / std::chrono::milliseconds{1}));
            break;
        case Kind::failed:
            if (answer.timed_out)
                response.result(http::status::gateway_timeout);
            break;
        case Kind::redirected:
            break;  // only the DNS front end requests redirects
    }
    if (!answer.tag.empty())
        response.set(http::field::etag, "\"" + answer.tag + "\"");
    return response;
}

net::HttpResponse Platform::health_response() const {
    const auto status = lifecycle_.ready() ? http::status::ok : http::status::service_unavailable;
    net::HttpResponse response{status, kHttp11};
    response.body() = Lifecycle::name(lifecycle_.phase());
    return response;
}

net::HttpResponse Platform::counters_response() const {
    net::HttpResponse response{http::status::ok, kHttp11};
    response.body() = engine_.counters().text();
    if (additional_counters_)
        response.body() += additional_counters_();
    return response;
}

void Platform::handle(const std::shared_ptr<net::HttpSession>& session, net::HttpRequest request) {
    const bool is_get = request.method() == http::verb::get;
    if (is_get && to_string_view(request.target()) == kHealthTarget)
        return session->respond(health_response());
    if (is_get && to_string_view(request.target()) == kCountersTarget)
        return session->respond(counters_response());
    auto parsed = parse_request(std::move(request), session->arrived());
    if (const auto* error = std::get_if<RequestError>(&parsed)) {
        log_.line("bad-call", "%s", error->reason.c_str());
        return session->respond({http::status::bad_request, kHttp11});
    }
    std::get<core::ClientRequest>(parsed).client = session->client();
    std::get<core::ClientRequest>(parsed).body_discarded = session->body_discarded();
    const auto id =
        engine_.submit(std::get<core::ClientRequest>(std::move(parsed)), std::make_shared<Reply>(session));
    if (id)
        session->when_disconnected([&engine = engine_, id = *id] { engine.client_closed(id); });
}

}  // namespace silverrail::front
