// DNS queries into calls, answers into DNS responses. Which server is named is never decided here.
#pragma once

#include <functional>
#include <memory>

#include "core/engine.h"
#include "front/dns/zone.h"
#include "net/dns_server.h"

namespace silverrail::front::dns {

class Front {
public:
    Front(core::Engine& engine, const core::Clock& clock, ZoneSettings zone, Log& log);
    // `reply` gets one answer, or none for what must not be answered.
    void handle(std::string_view bytes, const net::DnsFrom& from, net::DnsReply reply);

    // Proofs of a certificate order (TXT).
    void set_text(const Name& name, std::string text) {
        texts_.emplace(name, std::move(text));
    }
    void clear_texts(const Name& name) {
        texts_.erase(name);
    }
    const ZoneSettings& zone() const {
        return zone_;
    }

private:
    class Sink;
    void answer_query(const Query& query, const net::DnsFrom& from, net::DnsReply reply);
    Response negative(Rcode rcode) const;
    Response failure(Rcode rcode, Extended code, std::string text) const;
    Response fixed(const Query& query, const Meaning& meaning) const;
    void ask_core(const Query& query, core::ClientRequest call, std::size_t limit, net::DnsReply reply);
    net::DnsAnswer from_core(const Query& query, const core::Answer& answer, std::size_t limit) const;
    Record soa() const;

    core::Engine& engine_;
    const core::Clock& clock_;
    ZoneSettings zone_;
    Log& log_;
    ClassNames classes_;
    Texts texts_;
};

}  // namespace silverrail::front::dns
