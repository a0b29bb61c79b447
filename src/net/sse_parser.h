// A parser of server-sent events (HTML standard), with a limit on its memory.
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
    // `max_bytes`: the maximum size of an event.
    explicit SseParser(std::size_t max_bytes = 1 << 20) : max_bytes_(max_bytes) {}
    // Calls `on_event` with each complete event; the input may be split at any byte. Returns false if an
    // event exceeds the limit; nothing more can be parsed then.
    bool feed(std::string_view bytes, const std::function<void(const Event&)>& on_event);
    // Number of complete lines so far, including comments.
    std::uint64_t lines() const {
        return lines_;
    }

private:
    void parse_line(std::string_view line, const std::function<void(const Event&)>& on_event);
    void parse_field(std::string_view line);
    void end_event(const std::function<void(const Event&)>& on_event);

    std::size_t max_bytes_;
    std::uint64_t lines_ = 0;
    std::string line_;
    Event event_;
    bool has_data_ = false;
    bool after_cr_ = false;
    bool first_line_ = true;
};

}  // namespace silverrail::net
