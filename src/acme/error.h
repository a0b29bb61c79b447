// The error that ends a certificate order.
#pragma once

#include <stdexcept>
#include <string>

#include "core/types.h"

namespace silverrail::acme {

// The order failed: the authority sent an error or an invalid response, or did not respond.
class AcmeError : public std::runtime_error {
public:
    // `retry_after`: the minimum delay before the next order, as requested by the authority; 0 if none.
    explicit AcmeError(const std::string& reason, core::Span retry_after = {})
        : std::runtime_error(reason), retry_after_(retry_after) {}
    core::Span retry_after() const {
        return retry_after_;
    }

private:
    core::Span retry_after_;
};

}  // namespace silverrail::acme
