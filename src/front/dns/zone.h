// Maps the names of the zone to what they identify: objects or the zone's own records.
#pragma once

#include <functional>
#include <map>

#include "core/types.h"
#include "front/dns/name.h"

namespace silverrail::front::dns {

struct ZoneSettings {
    Name name;
    Name name_server;                  // inside the zone; used in NS and SOA records and in the certificate
    std::string name_server_address;   // IP address of the name server
    Name mailbox;                      // RNAME of the SOA record
    std::uint32_t redirect_ttl_s = 1;  // of responses that name a server
    std::uint32_t static_ttl_s = 300;  // of the zone's own records
    core::Span deadline = std::chrono::milliseconds{1000};  // of requests made from queries
};

// What a name identifies. The name of an object is [piece-N.][lot-N.]OBJECT.CLASS.ZONE: segment number, purge
// group, id of 16 hex digits, and class.
struct ZoneEntry {
    enum class Kind {
        outside_zone,
        apex,
        name_server,
        empty_non_terminal,    // has no records, but has subdomains (RFC 8020)
        object,                // described by `request`
        non_idempotent_class,  // or a name below; not served, because resolvers retry queries on their own
        txt,                   // has TXT records
        nonexistent
    };
    Kind kind = Kind::nonexistent;
    core::ClientRequest request{};
};

// Lookups of request classes by name.
struct RequestClasses {
    std::function<bool(const std::string& name)> exists;
    std::function<bool(const std::string& name)> non_idempotent;
};

// TXT records added at run time, by owner name.
using TxtRecords = std::multimap<Name, std::string>;

ZoneEntry find_entry(const Name& name, const ZoneSettings& zone, const RequestClasses& classes,
                     const TxtRecords& texts);

}  // namespace silverrail::front::dns
