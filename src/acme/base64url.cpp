#include "acme/base64url.h"

#include <cstdint>

namespace silverrail::acme {

namespace {

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned kBitsPerDigit = 6;
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint32_t kDigitMask = 0x3f;
constexpr std::uint32_t kByteMask = 0xff;
constexpr std::size_t kDigitsPerGroup = 4;  // which encode 3 bytes

}  // namespace

std::string encode_base64url(std::string_view bytes) {
    std::string encoded;
    std::uint32_t bits = 0;
    unsigned bit_count = 0;
    for (const unsigned char byte : bytes) {
        bits = bits << kBitsPerByte | byte;
        bit_count += kBitsPerByte;
        while (bit_count >= kBitsPerDigit) {
            bit_count -= kBitsPerDigit;
            encoded += kDigits[bits >> bit_count & kDigitMask];
        }
    }
    if (bit_count > 0)
        encoded += kDigits[bits << (kBitsPerDigit - bit_count) & kDigitMask];
    return encoded;
}

std::optional<std::string> decode_base64url(std::string_view encoded) {
    // A single remaining digit (6 bits) cannot encode a byte.
    if (encoded.size() % kDigitsPerGroup == 1)
        return std::nullopt;
    std::string bytes;
    std::uint32_t bits = 0;
    unsigned bit_count = 0;
    for (const char digit : encoded) {
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
    const std::uint32_t trailing_bits = bits & ((1U << bit_count) - 1);
    if (trailing_bits != 0)
        return std::nullopt;
    return bytes;
}

}  // namespace silverrail::acme
