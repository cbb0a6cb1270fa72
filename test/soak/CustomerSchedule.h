#pragma once

/// Performs what the plan of a run's customers says: changes the keys, and lets one customer exceed its quota.

#include "SoakChecks.h"

namespace jayhold::soak {

class CustomerSchedule {
public:
    /// @param plan nothing if the run has no customers.
    CustomerSchedule(std::optional<CustomerPlan> plan, SoakFleet& fleet, SoakCallers& callers);

    /// Sets the beginning of the faults, to which the times of the plan are relative.
    auto start() -> void { m_start = monotonicNow(); }
    /// Performs what is due.
    auto advance() -> void;
    /// Performs what is left, also if it is not due.
    auto complete() -> void;
    auto endBurst() -> void;
    auto hasCustomers() const -> bool { return m_plan.has_value(); }
    /// @return when the store had accepted the configuration with the changed keys; the latest time before.
    auto keysChangedAt() const -> TimePoint { return m_keysChangedAt; }

private:
    auto performUntil(TimePoint now) -> void;

    const std::optional<CustomerPlan> m_plan;
    SoakFleet& m_fleet;
    SoakCallers& m_callers;
    TimePoint m_start = TimePoint::max();
    TimePoint m_keysChangedAt = TimePoint::max();
    bool m_hasBurst = false;
};

}
