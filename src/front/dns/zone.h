// The names of the zone, and what each stands for.
#pragma once

#include <functional>
#include <map>

#include "core/types.h"
#include "front/dns/name.h"

namespace silverrail::front::dns {

struct ZoneSettings {
    Name name;
    Name name_server;                 // the zone's name server, inside the zone: NS, SOA and certificate name
    std::string name_server_address;  // of the name server itself
    Name mailbox;                     // of the SOA record
    std::uint32_t redirect_ttl_s = 1;                       // of an answer that names a server of the list
    std::uint32_t static_ttl_s = 300;                       // of the zone's own records
    core::Span deadline = std::chrono::milliseconds{1000};  // of the requests that queries become
};

// An object's name is [piece-N.][lot-N.]OBJECT.CLASS.ZONE: its part, its purge group, its id in 16 hex digits
// and its class.
struct ZoneEntry {
    enum class Kind {
        outside_zone,
        apex,
        name_server,
        empty_non_terminal,    // it only has other names below it (RFC 8020)
        object,                // `request` says which
        non_idempotent_class,  // or below one; resolvers repeat queries by themselves
        txt,                   // there are TXT records
        nonexistent
    };
    Kind kind = Kind::nonexistent;
    core::ClientRequest request{};
};

// What the zone has to know about classes of requests.
struct RequestClasses {
    std::function<bool(const std::string& name)> exists;
    std::function<bool(const std::string& name)> non_idempotent;
};

// TXT records that are set at run time.
using TxtRecords = std::multimap<Name, std::string>;

ZoneEntry find_entry(const Name& name, const ZoneSettings& zone, const RequestClasses& classes,
                     const TxtRecords& texts);

}  // namespace silverrail::front::dns
