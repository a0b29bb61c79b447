// Random records of every type, and traces in memory, for the tests.
#pragma once

#include <random>

#include "../silverrail/check.h"
#include "trace/format/trace_reader.h"
#include "trace/format/trace_writer.h"

namespace silverrail::trace {

class RandomRecords {
public:
    explicit RandomRecords(std::uint64_t seed) : random_(seed) {}
    // Good until the next one.
    model::Record next() {
        model::Record r;
        at_ += static_cast<std::int64_t>(random_() % 5'000'000);
        r.at = at_;
        texts_.clear();
        texts_.reserve(64);
        model::with_type(random_() % model::kTypes, [&]<class T>(T body) {
            T::fields(body, [&](const char*, auto& value, model::Encoding) { fill(value); });
            r.body = body;
        });
        return r;
    }

private:
    void fill(model::Text& v) {
        // Mostly from few; now and then any bytes at all.
        std::string t = random_() % 8 ? "s-" + std::to_string(random_() % 20) : std::string{};
        if (random_() % 16 == 0)
            for (std::size_t i = random_() % 300; i > 0; --i)
                t.push_back(static_cast<char>(random_()));
        texts_.push_back(std::move(t));
        v = texts_.back();
    }
    void fill(bool& v) {
        v = random_() % 2;
    }
    void fill(std::uint8_t& v) {
        v = static_cast<std::uint8_t>(random_() % 12);
    }
    void fill(std::uint64_t& v) {
        v = any();
    }
    void fill(std::int64_t& v) {
        v = random_() % 16 ? static_cast<std::int64_t>(any()) : model::kNoTime;
    }
    void fill(double& v) {
        v = random_() % 4 ? static_cast<double>(random_() % 100) / 7 : model::kNoValue;
    }
    std::uint64_t any() {
        switch (random_() % 4) {
            case 0:
                return 0;
            case 1:
                return random_() % 1000;
            case 2:
                return random_() % 1000 * 1'000'000;
            default:
                return random_();
        }
    }
    std::mt19937_64 random_;
    std::vector<std::string> texts_;
    std::int64_t at_ = 1'000'000'000'000;
};

inline bool same(const model::Record& a, const model::Record& b) {
    if (a.at != b.at || a.router_index != b.router_index || a.body.index() != b.body.index())
        return false;
    return std::visit(
        [&](const auto& x) {
            using T = std::decay_t<decltype(x)>;
            const T& y = std::get<T>(b.body);
            std::vector<std::string> left;
            std::vector<std::string> right;
            const auto into = [](std::vector<std::string>& to) {
                return [&to](const char*, const auto& v, model::Encoding) {
                    using F = std::decay_t<decltype(v)>;
                    if constexpr (std::is_same_v<F, model::Text>)
                        to.emplace_back(v);
                    else if constexpr (std::is_same_v<F, double>)
                        to.push_back(std::isnan(v) ? "nan" : std::to_string(std::bit_cast<std::uint64_t>(v)));
                    else
                        to.push_back(std::to_string(v));
                };
            };
            T::fields(x, into(left));
            T::fields(y, into(right));
            return left == right;
        },
        a.body);
}

// What `f` adds, as a file.
template <class F>
Bytes written(F&& f, TraceWriterOptions limits = {}, std::uint32_t flags = 0) {
    MemorySink sink;
    TraceWriter writer{sink, flags, 1, limits};
    f(writer);
    writer.close();
    return std::move(sink.bytes());
}

inline std::vector<model::OwnedRecord> read_all(TraceReader& reader, bool with_snapshots = false) {
    std::vector<model::OwnedRecord> out;
    reader.for_each({}, [&](const Record& r, bool from_snapshot, const model::EffectiveState&) {
        if (!from_snapshot || with_snapshots)
            out.emplace_back(r);
        return true;
    });
    return out;
}

}  // namespace silverrail::trace
