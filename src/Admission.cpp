#include "Admission.h"

#include "CrashAttribution.h"
#include "Deadlines.h"
#include "Estimates.h"
#include "PromptPartBlocking.h"
#include "RequestRanks.h"
#include "ReservationAccounting.h"
#include "VersionBinding.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Whether the request exceeds the capacity of the replica with the most memory.
auto isTooLarge(const ShardState& state, const ActiveRequest& request) -> bool
{
    const std::uint64_t prompt = request.arrival.promptTokens;
    const auto fitsPrefill = state.settings.decodeMayPrefill || prompt <= largestCapacity(state.prefillCapacities);
    return !fitsPrefill || prompt + 1 > largestCapacity(state.decodeCapacities);
}

}

auto isQueueOverLimit(const ShardState& state, CustomerId customer, std::size_t waiting) -> bool
{
    const auto& limits = state.settings.customerQueueLimits;
    const auto index = static_cast<std::size_t>(customer);
    return index < limits.size() && waiting > limits[index];
}

auto admissionRefusal(DecisionContext& context, ActiveRequest& request) -> std::optional<RefusalReason>
{
    const auto& state = context.state;
    if (state.draining)
        return RefusalReason::Draining;
    if (isBlocked(context, request.arrival.signature))
        return RefusalReason::CrashSuspect;
    if (isRefusedForPart(context, request))
        return RefusalReason::CrashSuspect;
    const auto canPrefill = state.settings.decodeMayPrefill || !state.prefillCapacities.empty();
    if (!canPrefill || state.decodeCapacities.empty())
        return RefusalReason::NoBackend;
    if (!isVersionServed(context, request))
        return RefusalReason::VersionGone;
    if (request.arrival.deadline <= context.now)
        return RefusalReason::DeadlineExceeded;
    if (state.endsAt <= context.now)
        return RefusalReason::Draining;
    if (isTooLarge(state, request))
        return RefusalReason::TooLarge;
    // Where ranks differ, the request is compared with those that wait when it is among them.
    if (hasSeveralRanks(state))
        return cannotStartInTime(context, request) ? std::optional(overloadReason(state, request)) : std::nullopt;
    if (isQueueOverLimit(state, request.arrival.customer, state.queue.customerSize(request.arrival.customer) + 1))
        return RefusalReason::QueueFull;
    if (willMissTarget(context, request, expectedWait(context, request)))
        moveToOverdue(context, request);
    if (cannotMeetDeadline(context, request))
        return overloadReason(state, request);
    return std::nullopt;
}

}
