// The names of the zone and what each stands for.
#pragma once

#include <functional>
#include <map>

#include "core/types.h"
#include "front/dns/message.h"

namespace silverrail::front::dns {

struct ZoneSettings {
    Name zone;
    Name server;                 // the zone's name server, inside the zone: NS, SOA and certificate name
    std::string server_address;  // its own address
    Name mailbox;                // of the SOA
    std::uint32_t ttl = 1;       // of an answer that names a server
    std::uint32_t fixed_ttl = 300;
    core::Span deadline = std::chrono::milliseconds{1000};
};

// [piece-N.][lot-N.]OBJECT.CLASS.ZONE, the object in 16 hex digits.
struct Meaning {
    enum class Kind {
        outside,  // not in this zone
        apex,
        server,        // the zone's name server
        inner,         // a name that only has others below it
        object,        // `call` says which
        never_repeat,  // of a class whose requests must not run twice
        text,          // TXT records are held there
        unknown
    };
    Kind kind = Kind::unknown;
    core::ClientRequest call;
};

// What the zone asks about classes; the core knows.
struct ClassNames {
    std::function<bool(const std::string&)> known;
    std::function<bool(const std::string&)> unsafe;
};

// TXT records set from elsewhere: the proofs of a certificate order.
using Texts = std::multimap<Name, std::string>;

Meaning meaning_of(const Name& name, const ZoneSettings& zone, const ClassNames& classes, const Texts& texts);

}  // namespace silverrail::front::dns
