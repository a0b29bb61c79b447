#include "app/handover.h"

namespace silverrail::app {

namespace {
constexpr std::chrono::milliseconds kPollInterval{200};
}

Handover::Handover(net::asio::io_context& io, const std::string& registry_path, Log& log)
    : log_(log), timer_(io) {
    if (registry_path.empty())
        return;
    try {
        registry_.emplace(registry_path);
    } catch (const std::exception& error) {
        log_.line("process-registry", "%s: other processes of this router are not seen, nor is this one",
                  error.what());
    }
    last_count_ = processes();
}

void Handover::on_change(std::function<void(std::size_t)> changed) {
    changed_ = std::move(changed);
    if (registry_)
        poll();
}

void Handover::poll() {
    if (const std::size_t count = processes(); count != last_count_) {
        log_.line("handover", "%zu processes of this router, %zu before", count, last_count_);
        last_count_ = count;
        changed_(count);
    }
    timer_.expires_after(kPollInterval);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            poll();
    });
}

}  // namespace silverrail::app
