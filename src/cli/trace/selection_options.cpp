#include "cli/trace/selection_options.h"

#include <algorithm>
#include <limits>

#include "config/hex.h"
#include "trace/output/value_text.h"

namespace silverrail::cli {

namespace {

std::int64_t first_unix_ns(const trace::TraceReader& reader) {
    std::int64_t first = std::numeric_limits<std::int64_t>::max();
    for (const auto& chunk : reader.chunks())
        first = std::min(first, chunk.summary.first_unix_ns);
    return reader.chunks().empty() ? 0 : first;
}

std::int64_t parse_point_in_time(const std::string& text, const trace::TraceReader& reader) {
    if (text.starts_with('+'))
        return first_unix_ns(reader) + parse_duration(text.substr(1));
    if (const auto unix_ns = trace::parse_time(text))
        return *unix_ns;
    throw UsageError("not a time (as 2026-06-30T10:00:00Z, or +10s from the begin): " + text);
}

constexpr std::size_t kObjectDigits = 16;

std::uint64_t parse_object(const std::string& text) {
    const auto object = config::parse_hex(text);
    if (!object || text.size() != kObjectDigits)
        throw UsageError("not an object (16 hex digits): " + text);
    return *object;
}

}  // namespace

void SelectionOptions::add_to(CLI::App& command_line) {
    command_line.add_option("--from", from_, "this time and later: RFC 3339, or +10s from the begin");
    command_line.add_option("--to", to_, "before this time");
    command_line.add_option("--class", classes_, "calls of this class");
    command_line.add_option(
        "--outcome", outcomes_,
        "served, unchanged, referred, refused, failed, abandoned, open, turned_away, or how an "
        "attempt ended: error, full, late, no_connection, reset, miss …");
    command_line.add_option("--box", servers_, "with an attempt at this box, or filled from it");
    command_line.add_option("--call", client_request_ids_, "the client's id");
    command_line.add_option("--object", objects_, "16 hex digits");
}

trace::model::Selection SelectionOptions::selection(const trace::TraceReader& reader) const {
    trace::model::Selection selection;
    if (!from_.empty())
        selection.from_unix_ns = parse_point_in_time(from_, reader);
    if (!to_.empty())
        selection.to_unix_ns = parse_point_in_time(to_, reader);
    if (selection.from_unix_ns >= selection.to_unix_ns)
        throw UsageError("--from is not before --to");
    selection.classes = classes_;
    selection.outcomes = outcomes_;
    selection.servers = servers_;
    selection.client_request_ids = client_request_ids_;
    for (const std::string& object : objects_)
        selection.objects.push_back(parse_object(object));
    if (const std::string* outcome = selection.unknown_outcome())
        throw UsageError("not an outcome: " + *outcome);
    return selection;
}

}  // namespace silverrail::cli
