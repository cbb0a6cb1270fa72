#include "OrderFence.h"

#include <algorithm>

namespace jayhold {

auto handleLeaseAcquired(OrderFence& gate, TimePoint now, std::int64_t fencingNumber) -> void
{
    if (gate.fencingNumber == fencingNumber)
        return;
    gate.fencingNumber = fencingNumber;
    gate.isInFlight = false;
    gate.mustReadBack = true;
    gate.sendNotBefore = gate.settings.checksFencing ? now : std::max(gate.sendNotBefore, now + gate.settings.maxOrderLatency);
}

auto nextOrderStep(const OrderFence& gate, TimePoint now, TimePoint leaseDeadline) -> OrderStep
{
    if (gate.fencingNumber == 0 || gate.isInFlight || now < gate.sendNotBefore || now >= leaseDeadline)
        return OrderStep::Wait;
    if (gate.mustReadBack)
        return OrderStep::ReadBack;
    if (!gate.settings.checksFencing && now + gate.settings.maxOrderLatency > leaseDeadline)
        return OrderStep::Wait;
    return OrderStep::Send;
}

auto handleOrderSent(OrderFence& gate, TimePoint now) -> void
{
    gate.isInFlight = true;
    gate.sentAt = now;
}

auto handleOrderAnswered(OrderFence& gate) -> void
{
    gate.isInFlight = false;
    gate.mustReadBack = true;
}

auto handleOrderLost(OrderFence& gate, TimePoint now) -> void
{
    gate.isInFlight = false;
    gate.mustReadBack = true;
    gate.sendNotBefore = std::max({ gate.sendNotBefore, now, gate.sentAt + gate.settings.maxOrderLatency });
}

auto handleStateReadBack(OrderFence& gate) -> void
{
    gate.mustReadBack = false;
}

}
