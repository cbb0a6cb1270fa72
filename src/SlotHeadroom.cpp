#include "SlotHeadroom.h"

#include "Estimates.h"

#include <algorithm>
#include <cmath>

namespace jayhold {

namespace {

/// In standard deviations: the number of slots in use varies by about its square root.
constexpr double headroomDeviations = 1.0;
/// Overdue work no longer counts for goodput, but occupies its slot as long as work that does.
constexpr double overdueHeadroomDeviations = 3.0;
/// Fraction of all decode slots. The limit keeps a pool of few slots from shutting out less urgent
/// work.
constexpr double maxHeadroomFraction = 0.4;

auto seconds(Duration duration) -> double
{
    return static_cast<double>(duration.count()) / 1e6;
}

/// Only batch work leaves more headroom while interactive work is late. Its slots are occupied for
/// longest, and standard work has a first-token target of its own.
auto headroomDeviationsFor(const ShardState& state, const ActiveRequest& request) -> double
{
    if (request.subQueue == SubQueue::Overdue)
        return overdueHeadroomDeviations;
    return request.latencyClass == LatencyClass::Batch ? headroomDeviations * state.headroomScale.value() : headroomDeviations;
}

}

auto recordOfferedLoad(DecisionContext& context, const ActiveRequest& request) -> void
{
    auto& state = context.state;
    const auto decode = expectedTokens(state, request) / state.rates.tokensPerSecond.value();
    const auto prefill = prefillTime(state, request.arrival.promptTokens) + transferTime(state, request);
    state.offeredLoad.arrived(request.latencyClass, context.now, decode + seconds(prefill));
}

auto requiredSlotHeadroom(const DecisionContext& context, const ActiveRequest& request) -> std::int64_t
{
    if (request.subQueue == SubQueue::Resume)
        return 0;
    // Overdue work leaves slots for all classes, its own included.
    const auto moreUrgentClasses = request.subQueue == SubQueue::Overdue ? 3 : static_cast<int>(request.latencyClass);
    double offered = 0;
    for (int moreUrgent = 0; moreUrgent < moreUrgentClasses; ++moreUrgent)
        offered += context.state.offeredLoad.slots(static_cast<LatencyClass>(moreUrgent), context.now);
    const auto wanted = headroomDeviationsFor(context.state, request) * std::sqrt(offered * assumedInstances(context.state.settings));
    const auto maxHeadroom = maxHeadroomFraction * static_cast<double>(context.state.decodeSlots);
    return static_cast<std::int64_t>(std::min(wanted, maxHeadroom));
}

}
