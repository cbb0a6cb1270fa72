#include "DecodeEndHistogram.h"

namespace jayhold {

auto DecodeEndHistogram::move(RequestId request, TimePoint& current, TimePoint next) -> void
{
    if (current == next)
        return;
    if (current != TimePoint::max()) {
        const auto step = m_buckets.find(bucketOf(current));
        if (--step->second.count == 0)
            m_buckets.erase(step);
    }
    if (next != TimePoint::max()) {
        auto& step = m_buckets[bucketOf(next)];
        ++step.count;
        step.latest = request;
    }
    current = next;
}

auto DecodeEndHistogram::count(TimePoint from, TimePoint until) const -> std::uint32_t
{
    std::uint32_t total = 0;
    const auto end = m_buckets.upper_bound(bucketOf(until));
    for (auto step = m_buckets.lower_bound(bucketOf(from)); step != end; ++step)
        total += step->second.count;
    return total;
}

}
