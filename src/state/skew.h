// How far apart the clocks of several routers are, estimated from what they share. No I/O, no clock.
//
// All routers hear of the same purges, each after a wait of its own. Where both clocks are right, the times
// at which two routers heard of one purge differ by the difference of their waits, which is about nought in
// the mean. Where they are not, the mean is the offset of the clocks, and its slope the drift. Purges that
// arrived late (after a reconnect, or all at once at a start) are outliers and are trimmed.
//
// Where too few purges are shared, copies tell of the clocks: the origin stamps each with when it gave it out
// (`Made-At`), and the quickest of many arrives a short way later, at one router as at the other. That is
// used second, with a wider margin. It also checks the first: after a right correction both least waits are
// alike.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace silverrail::state {

struct SkewEstimate {
    // Add to the Unix time of this source to get the reference's: offset at `at_unix_ns`, and its slope.
    double offset_ns = 0;
    double drift = 0;  // ns a ns
    std::int64_t at_unix_ns = 0;
    double uncertainty_ns = 0;  // two standard errors, at the worse end of the time that was seen
    std::size_t shared = 0;     // events, or tens of seconds of copies, that bear it
    std::size_t trimmed = 0;    // shared ones that were left out
    enum class From { reference, purges, copies, given } from = From::reference;
    // How much later the quickest copies arrive here than at the reference, after the correction; absent: not
    // enough of them. Far from nought, something is wrong with the estimate.
    std::optional<double> order_gap_ns;

    std::int64_t correction_ns(std::int64_t unix_ns) const {
        return static_cast<std::int64_t>(offset_ns + drift * static_cast<double>(unix_ns - at_unix_ns));
    }
};

class Skew {
public:
    static constexpr std::size_t kMostEvents = 16384;  // kept of each source; the same ones of all of them
    static constexpr std::size_t kLeastShared = 8;     // fewer bear no estimate
    static constexpr double kDriftSpanNs = 30e9;       // over less than this no drift is told from noise
    static constexpr std::size_t kDriftShared = 24;

    // Source heard of the event `key` (the same for all sources) at that Unix time, by its own clock.
    void heard(std::uint32_t source, std::uint64_t key, std::int64_t unix_ns);
    static constexpr std::int64_t kBucketNs = 10'000'000'000;
    static constexpr std::size_t kLeastInBucket = 30;
    static constexpr std::size_t kMostBuckets = 8192;
    static constexpr double kCopiesMarginNs = 20e6;  // the quickest ways of two routers differ by no more

    // By its own clock, source had a copy at `seen` that was made at `caused` by the origin's.
    void copied(std::uint32_t source, std::int64_t seen_unix_ns, std::int64_t caused_unix_ns);

    // Against `reference`; for the reference itself it is nought. Absent: too little is shared, and `why`
    // says so.
    std::optional<SkewEstimate> estimate(std::uint32_t source, std::uint32_t reference,
                                         std::string& why) const;
    // The source that shares most with all others; absent: none was heard of.
    std::optional<std::uint32_t> best_reference() const;

private:
    struct Heard {
        std::unordered_map<std::uint64_t, std::int64_t> at;
        struct Bucket {
            std::int64_t least = 0;  // of seen less made
            std::int64_t at = 0;
            std::size_t count = 0;
        };
        std::map<std::int64_t, Bucket> buckets;
    };
    struct Shared;
    Shared shared_purges(const Heard& mine, const Heard& theirs) const;
    Shared shared_copies(const Heard& mine, const Heard& theirs) const;
    static std::optional<SkewEstimate> line_through(Shared shared);
    void thin(std::uint64_t threshold);
    // Keys above it are not kept, so that all sources keep the same ones when there are too many.
    std::uint64_t threshold_ = ~std::uint64_t{0};
    std::map<std::uint32_t, Heard> sources_;
};

}  // namespace silverrail::state
