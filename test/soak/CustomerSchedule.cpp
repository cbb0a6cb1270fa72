#include "CustomerSchedule.h"

namespace jayhold::soak {

CustomerSchedule::CustomerSchedule(std::optional<CustomerPlan> plan, SoakFleet& fleet, SoakCallers& callers)
    : m_plan(plan)
    , m_fleet(fleet)
    , m_callers(callers)
{
}

auto CustomerSchedule::advance() -> void
{
    if (m_plan && m_start != TimePoint::max())
        performUntil(monotonicNow());
}

auto CustomerSchedule::complete() -> void
{
    if (m_plan)
        performUntil(TimePoint::max());
}

auto CustomerSchedule::endBurst() -> void
{
    if (m_hasBurst)
        m_callers.endBurst();
}

auto CustomerSchedule::performUntil(TimePoint now) -> void
{
    if (!m_hasBurst && now >= m_start + m_plan->burst) {
        m_hasBurst = true;
        m_callers.startBurst(m_plan->burstCallers);
    }
    if (m_keysChangedAt == TimePoint::max() && now >= m_start + m_plan->keyChange)
        m_keysChangedAt = m_fleet.changeKeys();
}

}
