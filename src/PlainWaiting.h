#pragma once

/// The calls that wait for a slot of a plain server, in the order in which they get one. It uses no clock, socket or lock.

#include "CallerCost.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jayhold {

class PlainWaiting {
public:
    /// Adds a call, or updates its cost.
    auto enter(const CallerCost& cost) -> void;
    auto leave(std::uint64_t id) -> void;
    /// @return number of waiting calls that get a slot before one of this cost.
    auto countBefore(const CallerCost& cost) const -> std::size_t;
    auto size() const -> std::size_t { return m_waiting.size(); }

private:
    std::vector<CallerCost> m_waiting;
};

/// What is known about the next slot of a plain service.
struct PlainSlots {
    /// Slots of the servers that take calls.
    std::uint32_t slots = 0;
    /// Expected duration of a call.
    Duration duration {};
};

/// @param before calls that get a slot earlier.
/// @return the expected wait for a slot; Duration::max() if no server takes calls.
auto expectedSlotWait(const PlainSlots& slots, std::size_t before) -> Duration;

/// @return whether the call can still end by its target if it waits that long, or by its deadline if its target has passed
/// while it waited.
auto canWaitForSlot(const RequestWork& work, TimePoint now, Duration wait, Duration duration) -> bool;

}
