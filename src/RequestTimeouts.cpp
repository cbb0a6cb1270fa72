#include "RequestTimeouts.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Timeouts as multiples of the kind's targets: an engine that is later than that is replaced if another
/// one has room.
constexpr int firstTokenTimeoutFactor = 2;
constexpr int stallTimeoutFactor = 4;

}

auto silenceTimeoutsOf(const ModelRequestInfo& info, const EntryContext& context) -> EntryTimeouts
{
    auto timeouts = context.settings.timeouts;
    if (info.forwarded) {
        timeouts.prefill = std::min(timeouts.prefill, info.kindSettings.firstToken * firstTokenTimeoutFactor);
        timeouts.firstToken = std::min(timeouts.firstToken, info.kindSettings.firstToken * firstTokenTimeoutFactor);
        timeouts.stall = std::min(timeouts.stall, info.kindSettings.tokenGap * stallTimeoutFactor);
    }
    return timeouts;
}

auto callTimeoutsOf(const ModelRequestInfo& info, const EntryContext& context) -> EntryTimeouts
{
    auto timeouts = context.settings.timeouts;
    const auto allowedTime = std::chrono::ceil<std::chrono::milliseconds>(info.deadline - info.arrivedAt + deadlineGracePeriod);
    timeouts.prefill = allowedTime;
    timeouts.firstToken = allowedTime;
    timeouts.stall = allowedTime;
    return timeouts;
}

}
