#include "log/log.h"

#include <cstdarg>
#include <cstdio>

namespace silverrail {

void Log::line(const char* event, const char* format, ...) {
    const auto now = std::chrono::steady_clock::now();
    Window& w = windows_[event];
    if (w.written == 0 || now - w.began >= std::chrono::seconds{1}) {
        w.began = now;
        w.written = 0;
    }
    if (w.written >= per_second_) {
        ++w.held_back;
        return;
    }
    ++w.written;
    char text[2048];
    va_list values;
    va_start(values, format);
    std::vsnprintf(text, sizeof text, format, values);
    va_end(values);
    if (w.held_back > 0)
        std::fprintf(stderr, "%s %s (held back %llu)\n", event, text,
                     static_cast<unsigned long long>(w.held_back));
    else
        std::fprintf(stderr, "%s %s\n", event, text);
    w.held_back = 0;
}

}  // namespace silverrail
