#pragma once

/// Ordered timers of requests and replicas. Each owner has at most one.

#include "Identifiers.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <variant>

namespace jayhold {

using TimerOwner = std::variant<RequestId, ReplicaId>;

class TimerQueue {
public:
    /// Moves the owner's timer from one time to another. TimePoint::max() stands for none.
    auto move(TimerOwner owner, TimePoint& current, TimePoint next) -> void;
    /// Removes a timer that is due.
    /// @return its owner, or nothing if no timer is due.
    auto popDue(TimePoint now) -> std::optional<TimerOwner>;
    /// @return the time of the first timer, or TimePoint::max().
    auto next() const -> TimePoint;

private:
    std::set<std::pair<TimePoint, TimerOwner>> m_timers;
};

}
