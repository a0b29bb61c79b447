// Operators' server overrides and their stored format.
#include "overrides/server_overrides.h"

#include "../silverrail/check.h"

using silverrail::overrides::ServerOverrides;
using silverrail::routing::ServerId;
using ParseError = ServerOverrides::ParseError;

namespace {

ServerOverrides two_servers() {
    ServerOverrides overrides;
    for (const char* id : {"s-1", "s-2"})
        CHECK(overrides.exclude(ServerId{id}) && overrides.exclude(ServerId{id}));
    return overrides;
}

void the_stored_format_is_parsed_back() {
    const ServerOverrides overrides = two_servers();
    const std::string text = overrides.serialize();
    CHECK(text == "silverrail-bans 1\nout s-1\nout s-2\nend 2\n");
    CHECK(ServerOverrides::parse(text).overrides == overrides);
    CHECK(ServerOverrides::parse(text).error == ParseError::none);
    CHECK(ServerOverrides::parse(ServerOverrides{}.serialize()).overrides == ServerOverrides{});
}

void truncated_and_damaged_input_is_detected() {
    const std::string text = two_servers().serialize();
    for (std::size_t i = 0; i < text.size(); ++i) {
        CHECK(ServerOverrides::parse(text.substr(0, i)).error != ParseError::none);
        std::string damaged = text;
        damaged[i] = '\n';
        CHECK(damaged == text || ServerOverrides::parse(damaged).error != ParseError::none);
    }
    const auto other_version = ServerOverrides::parse("silverrail-bans 2\nout s-1\nend 1\n");
    CHECK(other_version.error == ParseError::unknown_version);
    CHECK(ServerOverrides::parse(text + "out s-3\n").error == ParseError::damaged);
}

void invalid_ids_and_too_many_servers_are_rejected() {
    ServerOverrides overrides = two_servers();
    for (const char* id : {"", "a b", "a\n", "\x80"})
        CHECK(!overrides.exclude(ServerId{id}));
    for (std::size_t i = 0; i < 2 * ServerOverrides::kMaxServers; ++i)
        overrides.exclude(ServerId{"x-" + std::to_string(i)});
    CHECK(overrides.excluded().size() == ServerOverrides::kMaxServers);
}

}  // namespace

int main() {
    the_stored_format_is_parsed_back();
    truncated_and_damaged_input_is_detected();
    invalid_ids_and_too_many_servers_are_rejected();
    std::puts("server overrides: all cases passed");
}
