// A parser of server-sent events (HTML standard), bounded in memory.
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
    // `max_bytes`: of one event.
    explicit SseParser(std::size_t max_bytes = 1 << 20) : max_bytes_(max_bytes) {}
    // Calls `on_event` with each complete event; bytes may be cut anywhere. Returns false if an event is
    // longer than the bound; nothing more can be parsed then.
    bool feed(std::string_view bytes, const std::function<void(const Event&)>& on_event);
    // Complete lines so far, comments among them.
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
