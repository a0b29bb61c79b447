#include "net/sse_parser.h"

namespace silverrail::net {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

}  // namespace

bool SseParser::feed(std::string_view bytes, const std::function<void(const Event&)>& on_event) {
    for (const char c : bytes) {
        if (c == '\n' && after_cr_) {  // the LF of a CR LF
            after_cr_ = false;
            continue;
        }
        after_cr_ = c == '\r';
        if (c == '\r' || c == '\n') {
            ++lines_;
            parse_line(line_, on_event);
            line_.clear();
        } else {
            line_ += c;
            if (line_.size() + event_.data.size() > max_bytes_)
                return false;
        }
    }
    return true;
}

void SseParser::parse_line(std::string_view line, const std::function<void(const Event&)>& on_event) {
    if (first_line_ && line.starts_with(kByteOrderMark))
        line.remove_prefix(kByteOrderMark.size());
    first_line_ = false;
    if (line.empty())
        return end_event(on_event);
    const bool comment = line.front() == ':';
    if (!comment)
        parse_field(line);
}

void SseParser::end_event(const std::function<void(const Event&)>& on_event) {
    if (has_data_)
        on_event(event_);
    event_.data.clear();
    has_data_ = false;
}

void SseParser::parse_field(std::string_view line) {
    const auto colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (name == "data") {
        if (has_data_)
            event_.data += '\n';
        event_.data += value;
        has_data_ = true;
    } else if (name == "id" && value.find('\0') == std::string_view::npos) {
        event_.id = value;
    }
}

}  // namespace silverrail::net
