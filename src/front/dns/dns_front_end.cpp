#include "front/dns/dns_front_end.h"

#include "config/endpoint.h"

namespace silverrail::front::dns {

namespace {

using namespace std::chrono_literals;

// Clients must not be sent to a server later than 2 s after it started to drain. A response is cached for its
// TTL of at most 1 s. Of the remaining second, half is for the delay here and half for the network.
constexpr auto kMaxReplyDelay = 500ms;

constexpr std::uint32_t kSoaSerial = 1;
constexpr std::uint32_t kTxtTtlSeconds = 0;
constexpr std::size_t kIpv4Bytes = 4;
constexpr std::size_t kIpv6Bytes = 16;

bool asks_for_address(const Query& query) {
    return query.asks_for(RecordType::a) || query.asks_for(RecordType::aaaa);
}

// Whether the address in `data` is of the queried address family.
bool is_wanted_address(const Query& query, const std::string& data) {
    return data.size() == (query.asks_for(RecordType::a) ? kIpv4Bytes : kIpv6Bytes);
}

Response failure(Rcode rcode, ExtendedError error, std::string text) {
    Response response;
    response.rcode = rcode;
    response.authoritative = false;
    response.extended_error = error;
    response.extended_text = std::move(text);
    return response;
}

Response failure_of(const core::ClientResponse& answer) {
    if (answer.timed_out)
        return failure(Rcode::server_failure, ExtendedError::network_error, "the deadline has passed");
    if (answer.kind != core::ClientResponse::Kind::rejected)
        return failure(Rcode::server_failure, ExtendedError::other, "failed");
    std::string text = "refused for now";
    if (answer.retry_after > core::Span{})
        text += "; come back in " + std::to_string(answer.retry_after / 1ms) + " ms";
    return failure(Rcode::server_failure, ExtendedError::not_ready, std::move(text));
}

}  // namespace

class DnsFrontEnd::Sink : public core::ResponseSink {
public:
    Sink(const DnsFrontEnd& front_end, Query query, std::size_t max_bytes, net::DnsReplyHandler reply)
        : front_end_(front_end), query_(std::move(query)), max_bytes_(max_bytes), reply_(std::move(reply)) {}
    void reply(core::ClientResponse answer) override {
        reply_(front_end_.reply_of(query_, answer, max_bytes_));
    }

private:
    const DnsFrontEnd& front_end_;
    Query query_;
    std::size_t max_bytes_;
    net::DnsReplyHandler reply_;
};

DnsFrontEnd::DnsFrontEnd(core::Engine& engine, const core::Clock& clock, ZoneSettings zone, Log& log)
    : engine_(engine),
      clock_(clock),
      zone_(std::move(zone)),
      log_(log),
      classes_{.exists = [this](const std::string& name) { return engine_.knows_class(name); },
               .non_idempotent =
                   [this](const std::string& name) {
                       return engine_.is_unsafe_class(name);
                   }} {}

void DnsFrontEnd::handle(std::string_view bytes, const net::DnsQuerySource& source,
                         net::DnsReplyHandler reply) {
    const auto parsed = parse_query(bytes);
    if (const auto* query = std::get_if<Query>(&parsed))
        return answer(*query, source, std::move(reply));
    log_.line("bad-query", "%zu bytes", bytes.size());
    const auto& error = std::get<QueryError>(parsed);
    if (error.respond)
        reply({.bytes = encode_error(error)});
}

void DnsFrontEnd::answer(const Query& query, const net::DnsQuerySource& source, net::DnsReplyHandler reply) {
    const std::size_t max_bytes = source.datagram ? max_udp_response(query) : kMaxMessageBytes;
    ZoneEntry entry = find_entry(query.name, zone_, classes_, txt_records_);
    if (const auto response = local_response(query, entry))
        return reply({.bytes = encode(query, *response, max_bytes)});
    entry.request.front_end = core::FrontEnd::dns;
    entry.request.client = source.client;
    submit(query, std::move(entry.request), max_bytes, std::move(reply));
}

std::optional<Response> DnsFrontEnd::local_response(const Query& query, const ZoneEntry& entry) const {
    using Kind = ZoneEntry::Kind;
    if (query.edns && query.edns->version > 0)
        return Response{.rcode = Rcode::bad_version, .authoritative = false};
    if (query.record_class != kInternetClass || entry.kind == Kind::outside_zone)
        return failure(Rcode::refused, ExtendedError::not_authoritative, "not in a zone served here");
    if (entry.kind == Kind::non_idempotent_class)
        return failure(Rcode::refused, ExtendedError::prohibited,
                       "a resolver repeats by itself, and this class must never run twice");
    // Resolvers query both address families, and a read must not be counted twice. The request is therefore
    // submitted to the core only if a server has an address of the queried family.
    const bool is_request = entry.kind == Kind::object && asks_for_address(query) &&
                            engine_.has_address_family(query.asks_for(RecordType::aaaa));
    if (is_request)
        return std::nullopt;
    return zone_response(query, entry);
}

// The response from the zone's own records, or NXDOMAIN or NODATA if there are none.
Response DnsFrontEnd::zone_response(const Query& query, const ZoneEntry& entry) const {
    if (entry.kind == ZoneEntry::Kind::nonexistent)
        return negative(Rcode::name_error);
    Response response;
    response.answers = zone_records(query, entry);
    return response.answers.empty() ? negative(Rcode::no_error) : response;
}

std::vector<Record> DnsFrontEnd::zone_records(const Query& query, const ZoneEntry& entry) const {
    using Kind = ZoneEntry::Kind;
    const auto type = static_cast<RecordType>(query.type);
    const auto static_record = [&](RecordType record_type, std::string data) {
        return Record{.type = record_type, .ttl_s = zone_.static_ttl_s, .data = std::move(data)};
    };
    // ANY queries get a minimal HINFO response instead of all records (RFC 8482).
    if (type == RecordType::any)
        return {static_record(RecordType::hinfo, txt_data("RFC8482") + txt_data(""))};
    if (entry.kind == Kind::apex && type == RecordType::soa)
        return {soa()};
    if (entry.kind == Kind::apex && type == RecordType::ns)
        return {static_record(RecordType::ns, encode_name(zone_.name_server))};
    if (entry.kind == Kind::name_server && asks_for_address(query)) {
        std::string address = address_data(zone_.name_server_address);
        if (is_wanted_address(query, address))
            return {static_record(type, std::move(address))};
    }
    std::vector<Record> records;
    if (entry.kind == Kind::txt && type == RecordType::txt) {
        const auto [begin, end] = txt_records_.equal_range(query.name);
        for (auto at = begin; at != end; ++at)
            records.push_back(
                {.type = RecordType::txt, .ttl_s = kTxtTtlSeconds, .data = txt_data(at->second)});
    }
    return records;
}

Record DnsFrontEnd::soa() const {
    return {.at_apex = true,
            .type = RecordType::soa,
            .ttl_s = zone_.redirect_ttl_s,
            .data = soa_data(zone_.name_server, zone_.mailbox, kSoaSerial, zone_.redirect_ttl_s)};
}

Response DnsFrontEnd::negative(Rcode rcode) const {
    Response response;
    response.rcode = rcode;
    response.authority.push_back(soa());
    return response;
}

std::string DnsFrontEnd::encode(const Query& query, const Response& response, std::size_t max_bytes) const {
    return encode_response(query, response, zone_.name, max_bytes);
}

void DnsFrontEnd::submit(const Query& query, core::ClientRequest request, std::size_t max_bytes,
                         net::DnsReplyHandler reply) {
    request.deadline = clock_.now() + zone_.deadline;
    engine_.submit(std::move(request), std::make_shared<Sink>(*this, query, max_bytes, std::move(reply)));
}

net::DnsReply DnsFrontEnd::reply_of(const Query& query, const core::ClientResponse& answer,
                                    std::size_t max_bytes) const {
    if (answer.kind == core::ClientResponse::Kind::redirected)
        return redirect(query, answer.server_address, max_bytes);
    return {.bytes = encode(query, failure_of(answer), max_bytes)};
}

net::DnsReply DnsFrontEnd::redirect(const Query& query, const std::string& server_address,
                                    std::size_t max_bytes) const {
    const auto server = config::parse_endpoint(server_address);
    std::string data = server ? address_data(server->host) : std::string{};
    if (!is_wanted_address(query, data))
        return {.bytes = encode(query, negative(Rcode::no_error), max_bytes)};
    Response response;
    response.answers.push_back({.type = static_cast<RecordType>(query.type),
                                .ttl_s = zone_.redirect_ttl_s,
                                .data = std::move(data)});
    const Response too_late =
        failure(Rcode::server_failure, ExtendedError::not_ready, "the answer waited too long");
    return {.bytes = encode(query, response, max_bytes),
            .send_by = clock_.now() + kMaxReplyDelay,
            .bytes_if_late = encode(query, too_late, max_bytes)};
}

}  // namespace silverrail::front::dns
