#include "app/bans_part.h"

namespace silverrail::app {

namespace {
constexpr std::chrono::milliseconds kLook{200};
}

BansPart::BansPart(net::asio::io_context& io, core::Engine& engine, const std::string& file, Log& log)
    : engine_(engine), log_(log), timer_(io) {
    if (file.empty()) {
        log_.line("bans", "TMPDIR is not set: they are kept in this process only");
        return;
    }
    file_.emplace(file);
    (void)file_->changed();
    read();
}

void BansPart::start() {
    if (file_) look();
}

// Guards rule 3 over an upgrade: a call to the one process binds the other within the grace.
void BansPart::look() {
    if (file_->changed()) read();
    timer_.expires_after(kLook);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error) look();
    });
}

// What is not readable lifts no ban that is in force here.
void BansPart::read() {
    try {
        engine_.set_bans(file_->read());
    } catch (const std::exception& e) { log_.line("bans", "%s; what is out here stays out", e.what()); }
}

bool BansPart::known(const core::CacheId& box) const {
    return engine_.lists(box) || engine_.bans().contains(box);
}

front::admin::Verdict BansPart::out(const core::CacheId& box) {
    if (!known(box)) return {false, "no such box"};
    members::Bans own = engine_.bans();
    if (!own.add(box)) return {false, "too many are out"};
    engine_.set_bans(own);
    log_.line("box-out", "%s by hand, %zu are out", box.address.c_str(), own.ids().size());
    if (!file_) return {true, "out, in this process only"};
    try {
        engine_.set_bans(file_->change(own, [&](members::Bans& bans) { bans.add(box); }));
    } catch (const std::exception& e) {
        log_.line("bans", "%s", e.what());
        return {false, std::string{"out in this process, but not kept for another: "} + e.what()};
    }
    return {true, "out"};
}

front::admin::Verdict BansPart::back(const core::CacheId& box) {
    if (!known(box)) return {false, "no such box"};
    members::Bans own = engine_.bans();
    own.remove(box);
    if (file_) try {
            own = file_->change(own, [&](members::Bans& bans) { bans.remove(box); });
        } catch (const std::exception& e) {
            log_.line("bans", "%s", e.what());
            return {false, std::string{"nothing was changed: "} + e.what()};
        }
    engine_.set_bans(own);
    log_.line("box-back", "%s by hand, %zu are out", box.address.c_str(), own.ids().size());
    return {true, "in use"};
}

}  // namespace silverrail::app
