#include "front/dns/zone.h"

#include <algorithm>
#include <charconv>

#include "config/hex.h"

namespace silverrail::front::dns {

namespace {

bool ends_with(const Name& name, const Name& end) {
    return name.size() >= end.size() && std::equal(end.rbegin(), end.rend(), name.rbegin());
}

// The number of `prefix`N; absent: another label. No leading zeros, so that a thing has one name.
std::optional<std::uint32_t> numbered(std::string_view label, std::string_view prefix) {
    if (!label.starts_with(prefix))
        return std::nullopt;
    label.remove_prefix(prefix.size());
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(label.data(), label.data() + label.size(), value);
    if (error != std::errc{} || end != label.data() + label.size())
        return std::nullopt;
    if (label.size() > 1 && label.front() == '0')
        return std::nullopt;
    return value;
}

// What stands before the class; the labels run outwards from the class.
bool parse_object(const Name& name, std::size_t labels, core::ClientRequest& call) {
    std::size_t at = labels;
    if (at == 0)
        return false;
    const std::string& object = name[--at];
    const auto id = config::parse_hex(object);
    if (!id || object.size() != 16)
        return false;
    call.object = object;
    call.object_id = routing::ObjectId{*id};
    call.group_known = false;
    if (at > 0)
        if (const auto lot = numbered(name[at - 1], "lot-"); lot && *lot <= 255) {
            call.group = routing::GroupId{*lot};
            call.group_known = true;
            --at;
        }
    if (at > 0)
        if (const auto segment = numbered(name[at - 1], "piece-")) {
            call.segment = *segment;
            --at;
        }
    return at == 0;
}

}  // namespace

Meaning meaning_of(const Name& name, const ZoneSettings& zone, const ClassNames& classes,
                   const Texts& texts) {
    using Kind = Meaning::Kind;
    Meaning m;
    if (!ends_with(name, zone.zone)) {
        m.kind = Kind::outside;
        return m;
    }
    const std::size_t below = name.size() - zone.zone.size();
    if (below == 0) {
        m.kind = Kind::apex;
    } else if (name == zone.server) {
        m.kind = Kind::server;
    } else if (texts.contains(name)) {
        m.kind = Kind::text;
    } else if (const std::string& class_name = name[below - 1]; classes.known(class_name)) {
        m.call.class_name = class_name;
        m.call.redirected = true;
        if (classes.unsafe(class_name))
            m.kind = Kind::never_repeat;
        else if (below == 1)
            m.kind = Kind::inner;
        else if (parse_object(name, below - 1, m.call))
            m.kind = Kind::object;
    } else if (ends_with(zone.server, name) || std::any_of(texts.begin(), texts.end(), [&](const auto& e) {
                   return ends_with(e.first, name);
               })) {
        m.kind = Kind::inner;  // RFC 8020: what has names below it is no NXDOMAIN
    }
    return m;
}

}  // namespace silverrail::front::dns
