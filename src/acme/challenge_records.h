// TXT records that fulfil DNS-01 challenges (RFC 8555, section 8.4).
#pragma once

#include <string>

namespace silverrail::acme {

class ChallengeRecords {
public:
    virtual ~ChallengeRecords() = default;
    // Adds a TXT record at a dotted name. The record must be served by the time this returns.
    virtual void publish(const std::string& name, const std::string& content) = 0;
    // Removes all TXT records at the name.
    virtual void remove(const std::string& name) = 0;
};

}  // namespace silverrail::acme
