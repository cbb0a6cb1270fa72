#pragma once

/// The cost to the caller of refusing a request, which also orders the requests that wait. It is the only definition of this
/// cost: admission, displacement, the queue, placement and the calls to plain servers use it or its rank.

#include "RequestRank.h"
#include "Time.h"

#include <compare>
#include <cstdint>
#include <span>

namespace jayhold {

/// What the cost is computed from.
struct RequestWork {
    RequestRank rank;
    TimePoint arrivedAt {};
    /// Latest start with which the first token meets its target.
    TimePoint latestOnTimeStart {};
    TimePoint deadline {};
    /// Time from the first arrival to the deadline that the kind allows. A request with clearly less has been refused before.
    Duration allowedTime {};
    /// Prompt tokens, and those that are still to be prefilled.
    std::uint64_t promptTokens = 0;
    std::uint64_t promptTokensLeft = 0;
    /// Expected output tokens, and those that are still to come.
    std::uint64_t outputTokens = 0;
    std::uint64_t outputTokensLeft = 0;
    /// Memory that the request occupies until its end.
    std::uint32_t memoryBlocks = 0;
    /// Time for one prompt token and for one output token.
    Duration promptTokenTime {};
    Duration outputTokenTime {};
    /// Orders requests that are equal in all other respects; the smaller one is served first.
    std::uint64_t id = 0;
};

/// Compared from the first member to the last. The larger cost is that of the request which is refused later and served
/// first.
struct CallerCost {
    /// Whether work has been done for the request that a refusal would waste.
    bool isStarted = false;
    /// The more urgent rank has the larger cost.
    RequestRank rank;
    /// Whether its caller has been refused before and has come back.
    bool hasReturned = false;
    /// Whether its first token can still meet its target.
    bool isOnTime = true;
    /// Fraction of the memory and time of the request that has been used.
    double doneShare = 0;
    TimePoint arrivedAt {};
    std::uint64_t id = 0;

    auto operator<=>(const CallerCost& other) const -> std::partial_ordering;
    auto operator==(const CallerCost& other) const -> bool { return (*this <=> other) == 0; }
};

/// Percentage of the time allowed by its kind that a request must still have to count as new. A request with less has
/// probably been refused before.
inline constexpr int returnedTimePercent = 80;

/// @return the cost of refusing the request now.
auto callerCost(const RequestWork& work, TimePoint now) -> CallerCost;

/// @return index of the request whose refusal costs least; the size of the list if it is empty.
auto cheapestRefusal(std::span<const CallerCost> costs) -> std::size_t;

}
