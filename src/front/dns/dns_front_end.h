// The DNS front end: queries into the core's requests, answers into responses. The core decides which server
// is named.
#pragma once

#include <memory>

#include "core/engine.h"
#include "front/dns/response.h"
#include "front/dns/zone.h"
#include "net/dns_server.h"

namespace silverrail::front::dns {

// Answers queries for one zone.
class DnsFrontEnd {
public:
    DnsFrontEnd(core::Engine& engine, const core::Clock& clock, ZoneSettings zone, Log& log);
    // Calls `reply` once, at once or later, or never for what must not be answered.
    void handle(std::string_view bytes, const net::DnsQuerySource& source, net::DnsReplyHandler reply);

    // TXT records, by which certificate orders are proven.
    void add_txt_record(const Name& name, std::string text) {
        texts_.emplace(name, std::move(text));
    }
    void remove_txt_records(const Name& name) {
        texts_.erase(name);
    }
    const ZoneSettings& zone() const {
        return zone_;
    }

private:
    class Sink;
    void answer(const Query& query, const net::DnsQuerySource& source, net::DnsReplyHandler reply);
    // What can be answered without the core; absent for an object's address.
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
    TxtRecords texts_;
};

}  // namespace silverrail::front::dns
