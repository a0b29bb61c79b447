// The TXT records by which a DNS-01 challenge is answered (RFC 8555, section 8.4).
#pragma once

#include <string>

namespace silverrail::acme {

class ChallengeRecords {
public:
    virtual ~ChallengeRecords() = default;
    // Adds a TXT record at a dotted name. It has to be served when this returns.
    virtual void publish(const std::string& name, const std::string& text) = 0;
    // Removes all TXT records at the name.
    virtual void remove(const std::string& name) = 0;
};

}  // namespace silverrail::acme
