#pragma once

/// The calls that wait for a slot of a plain server, in the order in which they get one. It uses no clock, socket or lock.

#include "CallerCost.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jayhold {

class PlainWaiting {
public:
    /// Adds a call, or updates its cost.
    auto enter(const CallerCost& cost) -> void;
    auto leave(std::uint64_t id) -> void;
    /// @return number of waiting calls that get a slot before one of this cost.
    auto countBefore(const CallerCost& cost) const -> std::size_t;
    /// @return number of those that arrived after it.
    auto countOvertaking(const CallerCost& cost) const -> std::size_t;
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

/// A server that has rejected a call is full of calls of other instances. Within half of a call's duration, about half of
/// those that filled it end.
/// @param duration expected duration of a call.
/// @return how long a call waits at least after every server has rejected it.
auto waitAfterRejection(Duration duration) -> Duration;

/// What is known about a call that needs a slot.
struct SlotInputs {
    RequestWork work;
    /// Expected duration of the call; nothing without enough earlier ones.
    std::optional<Duration> duration {};
    /// Calls that get a slot before this one, and those of them that arrived after it.
    std::size_t before = 0;
    std::size_t overtaking = 0;
    /// Slots of the servers that take calls, and those that this instance does not use.
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    /// Whether every server has rejected the call, the earliest time of the next attempt, and whether the budget has a retry
    /// for it.
    bool isRejected = false;
    TimePoint retryAt {};
    bool hasRetry = false;
};

enum class SlotStep {
    /// The call takes a free slot now.
    Take,
    Wait,
    /// No slot is expected in time, or nothing is known about the next one.
    Refuse,
};

struct SlotDecision {
    SlotStep step = SlotStep::Refuse;
    /// Expected wait for a slot, if it is known.
    std::optional<Duration> wait {};
    /// Whether a slot would be expected in time without the calls that arrived later.
    bool isDisplaced = false;
};

auto decideSlot(const SlotInputs& inputs, TimePoint now) -> SlotDecision;

}
