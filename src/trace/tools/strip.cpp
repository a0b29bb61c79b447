#include "trace/tools/strip.h"

#include <set>
#include <utility>

#include "trace/format/trace_writer.h"
#include "trace/tools/pseudonyms.h"

namespace silverrail::trace {

using namespace model;

namespace {

constexpr std::size_t kMinKeyBytes = 16;
constexpr std::int64_t kNsPerMs = 1'000'000;

// Domains of pseudonyms.
constexpr char kClient = 'c';
constexpr char kRequestNumber = 't';
constexpr char kRequestId = 'T';
constexpr char kObject = 'o';

// An IPv4-mapped IPv6 address is the same client as the IPv4 address.
ByteView unmapped_address(ByteView address) {
    static constexpr char kMappedPrefix[] = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, '\xff', '\xff'};
    const ByteView prefix{kMappedPrefix, sizeof kMappedPrefix};
    if (address.size() == 16 && address.starts_with(prefix))
        return address.substr(prefix.size());
    return address;
}

class Stripper {
public:
    explicit Stripper(const StripOptions& options) : options_(options), pseudonyms_(options.key) {}

    // The result is valid until the next call.
    Record strip(const Record& original) {
        Record record = original;
        std::visit(
            [this](auto& body) {
                if constexpr (requires { this->strip_body(body); })
                    this->strip_body(body);
            },
            record.body);
        return record;
    }
    std::size_t client_count() const {
        return clients_.size();
    }

private:
    void strip_body(RequestReceived& received) {
        if (!received.client.empty()) {
            const std::uint64_t pseudonym = pseudonyms_.get(kClient, unmapped_address(received.client));
            clients_.insert(pseudonym);
            client_.clear();
            put_u64(client_, pseudonym);
            received.client = client_;
        }
        if (!received.client_request_id.empty())
            received.client_request_number = pseudonyms_.get(kRequestId, received.client_request_id);
        else if (received.client_request_number != 0)
            received.client_request_number = pseudonyms_.get(kRequestNumber, received.client_request_number);
        received.client_request_id = {};
        received.entity_tag = {};
        if (options_.objects)
            received.object = pseudonyms_.get(kObject, received.object);
    }
    void strip_body(ResponseSent& response) {
        response.entity_tag = {};
        shift_if_present(response.generated_unix_ms);
    }
    void strip_body(PurgeReceived& purge) {
        if (options_.objects && !purge.whole_group)
            purge.object = pseudonyms_.get(kObject, purge.object);
        shift_if_present(purge.issued_unix_ms);
    }
    void strip_body(RouterStarted& start) {
        start.offset += options_.shift_ns;
        start.incarnation_unix_ns += options_.shift_ns;
    }
    void strip_body(ClockSample& clock) {
        clock.offset += options_.shift_ns;
    }
    void strip_body(ServerListEntry& entry) {
        shift_if_present(entry.started_unix_ms);
    }
    void shift_if_present(std::int64_t& unix_ms) const {
        if (unix_ms > 0)
            unix_ms += options_.shift_ns / kNsPerMs;
    }

    const StripOptions& options_;
    Pseudonyms pseudonyms_;
    std::set<std::uint64_t> clients_;
    Bytes client_;
};

}  // namespace

StripResult strip(TraceReader& reader, const StripOptions& options, ByteSink& output,
                  const Progress& progress) {
    if (options.key.size() < kMinKeyBytes)
        throw ToolError("the key has under 16 bytes");
    // The decision module places objects by their ids: it would decide differently for pseudonyms.
    const std::uint32_t flags = reader.flags() | kStripped | (options.objects ? std::uint32_t{kCut} : 0U);
    TraceWriter writer{output, flags, reader.created_unix_ns() + options.shift_ns};
    Stripper stripper{options};
    ProgressReporter reporter{progress, record_count(reader)};
    EffectiveState initial_state;
    bool begun = false;
    ReadOptions read_options;
    read_options.track_state = false;
    reader.for_each(read_options, [&](const Record& original, bool from_snapshot, const EffectiveState&) {
        reporter.add_record();
        const Record record = stripper.strip(original);
        if (!from_snapshot) {
            if (!std::exchange(begun, true))
                writer.begin_with(initial_state);
            writer.add(record);
        } else if (!begun) {
            initial_state.update(record);
        }
        return true;
    });
    writer.close();
    return {writer.records(), stripper.client_count()};
}

}  // namespace silverrail::trace
