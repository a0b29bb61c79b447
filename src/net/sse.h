// Server-sent events, as the HTML standard words them, bounded.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace silverrail::net {

class SseParser {
public:
    struct Event {
        std::string id;
        std::string data;
    };
    explicit SseParser(std::size_t most_bytes = 1 << 20) : most_(most_bytes) {}
    // Gives each whole event to `take`. False: an event is longer than the bound; nothing more is read.
    bool feed(std::string_view bytes, const std::function<void(const Event&)>& take);
    // Whole lines read so far, comments among them.
    std::uint64_t lines() const {
        return lines_;
    }

private:
    void line(std::string_view text, const std::function<void(const Event&)>& take);
    std::size_t most_;
    std::uint64_t lines_ = 0;
    std::string line_;
    Event event_;
    bool has_data_ = false;
    bool after_cr_ = false;
    bool first_ = true;
};

}  // namespace silverrail::net
