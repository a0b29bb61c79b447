#include "event_parser.h"

#include <array>

#include "message_fields.h"

namespace silverrail::routing::adapter {

namespace {

constexpr std::array<Keyword<AttemptStatus>, 9> kAttemptStatusKeywords{
    {{"GOOD", AttemptStatus::success},
     {"BAD", AttemptStatus::error},
     {"FULL", AttemptStatus::overloaded},
     {"LATE", AttemptStatus::timeout},
     {"NOCONN", AttemptStatus::connect_failed},
     {"RST", AttemptStatus::reset},
     {"CXL", AttemptStatus::cancelled},
     {"NOP", AttemptStatus::not_sent},
     {"MISS", AttemptStatus::miss}}};

constexpr std::array<Keyword<Condition>, 3> kConditionKeywords{
    {{"ready", Condition::ready}, {"draining", Condition::draining}, {"gone", Condition::gone}}};

constexpr std::array<Keyword<std::optional<double> LoadReport::*>, 4> kLoadReportKeywords{
    {{"concurrent", &LoadReport::in_flight},
     {"load_share", &LoadReport::utilisation},
     {"x0", &LoadReport::hit_ratio},
     {"x1", &LoadReport::link_utilisation}}};

// Indexed by the numbers that the protocol uses.
constexpr std::array<CacheStatus, 11> kCacheStatuses{
    CacheStatus::none,
    CacheStatus::hit,
    CacheStatus::filled,
    CacheStatus::filled_from_origin,
    CacheStatus::coalesced,
    CacheStatus::stale,
    CacheStatus::source_rejected,
    CacheStatus::source_unreachable,
    CacheStatus::source_missing,
    CacheStatus::no_fill_slot,
    CacheStatus::origin_failed,
};

template <class Value, std::size_t N>
Value required_keyword(const std::array<Keyword<Value>, N>& table, std::string_view keyword,
                       const char* what) {
    const auto value = find_keyword(table, keyword);
    if (!value)
        throw ProtocolError(std::string{"expected "} + what + ", got '" + std::string{keyword} + "'");
    return *value;
}

GroupId parse_group(const MessageFields& fields, std::size_t position) {
    return GroupId{static_cast<std::uint64_t>(fields.integer_or_zero(position, "a group"))};
}

std::uint32_t parse_attempt(const MessageFields& fields) {
    return static_cast<std::uint32_t>(fields.required_integer(3, "an attempt"));
}

// Parses comma-separated NAME:VALUE pairs. Unknown names are ignored.
LoadReport parse_load_report(std::string_view pairs) {
    LoadReport report;
    if (pairs.empty())
        return report;
    for (const std::string_view pair : split(pairs, ',')) {
        const auto colon = pair.find(':');
        if (colon == std::string_view::npos)
            continue;
        const auto value = parse_number(pair.substr(colon + 1));
        if (!value)
            throw ProtocolError("expected a load report (name:value), got '" + std::string{pair} + "'");
        if (const auto member = find_keyword(kLoadReportKeywords, pair.substr(0, colon)))
            report.*(*member) = value;
    }
    return report;
}

CacheStatus parse_cache_status(const MessageFields& fields, std::size_t position) {
    const auto number = fields.integer_or_zero(position, "a cache status");
    if (number < 0 || number >= static_cast<std::int64_t>(kCacheStatuses.size()))
        return CacheStatus::none;
    return kCacheStatuses[static_cast<std::size_t>(number)];
}

std::optional<Event> parse_request(const Tokens& tokens, const EventContext& context) {
    const MessageFields fields{tokens, 8};
    Request request;
    request.id = fields.required_request();
    request.group = parse_group(fields, 3);
    request.object = fields.string(4).empty() ? ObjectId{} : fields.required_object(4);
    request.deadline = Time{Span{fields.required_integer(5, "a deadline")}};
    request.is_retry = fields.flag(9);
    request.segment = static_cast<std::uint32_t>(fields.integer_or_zero(10, "a segment"));
    request.size_kb = fields.number_or(11, 0, "a size");
    const std::string_view class_name = fields.required_string(8, "a class");
    if (!context.classes)
        return std::nullopt;
    const auto found = context.classes->find(class_name);
    if (found == context.classes->end())
        throw ProtocolError("KNOCK: expected a class of the settings, got '" + std::string{class_name} + "'");
    request.class_index = found->second;
    return request;
}

std::optional<Event> parse_outcome(const Tokens& tokens, const EventContext&) {
    const MessageFields fields{tokens, 7};
    Outcome outcome;
    outcome.request = fields.required_request();
    outcome.attempt = parse_attempt(fields);
    outcome.attempt_status = required_keyword(kAttemptStatusKeywords, fields.string(5), "an attempt status");
    outcome.duration = Span{fields.integer_or_zero(6, "a duration")};
    outcome.request_completed = fields.flag(7);
    outcome.cache_status = parse_cache_status(fields, 8);
    outcome.source_wait = Span{fields.integer_or_zero(9, "a duration")};
    outcome.load = parse_load_report(fields.string(10));
    return outcome;
}

std::optional<Event> parse_timer(const Tokens& tokens, const EventContext&) {
    const MessageFields fields{tokens, 2};
    return Timer{TimerId{static_cast<std::uint64_t>(fields.required_integer(2, "a timer"))}};
}

std::optional<Event> parse_client_closed(const Tokens& tokens, const EventContext&) {
    return ClientClosed{MessageFields{tokens, 2}.required_request()};
}

std::optional<Event> parse_response_started(const Tokens& tokens, const EventContext&) {
    const MessageFields fields{tokens, 3};
    return ResponseStarted{fields.required_request(), parse_attempt(fields)};
}

std::optional<Event> parse_purge(const Tokens& tokens, const EventContext&) {
    const MessageFields fields{tokens, 3};
    Purge purge;
    if (!fields.string(2).empty())
        purge.object = fields.required_object(2);
    purge.group = parse_group(fields, 3);
    purge.age = Span{fields.integer_or_zero(4, "an age")};
    return purge;
}

std::optional<Event> parse_server_list(const Tokens& tokens, const EventContext& context) {
    const MessageFields fields{tokens, 3};
    const std::string_view form = fields.string(2);
    if (form == "failed")
        return std::nullopt;
    if (form != "delta" && form != "full" && form != "cached")
        throw ProtocolError("PEERS_KNOWN: expected delta, full, cached or failed, got '" + std::string{form} +
                            "'");
    const auto list = context.server_lists.find(fields.required_integer(4, "a list number"));
    if (list == context.server_lists.end())
        throw ProtocolError("PEERS_KNOWN: expected the number of a list that was sent before");
    return ServerList{.complete = form != "delta", .servers = list->second};
}

// For events that are responses to actions that this adapter never sends.
std::optional<Event> ignore_event(const Tokens&, const EventContext&) {
    return std::nullopt;
}

using EventParser = std::optional<Event> (*)(const Tokens&, const EventContext&);

constexpr std::array<Keyword<EventParser>, 9> kEventParsers{{{"KNOCK", parse_request},
                                                             {"SETTLED", parse_outcome},
                                                             {"WAKE", parse_timer},
                                                             {"ABORTED", parse_client_closed},
                                                             {"UNDER_WAY", parse_response_started},
                                                             {"STRUCK_OUT", parse_purge},
                                                             {"PEERS_KNOWN", parse_server_list},
                                                             {"PEER", ignore_event},
                                                             {"PROBE_DONE", ignore_event}}};

}  // namespace

std::optional<Event> parse_event(const Tokens& tokens, const EventContext& context) {
    const auto parse = find_keyword(kEventParsers, tokens[0]);
    if (!parse)
        throw ProtocolError("unknown event '" + std::string{tokens[0]} + "'");
    return (*parse)(tokens, context);
}

ListedServer parse_listed_server(const Tokens& tokens) {
    const MessageFields fields{tokens, 5};
    ListedServer server;
    server.condition = required_keyword(kConditionKeywords, fields.string(1), "a condition");
    server.id.address = fields.required_string(2, "a server address");
    server.weight = fields.number_or(3, 1, "a weight");
    server.cell = CellId{fields.integer_or_zero(4, "a cell")};
    server.zone = fields.string(5);
    if (const auto started_at = fields.integer_or_zero(6, "a start time"); started_at != 0)
        server.started_at = Time{Span{started_at}};
    server.kind = fields.string(7);
    return server;
}

}  // namespace silverrail::routing::adapter
