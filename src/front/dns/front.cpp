#include "front/dns/front.h"

#include "config/endpoint.h"

namespace silverrail::front::dns {

namespace {
using namespace std::chrono_literals;

// Rule: no answer names a server later than 2 s after it was said to drain. One given just before that lives
// for its TTL of 1 s at most; so it must have left within half a second, and half a second is for the way.
constexpr auto kLeaveWithin = 500ms;
}  // namespace

class Front::Sink : public core::ReplySink {
public:
    Sink(const Front& front, Query query, std::size_t limit, net::DnsReply reply)
        : front_(front), query_(std::move(query)), limit_(limit), reply_(std::move(reply)) {}
    void reply(core::Answer answer) override {
        reply_(front_.from_core(query_, answer, limit_));
    }

private:
    const Front& front_;
    Query query_;
    std::size_t limit_;
    net::DnsReply reply_;
};

Front::Front(core::Engine& engine, const core::Clock& clock, ZoneSettings zone, Log& log)
    : engine_(engine),
      clock_(clock),
      zone_(std::move(zone)),
      log_(log),
      classes_{[this](const std::string& name) { return engine_.knows_class(name); },
               [this](const std::string& name) {
                   return engine_.is_unsafe_class(name);
               }} {}

void Front::handle(std::string_view bytes, const net::DnsFrom& from, net::DnsReply reply) {
    const auto parsed = parse_query(bytes);
    if (const auto* bad = std::get_if<Unreadable>(&parsed)) {
        log_.line("bad-query", "%zu bytes", bytes.size());
        if (bad->answer)
            reply({encode(*bad), {}, {}});
        return;
    }
    const Query& query = std::get<Query>(parsed);
    answer_query(query, from, std::move(reply));
}

void Front::answer_query(const Query& query, const net::DnsFrom& from, net::DnsReply reply) {
    const std::size_t limit = from.datagram ? udp_limit(query) : 65535;
    const auto say = [&](const Response& r) {
        reply({encode(query, r, zone_.zone, limit), {}, {}});
    };
    if (query.edns && query.edns->version > 0) {
        Response r;
        r.rcode = Rcode::bad_version;
        r.authoritative = false;
        return say(r);
    }
    Meaning meaning = meaning_of(query.name, zone_, classes_, texts_);
    if (query.class_ != 1 || meaning.kind == Meaning::Kind::outside) {
        Response r = failure(Rcode::refused, Extended::not_authoritative, "not in a zone served here");
        r.authoritative = false;
        return say(r);
    }
    if (meaning.kind == Meaning::Kind::never_repeat)
        return say(failure(Rcode::refused, Extended::prohibited,
                           "a resolver repeats by itself, and this class must never run twice"));
    const bool wants_address = query.type == static_cast<std::uint16_t>(Type::a) ||
                               query.type == static_cast<std::uint16_t>(Type::aaaa);
    // Asked for both families, the module counts a read once: no call where no server has such an address.
    if (meaning.kind == Meaning::Kind::object && wants_address &&
        engine_.has_address_family(query.type == static_cast<std::uint16_t>(Type::aaaa))) {
        meaning.call.front = core::Front::dns;
        meaning.call.client = from.client;
        return ask_core(query, std::move(meaning.call), limit, std::move(reply));
    }
    say(fixed(query, meaning));
}

Record Front::soa() const {
    return {true, Type::soa, zone_.ttl, soa_data(zone_.server, zone_.mailbox, 1, zone_.ttl)};
}

// NXDOMAIN, or NODATA.
Response Front::negative(Rcode rcode) const {
    Response r;
    r.rcode = rcode;
    r.authority.push_back(soa());
    return r;
}

Response Front::failure(Rcode rcode, Extended code, std::string text) const {
    Response r;
    r.rcode = rcode;
    r.authoritative = false;
    r.extended = code;
    r.extended_text = std::move(text);
    return r;
}

Response Front::fixed(const Query& query, const Meaning& meaning) const {
    using Kind = Meaning::Kind;
    if (meaning.kind == Kind::unknown)
        return negative(Rcode::name_error);
    Response r;
    const auto type = static_cast<Type>(query.type);
    const auto put = [&](Type t, std::string data) {
        r.answers.push_back({false, t, zone_.fixed_ttl, data});
    };
    if (type == Type::any) {
        put(Type::hinfo, text_data("RFC8482") + text_data(""));  // never all there is (RFC 8482)
    } else if (meaning.kind == Kind::apex && type == Type::soa) {
        r.answers.push_back(soa());
    } else if (meaning.kind == Kind::apex && type == Type::ns) {
        put(Type::ns, wire_name(zone_.server));
    } else if (meaning.kind == Kind::server && (type == Type::a || type == Type::aaaa)) {
        const std::string data = address_data(zone_.server_address);
        if (data.size() == (type == Type::a ? 4u : 16u))
            put(type, data);
    } else if (meaning.kind == Kind::text && type == Type::txt) {
        const auto [begin, end] = texts_.equal_range(query.name);
        for (auto at = begin; at != end; ++at)
            r.answers.push_back({false, Type::txt, 0, text_data(at->second)});
    }
    return r.answers.empty() ? negative(Rcode::no_error) : r;
}

void Front::ask_core(const Query& query, core::ClientRequest call, std::size_t limit, net::DnsReply reply) {
    call.deadline = clock_.now() + zone_.deadline;
    engine_.submit(std::move(call), std::make_shared<Sink>(*this, query, limit, std::move(reply)));
}

net::DnsAnswer Front::from_core(const Query& query, const core::Answer& answer, std::size_t limit) const {
    using Kind = core::Answer::Kind;
    const auto finished = [&](const Response& r) {
        return encode(query, r, zone_.zone, limit);
    };
    if (answer.kind == Kind::redirected) {
        const auto server = config::parse_endpoint(answer.server_address);
        const std::string data = server ? address_data(server->host) : std::string{};
        const auto type = static_cast<Type>(query.type);
        if (data.size() != (type == Type::a ? 4u : 16u))
            return {finished(negative(Rcode::no_error)), {}, {}};
        Response r;
        r.answers.push_back({false, type, zone_.ttl, data});
        return {finished(r), clock_.now() + kLeaveWithin,
                finished(failure(Rcode::server_failure, Extended::not_ready, "the answer waited too long"))};
    }
    if (answer.timed_out)
        return {finished(failure(Rcode::server_failure, Extended::network_error, "the deadline has passed")),
                {},
                {}};
    if (answer.kind == Kind::rejected) {
        std::string text = "refused for now";
        if (answer.retry_after > core::Span{})
            text += "; come back in " + std::to_string(answer.retry_after / 1ms) + " ms";
        return {finished(failure(Rcode::server_failure, Extended::not_ready, text)), {}, {}};
    }
    return {finished(failure(Rcode::server_failure, Extended::other, "failed")), {}, {}};
}

}  // namespace silverrail::front::dns
