// Stripped synthetic traces.
#include "trace/tools/strip.h"

#include <cstdio>
#include <set>
#include <string>
#include <vector>

#include "synthetic_traces.h"
#include "trace/output/value_text.h"

using namespace silverrail;
using namespace silverrail::trace;
using namespace silverrail::trace::model;

namespace {

const std::string kKey(32, 'k');

Bytes stripped(const Bytes& trace, const StripOptions& options) {
    MemorySink sink;
    OpenTrace open{trace};
    strip(open.reader, options, sink);
    return std::move(sink.bytes());
}

// What identifies clients in a trace, and its objects.
struct Identifiers {
    std::set<std::string> addresses;
    std::set<std::uint64_t> request_ids;
    std::set<std::uint64_t> objects;
};

Identifiers identifiers_of(const Bytes& trace) {
    OpenTrace open{trace};
    Identifiers found;
    bool v4 = false, v6 = false, mapped = false;
    open.reader.for_each({}, [&](const Record& r, bool, const EffectiveState&) {
        if (const auto* t = std::get_if<RequestReceived>(&r.body)) {
            found.addresses.emplace(t->client);
            found.request_ids.insert(t->client_request_number);
            found.objects.insert(t->object);
            v4 = v4 || t->client.size() == 4;
            v6 = v6 || t->client.starts_with('\xfd');
            mapped = mapped || t->client.starts_with(Text{"\0\0\0\0\0\0\0\0\0\0\xff\xff", 12});
        }
        return true;
    });
    CHECK(v4 && v6 && mapped && found.request_ids.size() > 1000);
    return found;
}

// All texts of all records, those of snapshots too, a line each.
std::string all_texts(TraceReader& reader) {
    std::string texts;
    reader.for_each({}, [&](const Record& r, bool, const EffectiveState&) {
        std::visit(
            [&]<class T>(const T& body) {
                if constexpr (std::is_same_v<T, RouterStarted>)
                    return;  // the operators' settings
                T::fields(body, [&](const char*, const auto& v, Encoding) {
                    if constexpr (std::is_same_v<std::decay_t<decltype(v)>, Text>)
                        texts += std::string{v} + '\n';
                });
            },
            r.body);
        return true;
    });
    return texts;
}

void check_numbers(TraceReader& reader, const Identifiers& original) {
    reader.for_each({}, [&](const Record& r, bool, const EffectiveState&) {
        std::visit(
            [&]<class T>(const T& body) {
                if constexpr (std::is_same_v<T, RouterStarted>)
                    return;
                T::fields(body, [&](const char*, const auto& v, Encoding) {
                    if constexpr (std::is_same_v<std::decay_t<decltype(v)>, std::uint64_t>)
                        CHECK(v < 1'000'000 ||
                              (!original.request_ids.contains(v) && !original.objects.contains(v)));
                });
            },
            r.body);
        return true;
    });
}

void a_stripped_trace_identifies_no_client(const Bytes& trace) {
    const Identifiers original = identifiers_of(trace);
    OpenTrace open{stripped(trace, {.key = kKey, .objects = true, .shift_ns = -3600 * kSecond})};
    CHECK(open.reader.flags() & kStripped);
    check_numbers(open.reader, original);
    std::size_t requests = 0;
    open.reader.for_each({}, [&](const Record& r, bool, const EffectiveState&) {
        if (const auto* t = std::get_if<RequestReceived>(&r.body)) {
            CHECK(t->client.size() == 8 && t->client_request_id.empty() && t->entity_tag.empty());
            ++requests;
        }
        if (const auto* a = std::get_if<ResponseSent>(&r.body))
            CHECK(a->entity_tag.empty());
        return true;
    });
    CHECK(requests > 1000);
    const std::string texts = all_texts(open.reader);
    for (const std::string& address : original.addresses) {
        CHECK(texts.find(address_text(address)) == std::string::npos);
        if (address.size() == 16)
            CHECK(texts.find(address) == std::string::npos);
    }
}

std::vector<std::string> client_names(Bytes trace) {
    OpenTrace open{std::move(trace)};
    std::vector<std::string> names;
    open.reader.for_each({}, [&](const Record& r, bool from_snapshot, const EffectiveState&) {
        if (const auto* t = std::get_if<RequestReceived>(&r.body); t && !from_snapshot)
            names.emplace_back(t->client);
        return true;
    });
    return names;
}

void the_same_key_gives_the_same_names_and_another_one_others(const Bytes& trace) {
    const auto first = client_names(stripped(trace, {.key = kKey}));
    CHECK(first == client_names(stripped(trace, {.key = kKey})) &&
          first != client_names(stripped(trace, {.key = std::string(32, 'x')})));
}

void two_spellings_of_an_address_are_one_client() {
    OpenTrace pair{written([](TraceWriter& writer) {
        for (const Text client :
             {Text{"\x0a\x01\x02\x03", 4}, Text{"\0\0\0\0\0\0\0\0\0\0\xff\xff\x0a\x01\x02\x03", 16}}) {
            RequestReceived received;
            received.client = client;
            received.request = 1;
            writer.add({1, 0, received});
        }
    })};
    MemorySink out;
    CHECK(strip(pair.reader, {.key = kKey}, out).clients == 1);
}

void with_its_objects_kept_a_stripped_trace_can_be_replayed(const Bytes& trace) {
    OpenTrace open{stripped(trace, {.key = kKey})};
    const Replay replay = replayed(open);
    CHECK(!replay.first_difference() && !replay.stop() && replay.events() > 4000);
}

}  // namespace

int main() {
    const GeneratedTraces traces = generate_short_trace();
    a_stripped_trace_identifies_no_client(traces[0]);
    the_same_key_gives_the_same_names_and_another_one_others(traces[0]);
    two_spellings_of_an_address_are_one_client();
    with_its_objects_kept_a_stripped_trace_can_be_replayed(traces[0]);
    std::puts("strip: no client is left, and decisions can be replayed");
}
