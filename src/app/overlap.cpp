#include "app/overlap.h"

namespace silverrail::app {

namespace {
constexpr std::chrono::milliseconds kLook{200};
}

Overlap::Overlap(net::asio::io_context& io, const std::string& file, Log& log) : log_(log), timer_(io) {
    if (file.empty())
        return;
    try {
        presence_.emplace(file);
    } catch (const std::exception& e) {
        log_.line("presence", "%s: other processes of this router are not seen, nor is this one", e.what());
    }
    last_ = processes();
}

void Overlap::follow(std::function<void(std::size_t)> changed) {
    changed_ = std::move(changed);
    if (presence_)
        look();
}

void Overlap::look() {
    if (const std::size_t now = processes(); now != last_) {
        log_.line("overlap", "%zu processes of this router, %zu before", now, last_);
        last_ = now;
        changed_(now);
    }
    timer_.expires_after(kLook);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            look();
    });
}

}  // namespace silverrail::app
