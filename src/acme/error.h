// Why a certificate order was given up.
#pragma once

#include <stdexcept>
#include <string>

#include "core/types.h"

namespace silverrail::acme {

// The authority's answer, or the lack of one, ends the order.
class AcmeError : public std::runtime_error {
public:
    // `retry_after`: what the authority asked for before the next order; 0: nothing.
    explicit AcmeError(const std::string& reason, core::Span retry_after = {})
        : std::runtime_error(reason), retry_after_(retry_after) {}
    core::Span retry_after() const {
        return retry_after_;
    }

private:
    core::Span retry_after_;
};

}  // namespace silverrail::acme
