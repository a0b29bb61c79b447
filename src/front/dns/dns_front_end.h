// The DNS front end: converts DNS queries to core::ClientRequest and core::Answer to DNS responses. The core
// selects the server that a response names.
#pragma once

#include <memory>

#include "core/engine.h"
#include "front/dns/response.h"
#include "front/dns/zone.h"
#include "net/dns_server.h"

namespace silverrail::front::dns {

// Authoritative DNS server for one zone.
class DnsFrontEnd {
public:
    DnsFrontEnd(core::Engine& engine, const core::Clock& clock, ZoneSettings zone, Log& log);
    // Calls `reply` once, possibly after this returns, or never if no response may be sent.
    void handle(std::string_view bytes, const net::DnsQuerySource& source, net::DnsReplyHandler reply);

    // TXT records for DNS-01 challenges of certificate orders.
    void add_txt_record(const Name& name, std::string content) {
        txt_records_.emplace(name, std::move(content));
    }
    void remove_txt_records(const Name& name) {
        txt_records_.erase(name);
    }
    const ZoneSettings& zone() const {
        return zone_;
    }

private:
    class Sink;
    void answer(const Query& query, const net::DnsQuerySource& source, net::DnsReplyHandler reply);
    // The response, if it does not need the core; std::nullopt for an address query for an object.
    std::optional<Response> local_response(const Query& query, const ZoneEntry& entry) const;
    Response zone_response(const Query& query, const ZoneEntry& entry) const;
    std::vector<Record> zone_records(const Query& query, const ZoneEntry& entry) const;
    void submit(const Query& query, core::ClientRequest request, std::size_t max_bytes,
                net::DnsReplyHandler reply);
    net::DnsReply reply_of(const Query& query, const core::ClientResponse& answer,
                           std::size_t max_bytes) const;
    net::DnsReply redirect(const Query& query, const std::string& server_address,
                           std::size_t max_bytes) const;
    std::string encode(const Query& query, const Response& response, std::size_t max_bytes) const;
    Response negative(Rcode rcode) const;
    Record soa() const;

    core::Engine& engine_;
    const core::Clock& clock_;
    ZoneSettings zone_;
    Log& log_;
    RequestClasses classes_;
    TxtRecords txt_records_;
};

}  // namespace silverrail::front::dns
