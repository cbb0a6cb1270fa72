#include "LogRateLimiter.h"

#include <algorithm>
#include <utility>

namespace jayhold {

auto admitLine(LogRateLimiter& rate, TimePoint now, std::string_view event) -> bool
{
    auto kind = rate.buckets.find(event);
    if (kind == rate.buckets.end())
        kind = rate.buckets.emplace(event, LogRateLimiter::Bucket { rate.burst, now, 0 }).first;
    auto& state = kind->second;
    const auto elapsed = std::chrono::duration<double>(now - state.refilledAt).count();
    state.tokens = std::min(rate.burst, state.tokens + elapsed * rate.linesPerSecond);
    state.refilledAt = now;
    if (state.tokens < 1) {
        ++state.droppedLines;
        return false;
    }
    state.tokens -= 1;
    return true;
}

auto takeDroppedLines(LogRateLimiter& rate, std::string_view event) -> std::uint64_t
{
    const auto kind = rate.buckets.find(event);
    return kind == rate.buckets.end() ? 0 : std::exchange(kind->second.droppedLines, 0);
}

}
