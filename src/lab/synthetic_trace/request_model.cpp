#include "lab/synthetic_trace/request_model.h"

#include <cmath>

#include "config/hex.h"
#include "lab/sample_deployment.h"
#include "lab/synthetic_trace/object_catalog.h"

namespace silverrail::lab {

using namespace std::chrono_literals;
using Duration = EventScheduler::Duration;

namespace {

enum ClassIndex : std::size_t { kLargeFiles = 0, kPages = 1, kWrites = 2 };

constexpr double kLargeFilesBelow = 0.54;  // of a number that is uniform from 0 to 1
constexpr double kPagesBelow = 0.966;      // the rest are writes
constexpr std::uint64_t kClients = 700;
constexpr std::uint64_t kPartsOfLargeFile = 4;
constexpr double kRevalidationShare = 0.2;  // of pages' requests
constexpr const char* kEntityTag = "4be0c1927d55a6f3";

double size_kb(std::size_t class_index, std::uint64_t object) {
    const double spread = static_cast<double>(hash_number(object + 7) % 1000) / 1000;
    switch (class_index) {
        case kLargeFiles:
            return std::round(1500 + 900 * spread);
        case kPages:
            return std::round(180 + 300 * spread);
        default:
            return 0;
    }
}

Duration client_timeout(std::size_t class_index) {
    switch (class_index) {
        case kLargeFiles:
            return 5000ms;
        case kPages:
            return 2500ms;
        default:
            return 3000ms;
    }
}

std::size_t class_of(double uniform) {
    if (uniform < kLargeFilesBelow)
        return kLargeFiles;
    return uniform < kPagesBelow ? kPages : kWrites;
}

// The address's bytes from `first` on are the lowest of `number`.
void put_bytes(core::ClientAddress& address, std::size_t first, std::size_t count, std::uint64_t number) {
    for (std::size_t i = 0; i < count; ++i)
        address.bytes[first + i] = static_cast<unsigned char>(number >> (8 * i));
}

// Two thirds IPv4 of 10/8; the rest IPv6 of fd00::/8 or IPv4 mapped to IPv6.
core::ClientAddress client_address(std::uint64_t number) {
    core::ClientAddress address;
    if (number % 3 != 0) {
        address.size = 4;
        put_bytes(address, 0, 4, number);
        address.bytes[0] = 10;
    } else if (number % 2 == 0) {
        address.size = 16;
        put_bytes(address, 8, 8, number);
        address.bytes[0] = 0xfd;
    } else {
        address.size = 16;
        address.bytes[10] = 0xff;
        address.bytes[11] = 0xff;
        put_bytes(address, 12, 4, number);
        address.bytes[12] = 10;
    }
    return address;
}

}  // namespace

// Each write is of an object of its own.
std::uint64_t RequestModel::draw_object(std::size_t class_index) {
    const std::uint64_t rank = popularity_rank(random_.uniform());
    return class_index == kWrites ? random_.next() : object_number(rank, class_index);
}

core::ClientRequest RequestModel::next(core::Time now) {
    core::ClientRequest request;
    const std::size_t class_index = class_of(random_.uniform());
    request.class_name = kRequestClasses[class_index];
    request.trace_id = config::hex_text(random_.next());
    const std::uint64_t object = draw_object(class_index);
    request.object = config::hex_text(object);
    request.object_id = routing::ObjectId{object};
    request.group = group_of(object);
    if (class_index == kLargeFiles)
        request.segment = static_cast<std::uint32_t>(hash_number(object) % kPartsOfLargeFile);
    request.size_kb = size_kb(class_index, object);
    const Duration spent = random_.below(40ns) * 1000;  // on the way, in whole microseconds
    request.deadline = now + client_timeout(class_index) - spent;
    request.write = class_index == kWrites;
    if (request.write)
        request.body = body_;
    if (class_index == kPages && random_.uniform() < kRevalidationShare)
        request.client_tag = kEntityTag;
    request.client = client_address(hash_number(random_.next() % kClients));
    return request;
}

}  // namespace silverrail::lab
