#include "OrderFence.h"

#include <algorithm>

namespace jayhold {

auto handleLeaseAcquired(OrderFence& fence, TimePoint now, std::int64_t fencingNumber) -> void
{
    if (fence.fencingNumber == fencingNumber)
        return;
    fence.fencingNumber = fencingNumber;
    fence.isInFlight = false;
    fence.mustReadBack = true;
    fence.sendNotBefore = fence.settings.checksFencing ? now : std::max(fence.sendNotBefore, now + fence.settings.maxOrderLatency);
}

auto nextOrderStep(const OrderFence& fence, TimePoint now, TimePoint leaseDeadline) -> OrderStep
{
    if (fence.fencingNumber == 0 || fence.isInFlight || now < fence.sendNotBefore || now >= leaseDeadline)
        return OrderStep::Wait;
    if (fence.mustReadBack)
        return OrderStep::ReadBack;
    if (!fence.settings.checksFencing && now + fence.settings.maxOrderLatency > leaseDeadline)
        return OrderStep::Wait;
    return OrderStep::Send;
}

auto handleOrderSent(OrderFence& fence, TimePoint now) -> void
{
    fence.isInFlight = true;
    fence.sentAt = now;
}

auto handleOrderReply(OrderFence& fence) -> void
{
    fence.isInFlight = false;
    fence.mustReadBack = true;
}

auto handleOrderLost(OrderFence& fence, TimePoint now) -> void
{
    fence.isInFlight = false;
    fence.mustReadBack = true;
    fence.sendNotBefore = std::max({ fence.sendNotBefore, now, fence.sentAt + fence.settings.maxOrderLatency });
}

auto handleStateReadBack(OrderFence& fence) -> void
{
    fence.mustReadBack = false;
}

}
