#include "SlotHeadroom.h"

#include "Estimates.h"

#include <algorithm>
#include <cmath>

namespace jayhold {

namespace {

/// The number of seats in use varies by about its square root.
constexpr double deviationsLeft = 1.0;
/// Late work no longer counts for goodput and holds its seat as long as work that does.
constexpr double deviationsLeftByLate = 3.0;
/// Of all decode seats; a pool of a few seats is not kept from less urgent work altogether.
constexpr double largestPart = 0.4;

auto seconds(Duration duration) -> double
{
    return static_cast<double>(duration.count()) / 1e6;
}

/// Only batch work leaves more while interactive work is late: its seats are held for longest, and
/// standard work has a first-token target of its own.
auto deviationsLeftBy(const ShardState& state, const ActiveRequest& request) -> double
{
    if (request.subQueue == SubQueue::Overdue)
        return deviationsLeftByLate;
    return request.latencyClass == LatencyClass::Batch ? deviationsLeft * state.headroomScale.value() : deviationsLeft;
}

}

auto recordOfferedLoad(DecisionContext& context, const ActiveRequest& request) -> void
{
    auto& state = context.state;
    const auto decode = expectedTokens(state, request) / state.rates.tokensPerSecond.value();
    const auto prefill = prefillTime(state, request.arrival.promptTokens) + transferTime(state, request);
    state.offered.arrived(request.latencyClass, context.now, decode + seconds(prefill));
}

auto requiredSlotHeadroom(const DecisionContext& context, const ActiveRequest& request) -> std::int64_t
{
    if (request.subQueue == SubQueue::Resume)
        return 0;
    // Late work leaves seats for all classes, its own included.
    const auto classes = request.subQueue == SubQueue::Overdue ? 3 : static_cast<int>(request.latencyClass);
    double offered = 0;
    for (int urgent = 0; urgent < classes; ++urgent)
        offered += context.state.offered.slots(static_cast<LatencyClass>(urgent), context.now);
    const auto wanted = deviationsLeftBy(context.state, request) * std::sqrt(offered * context.state.settings.sharingInstances);
    const auto most = largestPart * static_cast<double>(context.state.decodeSlots);
    return static_cast<std::int64_t>(std::min(wanted, most));
}

}
