// Constants of the DNS protocol.
#pragma once

#include <cstddef>
#include <cstdint>

namespace silverrail::front::dns {

// RFC 1035, section 3.2.2, and later RFCs.
enum class RecordType : std::uint16_t {
    a = 1,
    ns = 2,
    soa = 6,
    hinfo = 13,
    txt = 16,
    aaaa = 28,
    opt = 41,
    any = 255
};

inline constexpr std::uint16_t kInternetClass = 1;

// RFC 1035, section 4.1.1, and RFC 6891.
enum class Rcode : std::uint16_t {
    no_error = 0,
    format_error = 1,
    server_failure = 2,
    name_error = 3,
    not_implemented = 4,
    refused = 5,
    bad_version = 16
};

// RFC 8914.
enum class ExtendedError : std::uint16_t {
    other = 0,
    not_ready = 14,
    prohibited = 18,
    not_authoritative = 20,
    not_supported = 21,
    network_error = 23
};

// Message header.
inline constexpr std::size_t kHeaderBytes = 12;
inline constexpr std::uint16_t kResponseFlag = 0x8000;
inline constexpr std::uint16_t kAuthoritativeFlag = 0x0400;
inline constexpr std::uint16_t kTruncatedFlag = 0x0200;
inline constexpr std::uint16_t kRecursionDesiredFlag = 0x0100;
inline constexpr unsigned kOpcodeShift = 11;
inline constexpr std::uint16_t kOpcodeMask = 0xf;
inline constexpr std::uint16_t kRcodeMask = 0xf;

// The largest UDP payload that the server advertises and sends, chosen to avoid IP fragmentation.
inline constexpr std::size_t kMaxUdpPayloadBytes = 1232;
// The UDP payload size that every resolver accepts (RFC 1035, section 4.2.1).
inline constexpr std::size_t kMinUdpPayloadBytes = 512;
inline constexpr std::size_t kMaxMessageBytes = 65'535;

}  // namespace silverrail::front::dns
