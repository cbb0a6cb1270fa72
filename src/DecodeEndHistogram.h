#pragma once

/// Expected times at which running decodes end and release their slots.

#include "Identifiers.h"
#include "Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace jayhold {

class DecodeEndHistogram {
public:
    /// Moves the expected end of a request. TimePoint::max() stands for none.
    auto move(RequestId request, TimePoint& current, TimePoint next) -> void;
    /// @return the number of decodes that are expected to end between the two times.
    auto count(TimePoint from, TimePoint until) const -> std::uint32_t;

    /// @param isValid whether a request is still expected to end in that bucket. Ends are not stored by
    /// request, so a request that has moved or ended may be found.
    /// @return a request that is among the first to end after the given time.
    template <typename Predicate>
    auto firstAfter(TimePoint time, Predicate isValid) const -> std::optional<RequestId>
    {
        auto step = m_buckets.lower_bound(bucketOf(time));
        for (int tried = 0; tried < maxTriedBuckets && step != m_buckets.end(); ++tried, ++step) {
            if (isValid(step->second.latest))
                return step->second.latest;
        }
        return std::nullopt;
    }

private:
    /// Ends within a bucket of 20 ms. Neither the cost of counting nor the memory depends on the number
    /// of streams.
    struct Bucket {
        std::uint32_t count = 0;
        RequestId latest {};
    };

    static constexpr int maxTriedBuckets = 32;
    static constexpr Duration bucketLength = std::chrono::milliseconds(20);

    static auto bucketOf(TimePoint time) -> std::int64_t { return time.time_since_epoch() / bucketLength; }

    std::map<std::int64_t, Bucket> m_buckets;
};

}
