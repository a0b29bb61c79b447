#include "front/dns/zone.h"

#include <algorithm>

#include "config/hex.h"
#include "config/number.h"

namespace silverrail::front::dns {

namespace {

constexpr std::string_view kSegmentPrefix = "piece-";
constexpr std::string_view kGroupPrefix = "lot-";
constexpr std::size_t kObjectDigits = 16;
constexpr std::uint32_t kMaxGroup = 255;

// Parses the number in "PREFIXn". Leading zeros are rejected so that each object has exactly one name.
std::optional<std::uint32_t> parse_numbered(std::string_view label, std::string_view prefix) {
    if (!label.starts_with(prefix))
        return std::nullopt;
    label.remove_prefix(prefix.size());
    if (label.size() > 1 && label.front() == '0')
        return std::nullopt;
    return config::parse_number<std::uint32_t>(label);
}

// Parses the first `count` labels, which precede the class label, from last to first. Returns false if they
// do not name an object.
bool parse_object(const Name& name, std::size_t count, core::ClientRequest& request) {
    if (count == 0)
        return false;
    std::size_t left = count - 1;
    const std::string& object = name[left];
    const auto id = config::parse_hex(object);
    if (!id || object.size() != kObjectDigits)
        return false;
    request.object = object;
    request.object_id = routing::ObjectId{*id};
    const auto group = left > 0 ? parse_numbered(name[left - 1], kGroupPrefix) : std::nullopt;
    request.group_known = group && *group <= kMaxGroup;
    if (request.group_known) {
        request.group = routing::GroupId{*group};
        --left;
    }
    const auto segment = left > 0 ? parse_numbered(name[left - 1], kSegmentPrefix) : std::nullopt;
    if (segment) {
        request.segment = *segment;
        --left;
    }
    return left == 0;
}

// `labels`: the number of labels before the zone's name; the last of them is the class.
ZoneEntry entry_of_class(const Name& name, std::size_t labels, const RequestClasses& classes) {
    ZoneEntry entry;
    entry.request.class_name = name[labels - 1];
    entry.request.redirected = true;
    if (classes.non_idempotent(entry.request.class_name))
        entry.kind = ZoneEntry::Kind::non_idempotent_class;
    else if (labels == 1)
        entry.kind = ZoneEntry::Kind::empty_non_terminal;
    else if (parse_object(name, labels - 1, entry.request))
        entry.kind = ZoneEntry::Kind::object;
    return entry;
}

bool has_names_below(const Name& name, const ZoneSettings& zone, const TxtRecords& texts) {
    if (ends_with(zone.name_server, name))
        return true;
    return std::any_of(texts.begin(), texts.end(),
                       [&](const auto& record) { return ends_with(record.first, name); });
}

}  // namespace

ZoneEntry find_entry(const Name& name, const ZoneSettings& zone, const RequestClasses& classes,
                     const TxtRecords& texts) {
    using Kind = ZoneEntry::Kind;
    if (!ends_with(name, zone.name))
        return {.kind = Kind::outside_zone};
    const std::size_t labels = name.size() - zone.name.size();
    if (labels == 0)
        return {.kind = Kind::apex};
    if (name == zone.name_server)
        return {.kind = Kind::name_server};
    if (texts.contains(name))
        return {.kind = Kind::txt};
    if (classes.exists(name[labels - 1]))
        return entry_of_class(name, labels, classes);
    if (has_names_below(name, zone, texts))
        return {.kind = Kind::empty_non_terminal};
    return {};
}

}  // namespace silverrail::front::dns
