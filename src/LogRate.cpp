#include "LogRate.h"

#include <algorithm>
#include <utility>

namespace jayhold {

auto admitLine(LogRate& rate, TimePoint now, std::string_view event) -> bool
{
    auto kind = rate.kinds.find(event);
    if (kind == rate.kinds.end())
        kind = rate.kinds.emplace(event, LogRate::Kind { rate.burst, now, 0 }).first;
    auto& state = kind->second;
    const auto elapsed = std::chrono::duration<double>(now - state.refilledAt).count();
    state.tokens = std::min(rate.burst, state.tokens + elapsed * rate.linesPerSecond);
    state.refilledAt = now;
    if (state.tokens < 1) {
        ++state.leftOut;
        return false;
    }
    state.tokens -= 1;
    return true;
}

auto takeLeftOut(LogRate& rate, std::string_view event) -> std::uint64_t
{
    const auto kind = rate.kinds.find(event);
    return kind == rate.kinds.end() ? 0 : std::exchange(kind->second.leftOut, 0);
}

}
