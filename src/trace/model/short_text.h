// A short text stored in place, without an allocation.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace silverrail::trace::model {

// Holds up to 23 bytes and truncates longer texts; server ids and addresses are shorter.
class ShortText {
public:
    ShortText() = default;
    ShortText(std::string_view text)
        : size_(static_cast<std::uint8_t>(std::min(text.size(), sizeof bytes_))) {
        std::copy_n(text.begin(), size_, bytes_);
    }
    std::string_view text() const {
        return {bytes_, size_};
    }
    bool empty() const {
        return size_ == 0;
    }

private:
    char bytes_[23]{};
    std::uint8_t size_ = 0;
};

}  // namespace silverrail::trace::model
