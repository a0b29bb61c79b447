#include "net/sse.h"

namespace silverrail::net {

bool SseParser::feed(std::string_view bytes, const std::function<void(const Event&)>& take) {
    for (const char c : bytes) {
        if (c == '\n' && after_cr_) {  // the second half of a CR LF
            after_cr_ = false;
            continue;
        }
        after_cr_ = c == '\r';
        if (c == '\r' || c == '\n') {
            ++lines_;
            line(line_, take);
            line_.clear();
        } else {
            line_ += c;
            if (line_.size() + event_.data.size() > most_)
                return false;
        }
    }
    return true;
}

void SseParser::line(std::string_view text, const std::function<void(const Event&)>& take) {
    if (first_ && text.substr(0, 3) == "\xEF\xBB\xBF")
        text.remove_prefix(3);
    first_ = false;
    if (text.empty()) {
        if (has_data_)
            take(event_);
        event_.data.clear();
        has_data_ = false;
        return;
    }
    if (text.front() == ':')
        return;  // a comment: only a sign of life
    const auto colon = text.find(':');
    const std::string_view field = text.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view{} : text.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (field == "data") {
        if (has_data_)
            event_.data += '\n';
        event_.data += value;
        has_data_ = true;
    } else if (field == "id" && value.find('\0') == std::string_view::npos) {
        event_.id = value;
    }
}

}  // namespace silverrail::net
