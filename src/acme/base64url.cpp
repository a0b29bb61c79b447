#include "acme/base64url.h"

#include <cstdint>

namespace silverrail::acme {

namespace {

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned kBitsPerDigit = 6;
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint32_t kDigitMask = 0x3f;
constexpr std::uint32_t kByteMask = 0xff;
constexpr std::size_t kDigitsPerGroup = 4;  // that stand for three bytes

}  // namespace

std::string encode_base64url(std::string_view bytes) {
    std::string text;
    std::uint32_t bits = 0;
    unsigned bit_count = 0;
    for (const unsigned char byte : bytes) {
        bits = bits << kBitsPerByte | byte;
        bit_count += kBitsPerByte;
        while (bit_count >= kBitsPerDigit) {
            bit_count -= kBitsPerDigit;
            text += kDigits[bits >> bit_count & kDigitMask];
        }
    }
    if (bit_count > 0)
        text += kDigits[bits << (kBitsPerDigit - bit_count) & kDigitMask];
    return text;
}

std::optional<std::string> decode_base64url(std::string_view text) {
    // A single digit cannot stand for a whole byte.
    if (text.size() % kDigitsPerGroup == 1)
        return std::nullopt;
    std::string bytes;
    std::uint32_t bits = 0;
    unsigned bit_count = 0;
    for (const char digit : text) {
        const auto value = kDigits.find(digit);
        if (value == std::string_view::npos)
            return std::nullopt;
        bits = bits << kBitsPerDigit | static_cast<std::uint32_t>(value);
        bit_count += kBitsPerDigit;
        if (bit_count >= kBitsPerByte) {
            bit_count -= kBitsPerByte;
            bytes += static_cast<char>(bits >> bit_count & kByteMask);
        }
    }
    const std::uint32_t left_over = bits & ((1U << bit_count) - 1);
    if (left_over != 0)
        return std::nullopt;
    return bytes;
}

}  // namespace silverrail::acme
