#include "LogRateLimiter.h"

#include <algorithm>
#include <utility>

namespace jayhold {

auto admitLine(LogRateLimiter& limiter, TimePoint now, std::string_view event) -> bool
{
    auto found = limiter.buckets.find(event);
    if (found == limiter.buckets.end())
        found = limiter.buckets.emplace(event, LogRateLimiter::Bucket { limiter.burst, now, 0 }).first;
    auto& bucket = found->second;
    const auto elapsed = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.tokens = std::min(limiter.burst, bucket.tokens + elapsed * limiter.linesPerSecond);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
        ++bucket.droppedLines;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

auto takeDroppedLines(LogRateLimiter& limiter, std::string_view event) -> std::uint64_t
{
    const auto found = limiter.buckets.find(event);
    return found == limiter.buckets.end() ? 0 : std::exchange(found->second.droppedLines, 0);
}

}
