#include "OrderGate.h"

#include <algorithm>

namespace jayhold {

auto openGate(OrderGate& gate, TimePoint now, std::int64_t fencingNumber) -> void
{
    if (gate.fencingNumber == fencingNumber)
        return;
    gate.fencingNumber = fencingNumber;
    gate.isInFlight = false;
    gate.mustReadBack = true;
    gate.quietUntil = gate.settings.checksFencing ? now : std::max(gate.quietUntil, now + gate.settings.longestFlight);
}

auto nextOrderStep(const OrderGate& gate, TimePoint now, TimePoint holdsUntil) -> OrderStep
{
    if (gate.fencingNumber == 0 || gate.isInFlight || now < gate.quietUntil || now >= holdsUntil)
        return OrderStep::Wait;
    if (gate.mustReadBack)
        return OrderStep::ReadBack;
    if (!gate.settings.checksFencing && now + gate.settings.longestFlight > holdsUntil)
        return OrderStep::Wait;
    return OrderStep::Send;
}

auto orderSent(OrderGate& gate, TimePoint now) -> void
{
    gate.isInFlight = true;
    gate.sentAt = now;
}

auto orderAnswered(OrderGate& gate) -> void
{
    gate.isInFlight = false;
    gate.mustReadBack = true;
}

auto orderLost(OrderGate& gate, TimePoint now) -> void
{
    gate.isInFlight = false;
    gate.mustReadBack = true;
    gate.quietUntil = std::max({ gate.quietUntil, now, gate.sentAt + gate.settings.longestFlight });
}

auto stateReadBack(OrderGate& gate) -> void
{
    gate.mustReadBack = false;
}

}
