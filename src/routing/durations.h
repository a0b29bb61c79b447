// Conversions between a duration and seconds as a floating-point number.
#pragma once

#include <chrono>

#include "silverrail/routing/router.h"

namespace silverrail::routing {

inline double to_seconds(Span span) {
    return std::chrono::duration<double>(span).count();
}

inline Span to_span(double seconds) {
    return std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
}

}  // namespace silverrail::routing
